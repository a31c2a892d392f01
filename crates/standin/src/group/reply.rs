//! Encoding of the messages that a slot sends.

use super::column::Column;
use super::sql_error::SqlError;
use super::value::Value;
use bytes::BytesMut;
use pgwire::messages::Message;
use pgwire::messages::data::{DataRow, FieldDescription, NoData, ParameterDescription, RowDescription};
use pgwire::messages::response::{CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus};

const FORMAT_TEXT: i16 = 0;
const FORMAT_BINARY: i16 = 1;

/// The format codes of parameters or result columns in a Bind message.
#[derive(Debug, Clone, Default)]
pub(crate) struct FormatCodes(pub(crate) Vec<i16>);

impl FormatCodes {
    /// Whether parameter or column `i` is binary. Without codes all are text, and a single code holds for all.
    pub(crate) fn is_binary(&self, i: usize) -> bool {
        let code = match self.0.as_slice() {
            [] => FORMAT_TEXT,
            [all] => *all,
            each => each.get(i).copied().unwrap_or(FORMAT_TEXT),
        };
        code == FORMAT_BINARY
    }
}

/// Appends an encoded message. Panics when it exceeds the limits of the protocol, which no message of a slot does.
pub(crate) fn put<M>(buf: &mut BytesMut, message: &M)
where
    M: Message,
{
    message
        .encode(buf)
        .expect("the message fits the limits of the protocol");
}

/// Appends a `RowDescription`, or `NoData` when the statement returns no rows.
pub(crate) fn row_description(buf: &mut BytesMut, columns: Option<&[Column]>, format_codes: &FormatCodes) {
    let Some(columns) = columns else {
        put(buf, &NoData::new());
        return;
    };
    let fields = columns.iter().enumerate().map(|(i, column)| {
        let code = i16::from(format_codes.is_binary(i));
        FieldDescription::new(
            column.name.to_owned(),
            0,
            0,
            column.type_oid,
            column.type_size(),
            -1,
            code,
        )
    });
    put(buf, &RowDescription::new(fields.collect()));
}

pub(crate) fn parameter_description(buf: &mut BytesMut, types: &[u32]) {
    put(buf, &ParameterDescription::new(types.to_vec()));
}

pub(crate) fn data_row(buf: &mut BytesMut, columns: &[Column], row: &[Value], format_codes: &FormatCodes) {
    let mut data = Vec::new();
    for (i, (value, column)) in row.iter().zip(columns).enumerate() {
        value.encode(column.type_oid, format_codes.is_binary(i), &mut data);
    }
    put(buf, &DataRow::new(BytesMut::from(&*data), row.len() as i16));
}

pub(crate) fn command_complete(buf: &mut BytesMut, tag: &str) {
    put(buf, &CommandComplete::new(tag.to_owned()));
}

pub(crate) fn error_response(buf: &mut BytesMut, severity: &str, error: &SqlError) {
    let fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', error.sqlstate().to_owned()),
        (b'M', error.to_string()),
    ];
    put(buf, &ErrorResponse::new(fields));
}

pub(crate) fn ready_for_query(buf: &mut BytesMut, status: TransactionStatus) {
    put(buf, &ReadyForQuery::new(status));
}
