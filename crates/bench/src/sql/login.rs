//! Login data of a client connection.

use std::collections::BTreeMap;

/// Credentials and startup options.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Login {
    /// User name. The daemons take it as the organisation.
    pub user: String,
    /// Password. The daemons take it as an API key of the organisation.
    pub password: String,
    /// Database name. The daemons take it as the service.
    pub database: String,
    /// Startup options as pairs of name and value, such as `wasabiyard.route` and `renew`.
    pub options: Vec<(String, String)>,
}

impl Login {
    /// A login without startup options.
    pub fn new(user: &str, password: &str, database: &str) -> Self {
        Self {
            user: user.to_owned(),
            password: password.to_owned(),
            database: database.to_owned(),
            options: Vec::new(),
        }
    }

    /// Adds a startup option.
    #[must_use]
    pub fn with_option(mut self, name: &str, value: &str) -> Self {
        self.options.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Parameters of the startup message. The startup options become one `options` parameter of `-c` flags.
    pub(crate) fn startup_parameters(&self) -> BTreeMap<String, String> {
        let mut parameters = BTreeMap::new();
        parameters.insert("user".to_owned(), self.user.clone());
        parameters.insert("database".to_owned(), self.database.clone());
        if !self.options.is_empty() {
            let options = self
                .options
                .iter()
                .map(|(name, value)| format!("-c {name}={value}"));
            parameters.insert("options".to_owned(), options.collect::<Vec<_>>().join(" "));
        }
        parameters
    }
}
