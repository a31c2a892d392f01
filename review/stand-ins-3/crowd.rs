//! A crowd of callers at one instance that do not behave: most send ahead without reading, others stop in the middle of a
//! message, do not take their answer, or fill their session with a value. Each message has a legal size.
//!
//! It runs as a process of its own, so that its descriptors are not those of the other stand-ins.

use crate::caller::Session;
use crate::fleet::DATABASE;
use std::io::{ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Sessions that send short requests without an end and read no answer.
const SENDERS: usize = 3_400;
/// Sessions with one large value each.
const HOLDERS: usize = 15;
/// Sessions that ask for a large row and do not take it.
const READERS: usize = 18;
/// Sessions that stop in the middle of a large request.
const UNFINISHED: usize = 28;
/// Length of a large value, row or request; a message may have 1 MiB.
const LARGE_BYTES: usize = 1_000_000;
/// Length of the value that each sender sets first.
const SMALL_BYTES: usize = 3_600;
/// What a sender writes at once, and the time from one to the next. Together they send at most 70 MB/s, 0.56 of the link of
/// a machine, so that no packet waits there.
const PIECE_BYTES: usize = 4 * 1_024;
const PIECE_PERIOD: Duration = Duration::from_millis(200);
const READER_PAUSE: Duration = Duration::from_millis(20);
/// Time for which the crowd stays.
const STAY: Duration = Duration::from_secs(20);

/// Opens the sessions and sends for a while.
pub fn run(address: SocketAddr) -> Result<()> {
    let mut senders = Vec::new();
    for _ in 0..SENDERS {
        senders.push(Sender::open(address)?);
    }
    let mut others = Vec::new();
    for i in 0..HOLDERS {
        let mut session = Session::open(address, DATABASE)?;
        session.run("1", &format!("SET v{i} {}", "x".repeat(LARGE_BYTES)))?;
        others.push(session.into_stream());
    }
    let mut writer = Session::open(address, DATABASE)?;
    writer.run("1", &format!("WRITE large {}", "x".repeat(LARGE_BYTES)))?;
    for _ in 0..READERS {
        let mut stream = Session::open(address, DATABASE)?.into_stream();
        stream.write_all(b"QUERY 1 READ large\r\n")?;
        others.push(stream);
        thread::sleep(READER_PAUSE);
    }
    for _ in 0..UNFINISHED {
        let mut stream = Session::open(address, DATABASE)?.into_stream();
        stream.write_all(b"QUERY 1 WRITE item ")?;
        stream.write_all("x".repeat(LARGE_BYTES).as_bytes())?;
        others.push(stream);
    }
    let request = "QUERY 1 SET v 1\r\n";
    let piece = request.repeat(PIECE_BYTES / request.len());
    let begun = Instant::now();
    while begun.elapsed() < STAY {
        let round = Instant::now();
        for sender in &mut senders {
            sender.send(piece.as_bytes());
        }
        thread::sleep(PIECE_PERIOD.saturating_sub(round.elapsed()));
    }
    Ok(())
}

struct Sender {
    stream: TcpStream,
    /// Rest of a piece of which a part was written.
    rest: Vec<u8>,
}

impl Sender {
    fn open(address: SocketAddr) -> Result<Self> {
        let mut session = Session::open(address, DATABASE)?;
        session.run("1", &format!("SET v {}", "x".repeat(SMALL_BYTES)))?;
        let stream = session.into_stream();
        stream.set_nonblocking(true)?;
        Ok(Self {
            stream,
            rest: Vec::new(),
        })
    }

    /// Writes the rest of the last piece, or the next one, as far as the connection takes it.
    fn send(&mut self, piece: &[u8]) {
        if self.rest.is_empty() {
            self.rest.extend_from_slice(piece);
        }
        match self.stream.write(&self.rest) {
            Ok(len) => drop(self.rest.drain(..len)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            // The instance has closed the connection.
            Err(_) => {}
        }
    }
}
