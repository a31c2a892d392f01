//! Prepared statements and portals of the extended query protocol.

use super::parser::parse;
use super::reply::FormatCodes;
use super::sql_error::SqlError;
use super::statement::Statement;
use super::value::Value;
use bytes::Bytes;
use pgwire::messages::extendedquery::{Bind, Parse};
use std::sync::Arc;

/// A prepared statement, made by a Parse message.
#[derive(Debug, Clone)]
pub(crate) struct PreparedStatement {
    /// `None` when the text holds no statement.
    pub(crate) statement: Option<Arc<Statement>>,
    /// Type object ids of the parameters, inferred from the statement where the client gave none.
    pub(crate) types: Vec<u32>,
}

/// A prepared statement with the values of its parameters, made by a Bind message.
#[derive(Debug, Clone)]
pub(crate) struct Portal {
    pub(crate) statement: Option<Arc<Statement>>,
    pub(crate) params: Vec<Value>,
    pub(crate) formats: FormatCodes,
}

impl PreparedStatement {
    pub(crate) fn parse(message: &Parse) -> Result<Self, SqlError> {
        let mut statements = parse(&message.query)?;
        if statements.len() > 1 {
            return Err(SqlError::Syntax(
                "several commands in a prepared statement".to_owned(),
            ));
        }
        let statement = statements.pop().map(Arc::new);
        let types = statement.as_ref().map_or_else(Vec::new, |statement| {
            statement.parameter_types(&message.type_oids)
        });
        Ok(Self { statement, types })
    }

    pub(crate) fn bind(&self, message: Bind) -> Result<Portal, SqlError> {
        if message.parameters.len() != self.types.len() {
            return Err(SqlError::Protocol(format!(
                "bind message supplies {} parameters, but the statement requires {}",
                message.parameters.len(),
                self.types.len()
            )));
        }
        let parameter_formats = FormatCodes(message.parameter_format_codes);
        let params = message.parameters.iter().zip(&self.types).enumerate();
        Ok(Portal {
            statement: self.statement.clone(),
            params: params
                .map(|(i, (bytes, &type_oid))| {
                    Value::decode(
                        bytes.as_ref().map(Bytes::as_ref),
                        type_oid,
                        parameter_formats.is_binary(i),
                    )
                })
                .collect::<Result<_, _>>()?,
            formats: FormatCodes(message.result_column_format_codes),
        })
    }
}
