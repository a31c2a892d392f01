//! A recursive descent parser of the SQL subset that a slot understands.

use super::sql_error::SqlError;
use super::statement::{Expr, Filter, GroupFunction, Projection, Statement, Table};
use super::token::{Token, tokenize};
use super::value::Value;

/// Parses SQL text of any number of statements.
pub(crate) fn parse(sql: &str) -> Result<Vec<Statement>, SqlError> {
    tokenize(sql)?
        .iter()
        .map(|tokens| Parser { rest: tokens }.statement())
        .collect()
}

/// Parses one statement; holds the tokens that are not consumed yet.
struct Parser<'a> {
    rest: &'a [Token],
}

impl Parser<'_> {
    fn statement(&mut self) -> Result<Statement, SqlError> {
        let verb = self.expect_word()?;
        let statement = match verb.as_str() {
            "begin" | "start" => self.skip_rest(Statement::Begin),
            "commit" | "end" => self.skip_rest(Statement::Commit),
            "rollback" | "abort" => self.skip_rest(Statement::Rollback),
            "set" => self.set()?,
            "show" => Statement::Show(self.expect_word()?),
            "discard" => {
                self.expect_keyword("all")?;
                Statement::DiscardAll
            }
            "deallocate" => self.deallocate()?,
            "insert" => self.insert()?,
            "delete" => self.delete()?,
            "select" => self.select()?,
            _ => return Err(SqlError::Syntax(verb)),
        };
        match self.rest.first() {
            None => Ok(statement),
            Some(token) => Err(unexpected_token(Some(token))),
        }
    }

    fn set(&mut self) -> Result<Statement, SqlError> {
        if !self.accept_keyword("session") {
            self.accept_keyword("local");
        }
        let name = self.expect_word()?;
        if !self.accept_sign('=') {
            self.expect_keyword("to")?;
        }
        let value = match self.rest {
            [Token::Word(word)] => Expr::Value(Value::text(word)),
            _ => self.expr()?,
        };
        // The rest of a list such as `search_path = a, b` is ignored: no setting that this stand-in uses is a list.
        self.rest = &[];
        Ok(Statement::Set { name, value })
    }

    fn deallocate(&mut self) -> Result<Statement, SqlError> {
        self.accept_keyword("prepare");
        let name = self.expect_word()?;
        Ok(Statement::Deallocate((name != "all").then_some(name)))
    }

    fn insert(&mut self) -> Result<Statement, SqlError> {
        self.expect_keyword("into")?;
        let table = Table::by_name(&self.expect_word()?)?;
        let mut order = [0, 1];
        if self.accept_sign('(') {
            let first = table.column(&self.expect_word()?)?;
            self.expect_sign(',')?;
            let second = table.column(&self.expect_word()?)?;
            self.expect_sign(')')?;
            if first == second {
                return Err(SqlError::Syntax(table.columns()[first].name.to_owned()));
            }
            order = [first, second];
        }
        self.expect_keyword("values")?;
        let mut rows = Vec::new();
        loop {
            self.expect_sign('(')?;
            let first = self.expr()?;
            self.expect_sign(',')?;
            let second = self.expr()?;
            self.expect_sign(')')?;
            rows.push(if order == [0, 1] {
                [first, second]
            } else {
                [second, first]
            });
            if !self.accept_sign(',') {
                return Ok(Statement::Insert { table, rows });
            }
        }
    }

    fn delete(&mut self) -> Result<Statement, SqlError> {
        self.expect_keyword("from")?;
        let table = Table::by_name(&self.expect_word()?)?;
        let filters = self.filters(table)?;
        Ok(Statement::Delete { table, filters })
    }

    fn select(&mut self) -> Result<Statement, SqlError> {
        if let [Token::Word(name), Token::Sign('('), rest @ ..] = self.rest {
            match name.as_str() {
                "generate_series" => {
                    self.rest = rest;
                    let from = self.expr()?;
                    self.expect_sign(',')?;
                    let to = self.expr()?;
                    self.expect_sign(')')?;
                    return Ok(Statement::Series { from, to });
                }
                "sleep" => {
                    self.rest = rest;
                    let duration = self.expr()?;
                    self.expect_sign(')')?;
                    return Ok(Statement::Sleep(duration));
                }
                _ => {}
            }
        }
        match self.rest.iter().position(|t| is_word(t, "from")) {
            Some(at) => self.select_from(at),
            None => Ok(Statement::Values(self.expr_list()?)),
        }
    }

    /// Parses a SELECT whose keyword FROM is the token at index `from`.
    fn select_from(&mut self, from: usize) -> Result<Statement, SqlError> {
        let mut names = Parser {
            rest: &self.rest[..from],
        };
        self.rest = &self.rest[from + 1..];
        let source = self.expect_word()?;
        if self.accept_sign('(') {
            let function = GroupFunction::by_name(&source).ok_or(SqlError::UndefinedFunction(source))?;
            let args = if self.accept_sign(')') {
                Vec::new()
            } else {
                let args = self.expr_list()?;
                self.expect_sign(')')?;
                args
            };
            return Ok(Statement::Call { function, args });
        }
        let table = Table::by_name(&source)?;
        let projection = names.projection(table)?;
        let filters = self.filters(table)?;
        if self.accept_keyword("order") {
            // Accepted without effect: rows always come in the order of the first column.
            self.expect_keyword("by")?;
            table.column(&self.expect_word()?)?;
            self.accept_keyword("asc");
        }
        let limit = if self.accept_keyword("limit") {
            Some(self.expr()?)
        } else {
            None
        };
        Ok(Statement::Select {
            table,
            projection,
            filters,
            limit,
        })
    }

    fn projection(&mut self, table: Table) -> Result<Projection, SqlError> {
        if self.accept_sign('*') {
            return Ok(Projection::Columns(vec![0, 1]));
        }
        match self.rest {
            [
                Token::Word(name),
                Token::Sign('('),
                Token::Sign('*'),
                Token::Sign(')'),
            ] if name == "count" => {
                return Ok(Projection::Count);
            }
            [Token::Word(name), Token::Sign('('), _, Token::Sign(')')] if name == "sum" => {
                return Ok(Projection::Sum);
            }
            _ => {}
        }
        let mut columns = vec![table.column(&self.expect_word()?)?];
        while self.accept_sign(',') {
            columns.push(table.column(&self.expect_word()?)?);
        }
        Ok(Projection::Columns(columns))
    }

    fn filters(&mut self, table: Table) -> Result<Vec<Filter>, SqlError> {
        let mut filters = Vec::new();
        let mut more = self.accept_keyword("where");
        while more {
            let column = table.column(&self.expect_word()?)?;
            self.expect_sign('=')?;
            let value = self.expr()?;
            filters.push(Filter { column, value });
            more = self.accept_keyword("and");
        }
        Ok(filters)
    }

    fn expr_list(&mut self) -> Result<Vec<Expr>, SqlError> {
        let mut list = vec![self.expr()?];
        while self.accept_sign(',') {
            list.push(self.expr()?);
        }
        Ok(list)
    }

    fn expr(&mut self) -> Result<Expr, SqlError> {
        let negative = self.accept_sign('-');
        let (first, rest) = self.rest.split_first().ok_or_else(|| unexpected_token(None))?;
        let expr = match first {
            Token::Int(n) => Expr::Value(Value::Int(if negative { -n } else { *n })),
            Token::Text(text) if !negative => Expr::Value(Value::text(text)),
            Token::Param(n) if !negative => Expr::Param(*n),
            Token::Word(word) if !negative && word == "null" => Expr::Value(Value::Null),
            token => return Err(unexpected_token(Some(token))),
        };
        self.rest = rest;
        // A cast `::type` is accepted and ignored, since values convert where they are used.
        if let [Token::Sign(':'), Token::Sign(':'), Token::Word(_), rest @ ..] = self.rest {
            self.rest = rest;
        }
        Ok(expr)
    }

    /// Skips the options after a keyword such as BEGIN.
    fn skip_rest(&mut self, statement: Statement) -> Statement {
        self.rest = &[];
        statement
    }

    /// Consumes a keyword or identifier.
    fn expect_word(&mut self) -> Result<String, SqlError> {
        match self.rest.split_first() {
            Some((Token::Word(word), rest)) => {
                self.rest = rest;
                Ok(word.clone())
            }
            other => Err(unexpected_token(other.map(|(token, _)| token))),
        }
    }

    /// Consumes the given keyword, or fails.
    fn expect_keyword(&mut self, word: &str) -> Result<(), SqlError> {
        if self.accept_keyword(word) {
            Ok(())
        } else {
            Err(unexpected_token(self.rest.first()))
        }
    }

    /// Consumes the given keyword if it comes next.
    fn accept_keyword(&mut self, word: &str) -> bool {
        self.accept_if(|token| is_word(token, word))
    }

    fn expect_sign(&mut self, sign: char) -> Result<(), SqlError> {
        if self.accept_sign(sign) {
            Ok(())
        } else {
            Err(unexpected_token(self.rest.first()))
        }
    }

    fn accept_sign(&mut self, sign: char) -> bool {
        self.accept_if(|token| *token == Token::Sign(sign))
    }

    fn accept_if(&mut self, matches: impl Fn(&Token) -> bool) -> bool {
        match self.rest.split_first() {
            Some((token, rest)) if matches(token) => {
                self.rest = rest;
                true
            }
            _ => false,
        }
    }
}

fn is_word(token: &Token, word: &str) -> bool {
    matches!(token, Token::Word(w) if w == word)
}

fn unexpected_token(token: Option<&Token>) -> SqlError {
    SqlError::Syntax(token.map_or_else(|| "end of input".to_owned(), |token| format!("{token:?}")))
}
