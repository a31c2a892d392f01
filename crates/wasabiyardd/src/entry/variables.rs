//! The session variables `wasabiyard.*`, and the classification of statements by whether they concern these variables.

use std::fmt;

/// A session variable that the entry holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variable {
    /// Name of the route, whose rules apply to the transactions of the session.
    Route,
    /// The session token, which holds the positions of the session's writes.
    Session,
    /// Text that selects a database of the service.
    Shard,
    /// Name of the organisation. Read-only; the login sets it.
    Organisation,
}

/// A statement about a session variable, which the entry executes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LocalStatement {
    /// `SET wasabiyard.X = 'value'`; `None` for `DEFAULT` and for `RESET wasabiyard.X`.
    Set(Variable, Option<String>),
    /// `SHOW wasabiyard.X`.
    Show(Variable),
}

/// How a statement ends a transaction block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionEnd {
    /// `COMMIT` or `END`.
    Commit,
    /// `ROLLBACK` or `ABORT`.
    Rollback,
}

/// Who executes a statement, as its text decides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementKind {
    /// The database.
    Remote,
    /// The entry.
    Local(LocalStatement),
    /// Nobody: it could change the organisation that the home has set on the slot connection.
    Forbidden,
}

impl Variable {
    /// The variable of that full name, in upper or lower case.
    pub fn parse(name: &str) -> Option<Self> {
        let all = [Self::Route, Self::Session, Self::Shard, Self::Organisation];
        all.into_iter().find(|v| v.name().eq_ignore_ascii_case(name))
    }

    /// The full name, with the prefix `wasabiyard.`.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Route => "wasabiyard.route",
            Self::Session => "wasabiyard.session",
            Self::Shard => "wasabiyard.shard",
            Self::Organisation => "wasabiyard.organisation",
        }
    }
}

impl fmt::Display for Variable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Classifies the text of a statement.
///
/// Slots separate organisations by the variable `wasabiyard.organisation`, which the home sets. A statement of a caller
/// that could set or reset it is forbidden. The check is conservative: it also refuses harmless statements that only
/// mention the names.
pub fn classify(text: &str) -> StatementKind {
    if !mentions_variables(text.as_bytes()) {
        return StatementKind::Remote;
    }
    parse_local(text).map_or(StatementKind::Forbidden, StatementKind::Local)
}

fn mentions_variables(text: &[u8]) -> bool {
    // `U&"…"` is an identifier with Unicode escapes, which could spell the name of a variable.
    const FORBIDDEN_NAMES: [&[u8]; 3] = [b"wasabiyard", b"set_config", b"u&\""];
    // These statements can reset every variable. The words are common in data, so they count only at the start of a
    // statement.
    const RESET_VERBS: [&[u8]; 2] = [b"reset", b"discard"];
    (0..text.len()).any(|i| {
        let rest = &text[i..];
        let starts_with =
            |name: &&[u8]| rest.len() >= name.len() && rest[..name.len()].eq_ignore_ascii_case(name);
        match rest[0] | 0x20 {
            b'w' | b's' | b'u' => FORBIDDEN_NAMES.iter().any(starts_with),
            b'r' | b'd' => RESET_VERBS.iter().any(starts_with) && is_statement_start(&text[..i]),
            _ => false,
        }
    })
}

/// Whether a statement may start after `before`, which must be blank or end with a semicolon or a comment.
fn is_statement_start(before: &[u8]) -> bool {
    let line_comment = before.rsplit(|b| *b == b'\n').nth(1);
    matches!(before.trim_ascii_end().last(), None | Some(b';' | b'/'))
        || line_comment.is_some_and(|line| line.windows(2).any(|w| w == b"--"))
}

/// Whether the text begins a transaction block.
pub fn begins_transaction(text: &str) -> bool {
    let (verb, rest) = split_word(text.trim().trim_end_matches(';'));
    verb.eq_ignore_ascii_case("begin")
        || (verb.eq_ignore_ascii_case("start") && split_word(rest).0.eq_ignore_ascii_case("transaction"))
}

/// How the text ends a transaction block; `None` if it does not.
pub fn ends_transaction(text: &str) -> Option<TransactionEnd> {
    let text = text.trim().trim_end_matches(';');
    let (verb, rest) = split_word(text);
    // `ROLLBACK TO` returns to a savepoint within the transaction.
    if split_word(rest).0.eq_ignore_ascii_case("to") {
        return None;
    }
    let is = |word: &str| verb.eq_ignore_ascii_case(word);
    if is("commit") || is("end") {
        Some(TransactionEnd::Commit)
    } else if is("rollback") || is("abort") {
        Some(TransactionEnd::Rollback)
    } else {
        None
    }
}

fn parse_local(text: &str) -> Option<LocalStatement> {
    let text = text.trim().trim_end_matches(';').trim_end();
    let (verb, rest) = split_word(text);
    if verb.eq_ignore_ascii_case("show") {
        return Variable::parse(rest).map(LocalStatement::Show);
    }
    if verb.eq_ignore_ascii_case("reset") {
        return Variable::parse(rest).map(|v| LocalStatement::Set(v, None));
    }
    if !verb.eq_ignore_ascii_case("set") {
        return None;
    }
    let rest = match split_word(rest) {
        (word, after) if word.eq_ignore_ascii_case("session") => after,
        _ => rest,
    };
    let end = rest
        .find(|c: char| c.is_whitespace() || c == '=')
        .unwrap_or(rest.len());
    let (name, after) = rest.split_at(end);
    let variable = Variable::parse(name)?;
    let value = match after.trim_start().strip_prefix('=') {
        Some(value) => value,
        None => match split_word(after.trim_start()) {
            (word, value) if word.eq_ignore_ascii_case("to") => value,
            _ => return None,
        },
    };
    let value = value.trim();
    if value.eq_ignore_ascii_case("default") {
        return Some(LocalStatement::Set(variable, None));
    }
    parse_value(value).map(|value| LocalStatement::Set(variable, Some(value)))
}

fn split_word(text: &str) -> (&str, &str) {
    let end = text.find(char::is_whitespace).unwrap_or(text.len());
    let (word, rest) = text.split_at(end);
    (word, rest.trim_start())
}

/// Parses a quoted string, in which a doubled quote stands for one, or a bare word of letters, digits, `-`, `_` and
/// `.`.
fn parse_value(text: &str) -> Option<String> {
    if let Some(inner) = text.strip_prefix('\'') {
        let inner = inner.strip_suffix('\'')?;
        let bare = inner.replace("''", "");
        return (!bare.contains('\'')).then(|| inner.replace("''", "'"));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    (!text.is_empty() && text.chars().all(allowed)).then(|| text.to_owned())
}
