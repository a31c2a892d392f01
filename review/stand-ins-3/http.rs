//! An HTTP/1.1 server with a thread for each connection.

use crate::json::Json;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// A request that was read whole.
#[derive(Debug)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub query: String,
    /// Headers by their names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Json,
}

/// Status of an answer that is not sent.
const LOST: u16 = 0;

/// The answer to a call.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub body: Json,
}

impl Reply {
    /// No answer, to this call or to later ones of its connection.
    pub const fn lost() -> Self {
        Self::new(LOST, Json::Null)
    }

    pub const fn new(status: u16, body: Json) -> Self {
        Self { status, body }
    }
}

/// Serves a connection until it ends.
pub fn serve_connection<F>(stream: TcpStream, handle: &F) -> std::io::Result<()>
where
    F: Fn(&Call) -> Reply,
{
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(call) = read_call(&mut reader)? {
        let Reply { status, body } = handle(&call);
        if status == LOST {
            std::io::copy(&mut reader, &mut std::io::sink())?;
            return Ok(());
        }
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

fn read_call(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Call>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let len = headers
        .get("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; len];
    reader.read_exact(&mut body)?;
    let body = Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null);
    Ok(Some(Call {
        method,
        path,
        query,
        headers,
        body,
    }))
}

/// Serves each connection of a listener in a thread of its own.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&Call) -> Reply + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            // Clients may drop connections at any time.
            thread::spawn(move || serve_connection(stream, &*handle).is_ok());
        }
    });
}
