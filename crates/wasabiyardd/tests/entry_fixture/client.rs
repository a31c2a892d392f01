//! A client that sends raw messages of the `PostgreSQL` protocol, valid or not.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The response to one request.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// SQLSTATE of the first error.
    pub error: Option<String>,
    /// Tags of the `CommandComplete` messages.
    pub tags: Vec<String>,
    /// First column of each row.
    pub rows: Vec<String>,
    /// Types of all messages, in order.
    pub types: String,
    /// Status of `ReadyForQuery`; `None` when the connection ended before it.
    pub status: Option<char>,
}

pub struct Client {
    pub socket: TcpStream,
    pub parameters: HashMap<String, String>,
    pub cancel_key: Vec<u8>,
    buf: Vec<u8>,
}

/// Encodes a message with a tag.
pub fn frame(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

/// Encodes the first message of a connection, which has a request code instead of a tag.
pub fn startup(code: u32, body: &[u8]) -> Vec<u8> {
    let mut out = (body.len() as u32 + 8).to_be_bytes().to_vec();
    out.extend(code.to_be_bytes());
    out.extend(body);
    out
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        let socket = TcpStream::connect(address).expect("a connection");
        socket
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("a timeout");
        Self {
            socket,
            parameters: HashMap::new(),
            cancel_key: Vec::new(),
            buf: Vec::new(),
        }
    }

    /// Logs in. The error is the SQLSTATE of the refusal, or `closed` when the connection ended without one.
    pub fn login(
        address: SocketAddr,
        user: &str,
        key: &str,
        database: &str,
        options: &str,
    ) -> Result<Self, String> {
        let mut client = Self::connect(address);
        let body = format!("user\0{user}\0database\0{database}\0options\0{options}\0\0");
        client.send(&startup(196_608, body.as_bytes()));
        loop {
            let Some((tag, body)) = client.receive() else {
                return Err("closed".to_owned());
            };
            match tag {
                b'R' if body == [0, 0, 0, 3] => client.send(&frame(b'p', format!("{key}\0").as_bytes())),
                b'E' => return Err(sqlstate(&body)),
                b'S' => client.record_parameter(&body),
                b'K' => client.cancel_key = body,
                b'Z' => return Ok(client),
                _ => {}
            }
        }
    }

    /// Sends bytes. Errors are ignored, because the entry may have closed the connection already.
    pub fn send(&mut self, bytes: &[u8]) {
        drop(self.socket.write_all(bytes));
    }

    /// Receives the next message; `None` at the end of the connection.
    pub fn receive(&mut self) -> Option<(u8, Vec<u8>)> {
        loop {
            if self.buf.len() >= 5 {
                let n = u32::from_be_bytes(self.buf[1..5].try_into().expect("four bytes")) as usize;
                if self.buf.len() > n {
                    let message: Vec<u8> = self.buf.drain(..=n).collect();
                    return Some((message[0], message[5..].to_vec()));
                }
            }
            let mut chunk = [0; 16_384];
            match self.socket.read(&mut chunk) {
                Ok(n) if n > 0 => self.buf.extend_from_slice(&chunk[..n]),
                _ => return None,
            }
        }
    }

    /// Reads up to `ReadyForQuery` or the end of the connection.
    pub fn read_response(&mut self) -> Response {
        let mut response = Response::default();
        while let Some((tag, body)) = self.receive() {
            response.types.push(char::from(tag));
            match tag {
                b'E' if response.error.is_none() => response.error = Some(sqlstate(&body)),
                b'C' => response.tags.push(text(&body)),
                b'D' => response
                    .rows
                    .push(String::from_utf8_lossy(&body[6..]).into_owned()),
                b'S' => self.record_parameter(&body),
                b'Z' => {
                    response.status = Some(char::from(body[0]));
                    break;
                }
                _ => {}
            }
        }
        response
    }

    pub fn query(&mut self, sql: &str) -> Response {
        self.send(&frame(b'Q', format!("{sql}\0").as_bytes()));
        self.read_response()
    }

    fn record_parameter(&mut self, body: &[u8]) {
        let text = String::from_utf8_lossy(body).into_owned();
        let mut parts = text.split('\0').map(str::to_owned);
        if let (Some(name), Some(value)) = (parts.next(), parts.next()) {
            self.parameters.insert(name, value);
        }
    }
}

fn text(body: &[u8]) -> String {
    String::from_utf8_lossy(body.strip_suffix(&[0]).unwrap_or(body)).into_owned()
}

fn sqlstate(body: &[u8]) -> String {
    let fields = body.split(|b| *b == 0);
    let code = fields.into_iter().find(|f| f.first() == Some(&b'C'));
    code.map(|f| text(&f[1..])).unwrap_or_default()
}
