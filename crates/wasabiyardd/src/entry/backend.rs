//! Backend messages (server to client, in the terms of the `PostgreSQL` protocol) that the entry writes itself.

use bytes::BytesMut;
use pgwire::messages::Message;
use pgwire::messages::data::{DataRow, FieldDescription, NoData, ParameterDescription, RowDescription};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::{CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, ParameterStatus, SecretKey,
};

/// Object id of the type `text` in `PostgreSQL`.
const TEXT_OID: u32 = 25;

/// Severity of an `ErrorResponse`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// The connection stays open.
    Error,
    /// The connection is closed after the error.
    Fatal,
}

fn append_message<M>(out: &mut BytesMut, message: &M)
where
    M: Message,
{
    message
        .encode(out)
        .expect("messages built here have a valid length");
}

/// Appends an `ErrorResponse`. Zero bytes are removed from its texts, because they would end a field.
pub fn error_response(out: &mut BytesMut, severity: Severity, sqlstate: &str, message: &str) {
    let severity = match severity {
        Severity::Error => "ERROR",
        Severity::Fatal => "FATAL",
    };
    let field = |code, text: &str| (code, text.replace('\0', ""));
    append_message(
        out,
        &ErrorResponse::new(vec![
            field(b'S', severity),
            field(b'V', severity),
            field(b'C', sqlstate),
            field(b'M', message),
        ]),
    );
}

/// Appends a `ReadyForQuery`.
pub fn ready_for_query(out: &mut BytesMut, status: TransactionStatus) {
    append_message(out, &ReadyForQuery::new(status));
}

/// Appends a `ParameterStatus`.
pub fn parameter_status(out: &mut BytesMut, name: &str, value: &str) {
    append_message(out, &ParameterStatus::new(name.to_owned(), value.to_owned()));
}

/// Appends `AuthenticationCleartextPassword`; the caller answers with its key.
pub fn request_cleartext_password(out: &mut BytesMut) {
    append_message(out, &Authentication::CleartextPassword);
}

/// Appends `AuthenticationOk`, which accepts the login.
pub fn authentication_ok(out: &mut BytesMut) {
    append_message(out, &Authentication::Ok);
}

/// Appends `BackendKeyData`, the key for cancel requests.
pub fn backend_key_data(out: &mut BytesMut, process_id: i32, secret: i32) {
    append_message(out, &BackendKeyData::new(process_id, SecretKey::I32(secret)));
}

/// Appends `NegotiateProtocolVersion`: only protocol 3.0 is supported, and not the options in `unsupported`.
pub fn negotiate_protocol_version(out: &mut BytesMut, unsupported: Vec<String>) {
    append_message(out, &NegotiateProtocolVersion::new(0, unsupported));
}

/// Appends a `CommandComplete`.
pub fn command_complete(out: &mut BytesMut, tag: &str) {
    append_message(out, &CommandComplete::new(tag.to_owned()));
}

/// Appends a `RowDescription` of one text column.
pub fn text_row_description(out: &mut BytesMut, name: &str) {
    let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
    append_message(out, &RowDescription::new(vec![field]));
}

/// Appends a `DataRow` of one text column.
pub fn text_data_row(out: &mut BytesMut, value: &str) {
    let mut data = BytesMut::with_capacity(value.len() + 4);
    data.extend_from_slice(&(value.len() as u32).to_be_bytes());
    data.extend_from_slice(value.as_bytes());
    append_message(out, &DataRow::new(data, 1));
}

/// Appends a `NoData`.
pub fn no_data(out: &mut BytesMut) {
    append_message(out, &NoData::new());
}

/// Appends a `ParameterDescription` of a statement without parameters.
pub fn empty_parameter_description(out: &mut BytesMut) {
    append_message(out, &ParameterDescription::new(Vec::new()));
}

/// Appends a `ParseComplete`.
pub fn parse_complete(out: &mut BytesMut) {
    append_message(out, &ParseComplete::new());
}

/// Appends a `BindComplete`.
pub fn bind_complete(out: &mut BytesMut) {
    append_message(out, &BindComplete::new());
}

/// Appends a `CloseComplete`.
pub fn close_complete(out: &mut BytesMut) {
    append_message(out, &CloseComplete::new());
}
