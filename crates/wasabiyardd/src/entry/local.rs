//! Execution of statements about the `wasabiyard.*` session variables, which never reach a database.

use super::backend::{self, Severity};
use super::frontend;
use super::request::Request;
use super::session::Session;
use super::variables::{LocalStatement, StatementKind, Variable, classify};
use pgwire::messages::response::TransactionStatus;
use std::collections::HashMap;
use wasabiyard_model::NotRun;
use wasabiyard_session::{SessionId, SessionToken};

/// SQLSTATE and message of a failed local statement.
type LocalError = (&'static str, String);

impl Session {
    /// Answers a request whose statements are all local. `status` is the transaction status of the session; variables
    /// cannot be set within a transaction block.
    pub(super) fn answer_locally(&mut self, request: &Request, status: TransactionStatus) {
        let result = if request.extended {
            self.answer_batch(request, status)
        } else {
            self.answer_query(request, status)
        };
        match result {
            Ok(()) if !request.synced => return,
            Ok(()) => {}
            Err((sqlstate, message)) => {
                backend::error_response(&mut self.io.output, Severity::Error, sqlstate, &message);
                if !request.synced {
                    self.skip_to_sync = true;
                    return;
                }
            }
        }
        backend::ready_for_query(&mut self.io.output, status);
    }

    fn answer_query(&mut self, request: &Request, status: TransactionStatus) -> Result<(), LocalError> {
        let text = request.frames[0].query().map_err(malformed_message_error)?;
        let StatementKind::Local(statement) = classify(text) else {
            return Err(mixed_batch_error());
        };
        if let LocalStatement::Show(variable) = statement {
            backend::text_row_description(&mut self.io.output, variable.name());
        }
        self.execute(&statement, status)
    }

    fn answer_batch(&mut self, request: &Request, status: TransactionStatus) -> Result<(), LocalError> {
        let mut portals: HashMap<&str, LocalStatement> = HashMap::new();
        for frame in &request.frames {
            match frame.tag() {
                frontend::PARSE => {
                    let (name, text) = frame.parse().map_err(malformed_message_error)?;
                    let StatementKind::Local(statement) = classify(text) else {
                        return Err(mixed_batch_error());
                    };
                    self.prepared_statements
                        .store_local(name, statement)
                        .map_err(|e| (NotRun::BadMessage.sqlstate(), e.to_string()))?;
                    backend::parse_complete(&mut self.io.output);
                }
                frontend::BIND => {
                    let (portal, name) = frame.bind().map_err(malformed_message_error)?;
                    let statement = self
                        .prepared_statements
                        .local(name)
                        .ok_or_else(mixed_batch_error)?;
                    portals.insert(portal, statement.clone());
                    backend::bind_complete(&mut self.io.output);
                }
                frontend::DESCRIBE => {
                    let (kind, name) = frame.target().map_err(malformed_message_error)?;
                    let statement = if kind == b'S' {
                        backend::empty_parameter_description(&mut self.io.output);
                        self.prepared_statements.local(name)
                    } else {
                        portals.get(name)
                    };
                    match statement.ok_or_else(mixed_batch_error)? {
                        LocalStatement::Show(variable) => {
                            backend::text_row_description(&mut self.io.output, variable.name());
                        }
                        LocalStatement::Set(..) => backend::no_data(&mut self.io.output),
                    }
                }
                frontend::EXECUTE => {
                    let portal = frame.execute().map_err(malformed_message_error)?;
                    let statement = portals.get(portal).ok_or_else(mixed_batch_error)?.clone();
                    self.execute(&statement, status)?;
                }
                frontend::CLOSE => {
                    if let (b'S', name) = frame.target().map_err(malformed_message_error)? {
                        self.prepared_statements.discard(name);
                    }
                    backend::close_complete(&mut self.io.output);
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn execute(&mut self, statement: &LocalStatement, status: TransactionStatus) -> Result<(), LocalError> {
        match statement {
            LocalStatement::Show(variable) => {
                let value = self.show(*variable);
                backend::text_data_row(&mut self.io.output, &value);
                backend::command_complete(&mut self.io.output, "SHOW");
            }
            LocalStatement::Set(..) if status != TransactionStatus::Idle => {
                let message = "session variables of wasabiyard cannot be set in a transaction block";
                return Err(("25001", message.to_owned()));
            }
            LocalStatement::Set(variable, value) => {
                self.set(*variable, value.as_deref())?;
                backend::command_complete(&mut self.io.output, "SET");
            }
        }
        Ok(())
    }

    fn show(&self, variable: Variable) -> String {
        match variable {
            Variable::Route => self.route.clone().unwrap_or_default(),
            Variable::Shard => self.shard.clone().unwrap_or_default(),
            Variable::Organisation => self.identity.organisation().to_owned(),
            Variable::Session => self.token_text(),
        }
    }

    /// The session token as text; empty until the instance has received the key that signs tokens.
    pub(super) fn token_text(&self) -> String {
        let snapshot = self.entry.snapshots.load();
        if snapshot.session_key.is_empty() {
            return String::new();
        }
        self.token.encode(&snapshot.session_key)
    }

    /// Sets a variable, or resets it when `value` is absent or empty.
    ///
    /// # Errors
    ///
    /// When the value is not valid for the variable, or the variable cannot be set.
    pub(super) fn set(&mut self, variable: Variable, value: Option<&str>) -> Result<(), LocalError> {
        let value = value.filter(|v| !v.is_empty());
        match variable {
            Variable::Route => self.set_route(value)?,
            Variable::Shard => self.shard = value.map(str::to_owned),
            Variable::Session => self.set_token(value)?,
            Variable::Organisation => {
                return Err(("42501", "the organisation is set by the login".to_owned()));
            }
        }
        self.resolved = None;
        Ok(())
    }

    fn set_route(&mut self, value: Option<&str>) -> Result<(), LocalError> {
        if let Some(name) = value {
            let snapshot = self.entry.snapshots.load();
            let service = snapshot.manifest.service(&self.service);
            if service.and_then(|s| snapshot.manifest.route(s, name)).is_none() {
                return Err((NotRun::UnknownRoute.sqlstate(), format!("unknown route {name:?}")));
            }
        }
        self.route = value.map(str::to_owned);
        Ok(())
    }

    fn set_token(&mut self, value: Option<&str>) -> Result<(), LocalError> {
        let organisation = self.identity.organisation();
        let token = match value {
            None => SessionToken::empty(organisation, SessionId::random(&mut rand::rng())),
            Some(text) => {
                let snapshot = self.entry.snapshots.load();
                if snapshot.session_key.is_empty() {
                    let message = "this instance does not know the key for session tokens yet";
                    return Err((NotRun::BadToken.sqlstate(), message.to_owned()));
                }
                SessionToken::decode(text, organisation, &snapshot.session_key)
                    .map_err(|e| (NotRun::BadToken.sqlstate(), e.to_string()))?
            }
        };
        self.token = token;
        self.token_from_caller = value.is_some();
        Ok(())
    }

    /// Answers a request that ends a lost transaction block as a database does: with `ROLLBACK`, also for a `COMMIT`.
    pub(super) fn answer_rollback(&mut self, request: &Request) {
        let out = &mut self.io.output;
        for frame in &request.frames {
            match frame.tag() {
                frontend::PARSE => backend::parse_complete(out),
                frontend::BIND => backend::bind_complete(out),
                frontend::CLOSE => backend::close_complete(out),
                frontend::DESCRIBE => {
                    if frame.target().is_ok_and(|(kind, _)| kind == b'S') {
                        backend::empty_parameter_description(out);
                    }
                    backend::no_data(out);
                }
                frontend::EXECUTE | frontend::QUERY => backend::command_complete(out, "ROLLBACK"),
                _ => {}
            }
        }
        self.append_ready();
    }
}

fn malformed_message_error(e: super::FrameError) -> LocalError {
    ("08P01", e.to_string())
}

fn mixed_batch_error() -> LocalError {
    let message = "a batch about session variables of wasabiyard may hold no other statement";
    ("0A000", message.to_owned())
}
