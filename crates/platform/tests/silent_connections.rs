//! Connections that stay open and carry nothing more: only the absence of a response shows that they are lost.

use hyper::Method;
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use wasabiyard_platform::{HttpClient, HttpRequest};

const TIMEOUT: Duration = Duration::from_millis(1_200);

/// An HTTP server that can let its open connections go silent.
#[derive(Clone, Default)]
struct Server {
    requests: Arc<AtomicUsize>,
    delay_ms: Arc<AtomicU64>,
    connections: Arc<Mutex<Vec<Arc<AtomicUsize>>>>,
}

impl Server {
    fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let server = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let silent = Arc::new(AtomicUsize::new(0));
                server
                    .connections
                    .lock()
                    .expect("no panic")
                    .push(Arc::clone(&silent));
                let server = server.clone();
                // A client may close a connection at any time.
                thread::spawn(move || server.serve(&stream, &silent).is_ok());
            }
        });
        address
    }

    fn serve(&self, stream: &TcpStream, silent: &AtomicUsize) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream);
        loop {
            let mut body_bytes = 0;
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line)? == 0 {
                    return Ok(());
                }
                if let Some(length) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                    body_bytes = length.trim().parse().unwrap_or(0);
                }
                if line.trim().is_empty() {
                    break;
                }
            }
            reader.read_exact(&mut vec![0; body_bytes])?;
            self.requests.fetch_add(1, Ordering::Relaxed);
            if silent.load(Ordering::Relaxed) > 0 {
                continue;
            }
            thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed)));
            (&*stream).write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")?;
        }
    }

    fn silence_open_connections(&self) {
        for silent in self.connections.lock().expect("no panic").iter() {
            silent.store(1, Ordering::Relaxed);
        }
    }

    fn set_delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}

fn read(client: &HttpClient) -> Duration {
    let started = Instant::now();
    let req = HttpRequest::new(Method::GET, "/");
    async_io::block_on(client.execute(&req, TIMEOUT)).expect("a response");
    started.elapsed()
}

/// A read on an idle connection that went silent fails after its whole timeout, and the next one starts later still.
#[test]
fn a_read_on_a_silent_idle_connection_is_answered_on_a_new_one() {
    let server = Server::default();
    let client = HttpClient::new(server.listen());
    read(&client);
    server.silence_open_connections();
    let took = read(&client);
    assert!(took < TIMEOUT / 2, "answered after {took:?}");
}

/// A slow server must not get each read twice, which would slow it down further.
#[test]
fn reads_of_a_slow_server_are_not_repeated() {
    let server = Server::default();
    let client = HttpClient::new(server.listen());
    read(&client);
    server.set_delay(Duration::from_millis(700));
    read(&client);
    let before = server.requests();
    for _ in 0..3 {
        read(&client);
    }
    assert_eq!(server.requests() - before, 3);
}

/// A write that is sent twice may take effect twice, or conflict with itself.
#[test]
fn a_write_is_sent_once() {
    let server = Server::default();
    let client = HttpClient::new(server.listen());
    read(&client);
    server.silence_open_connections();
    let before = server.requests();
    let value = json!({});
    let req = HttpRequest {
        value: Some(&value),
        ..HttpRequest::new(Method::PUT, "/")
    };
    // Whether the response arrives depends on the connection that the client chose.
    let _outcome = async_io::block_on(client.execute(&req, TIMEOUT));
    assert_eq!(server.requests() - before, 1);
}

/// A connection that has been idle for long may have gone silent in the meantime, and a write cannot be tried again.
#[test]
fn a_write_uses_no_connection_that_was_idle_for_long() {
    let server = Server::default();
    let client = HttpClient::new(server.listen());
    read(&client);
    server.silence_open_connections();
    thread::sleep(Duration::from_secs(2));
    let value = json!({});
    let req = HttpRequest {
        value: Some(&value),
        ..HttpRequest::new(Method::PUT, "/")
    };
    async_io::block_on(client.execute(&req, TIMEOUT)).expect("a response");
}
