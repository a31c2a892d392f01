//! SQL values and their encoding in the `PostgreSQL` protocol.

use super::sql_error::SqlError;
use std::sync::Arc;

/// Object ids of the `PostgreSQL` types that statements use.
pub(crate) mod oid {
    pub(crate) const INT8: u32 = 20;
    pub(crate) const INT2: u32 = 21;
    pub(crate) const INT4: u32 = 23;
    pub(crate) const TEXT: u32 = 25;
}

/// One SQL value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// SQL NULL.
    Null,
    /// An integer of type int2, int4 or int8.
    Int(i64),
    /// A value of type text.
    Text(Arc<str>),
}

impl Value {
    /// Creates a text value.
    pub fn text(text: &str) -> Self {
        Self::Text(Arc::from(text))
    }

    /// Converts the value to text; NULL becomes the empty text.
    pub fn as_text(&self) -> Arc<str> {
        match self {
            Self::Null => Arc::from(""),
            Self::Int(n) => Arc::from(n.to_string()),
            Self::Text(text) => Arc::clone(text),
        }
    }

    /// Converts the value to an integer; a text is parsed.
    ///
    /// # Errors
    /// [`SqlError::InvalidText`] for NULL or a text that is no integer.
    pub fn as_int(&self) -> Result<i64, SqlError> {
        match self {
            Self::Int(n) => Ok(*n),
            Self::Text(text) => text
                .trim()
                .parse()
                .map_err(|_not_a_number| SqlError::InvalidText(text.to_string())),
            Self::Null => Err(SqlError::InvalidText("NULL".to_owned())),
        }
    }

    /// Decodes a parameter of a Bind message; no bytes stand for NULL.
    pub(crate) fn decode(bytes: Option<&[u8]>, type_oid: u32, binary: bool) -> Result<Self, SqlError> {
        let Some(bytes) = bytes else {
            return Ok(Self::Null);
        };
        match (type_oid, binary) {
            (oid::INT8, true) => decode_int(bytes, i64::from_be_bytes),
            (oid::INT4, true) => decode_int(bytes, |b| i64::from(i32::from_be_bytes(b))),
            (oid::INT2, true) => decode_int(bytes, |b| i64::from(i16::from_be_bytes(b))),
            (oid::INT8 | oid::INT4 | oid::INT2, false) => Ok(Self::Int(decode_text(bytes)?.as_int()?)),
            _ => decode_text(bytes),
        }
    }

    /// Appends the value as a field of a `DataRow` message: its length in 4 bytes, -1 for NULL, and its bytes.
    pub(crate) fn encode(&self, type_oid: u32, binary: bool, buf: &mut Vec<u8>) {
        match (self, type_oid, binary) {
            (Self::Null, ..) => buf.extend_from_slice(&(-1_i32).to_be_bytes()),
            (Self::Int(n), oid::INT8, true) => put_field(buf, &n.to_be_bytes()),
            (Self::Int(n), oid::INT4, true) => put_field(buf, &(*n as i32).to_be_bytes()),
            (Self::Text(text), ..) => put_field(buf, text.as_bytes()),
            (Self::Int(n), ..) => put_field(buf, n.to_string().as_bytes()),
        }
    }
}

fn decode_int<const N: usize>(bytes: &[u8], convert: impl Fn([u8; N]) -> i64) -> Result<Value, SqlError> {
    let bytes = bytes.try_into().map_err(|_wrong_length| SqlError::BinaryLength {
        expected: N,
        found: bytes.len(),
    })?;
    Ok(Value::Int(convert(bytes)))
}

fn decode_text(bytes: &[u8]) -> Result<Value, SqlError> {
    let text = std::str::from_utf8(bytes).map_err(|_not_utf8| SqlError::NotUtf8)?;
    Ok(Value::text(text))
}

fn put_field(buf: &mut Vec<u8>, bytes: &[u8]) {
    buf.extend_from_slice(&(bytes.len() as i32).to_be_bytes());
    buf.extend_from_slice(bytes);
}
