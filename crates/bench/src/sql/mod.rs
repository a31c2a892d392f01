//! A minimal asynchronous client for the simple query protocol of `PostgreSQL`, used to generate load.

mod client;
mod client_error;
mod login;

pub use client::{QueryResult, SqlClient};
pub use client_error::ClientError;
pub use login::Login;
