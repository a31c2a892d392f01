//! Result columns.

use super::value::oid;

/// Name and `PostgreSQL` type of a result column.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Column {
    pub(crate) name: &'static str,
    pub(crate) type_oid: u32,
}

impl Column {
    pub(crate) const fn text(name: &'static str) -> Self {
        Self {
            name,
            type_oid: oid::TEXT,
        }
    }

    pub(crate) const fn int8(name: &'static str) -> Self {
        Self {
            name,
            type_oid: oid::INT8,
        }
    }

    pub(crate) const fn int4(name: &'static str) -> Self {
        Self {
            name,
            type_oid: oid::INT4,
        }
    }

    /// Size of the type in bytes, -1 for a type of variable length.
    pub(crate) const fn type_size(&self) -> i16 {
        match self.type_oid {
            oid::INT8 => 8,
            oid::INT4 => 4,
            _ => -1,
        }
    }
}
