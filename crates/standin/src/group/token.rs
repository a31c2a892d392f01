//! The lexer of the SQL that a slot understands.

use super::sql_error::SqlError;

/// One token of a statement. Syntax errors print it in its `Debug` form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Token {
    /// A keyword or identifier, in lower case unless it was quoted. Includes the dots of a qualified name.
    Word(String),
    /// A string literal, without its quotes.
    Text(String),
    /// An unsigned integer literal.
    Int(i64),
    /// A parameter `$N`.
    Param(usize),
    /// An operator or punctuation character.
    Sign(char),
}

/// Splits SQL text into statements and each into its tokens. Comments and empty statements are left out.
pub(crate) fn tokenize(sql: &str) -> Result<Vec<Vec<Token>>, SqlError> {
    let mut statements = vec![Vec::new()];
    let mut rest = sql;
    while let Some(c) = rest.trim_start().chars().next() {
        rest = rest.trim_start();
        let current = statements.last_mut().expect("never empty");
        if c == ';' {
            statements.push(Vec::new());
            rest = &rest[1..];
        } else if let Some(comment) = rest.strip_prefix("--") {
            rest = comment.split_once('\n').map_or("", |(_, after)| after);
        } else {
            let (token, after) = next_token(rest, c)?;
            current.push(token);
            rest = after;
        }
    }
    statements.retain(|tokens| !tokens.is_empty());
    Ok(statements)
}

/// Reads one token from the start of `rest`, whose first character is `first`. Returns it and the text after it.
fn next_token(rest: &str, first: char) -> Result<(Token, &str), SqlError> {
    match first {
        '\'' | '"' => quoted_token(rest, first),
        '0'..='9' => {
            let (digits, after) = take_while(rest, |c| c.is_ascii_digit());
            Ok((Token::Int(parse_number(digits)?), after))
        }
        '$' => {
            let (digits, after) = take_while(&rest[1..], |c| c.is_ascii_digit());
            Ok((Token::Param(parse_number(digits)? as usize), after))
        }
        c if c.is_alphabetic() || c == '_' => {
            let (word, after) = take_while(rest, |c| c.is_alphanumeric() || c == '_' || c == '.');
            Ok((Token::Word(word.to_lowercase()), after))
        }
        c => Ok((Token::Sign(c), &rest[c.len_utf8()..])),
    }
}

/// Reads a string literal or a quoted identifier. A doubled quote stands for one.
fn quoted_token(rest: &str, quote: char) -> Result<(Token, &str), SqlError> {
    let mut text = String::new();
    let mut chars = rest.char_indices().skip(1).peekable();
    while let Some((at, c)) = chars.next() {
        if c != quote {
            text.push(c);
        } else if chars.next_if(|(_, next)| *next == quote).is_some() {
            text.push(quote);
        } else {
            let token = if quote == '"' {
                Token::Word(text)
            } else {
                Token::Text(text)
            };
            return Ok((token, &rest[at + 1..]));
        }
    }
    Err(SqlError::Syntax(format!("unterminated {quote}")))
}

fn take_while(rest: &str, matches_char: impl Fn(char) -> bool) -> (&str, &str) {
    rest.split_at(rest.find(|c| !matches_char(c)).unwrap_or(rest.len()))
}

fn parse_number(digits: &str) -> Result<i64, SqlError> {
    digits
        .parse()
        .map_err(|_out_of_range| SqlError::Syntax(digits.to_owned()))
}
