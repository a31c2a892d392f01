//! A home that responds according to the text of a statement and records what reached it.

use super::client::frame;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use wasabiyard_model::{LogPoint, NotRun, OutcomeUnknown};
use wasabiyard_wire::{INITIAL_CREDIT_BYTES, OpenStream, StreamId, StreamMessage, StreamOutcome};
use wasabiyardd::channel::StreamEndpoint;
use wasabiyardd::home::ServeFuture;

#[derive(Debug, Default)]
pub struct ScriptedHome {
    /// The opening messages of all streams.
    pub opens: Mutex<Vec<OpenStream>>,
    /// Texts of all statements that reached the home.
    pub statements: Mutex<Vec<String>>,
    /// Number of streams that the entry abandoned.
    pub abandoned: AtomicU32,
    /// Number of cancel requests received.
    pub cancelled: AtomicU32,
    /// Number of requests still to be refused as not run before one is served.
    pub refusals_left: AtomicU32,
    /// Not 0 while the rate limit refuses all statements.
    pub rate_exhausted: AtomicU32,
    commits: AtomicU64,
}

struct ScriptedStream {
    id: StreamId,
    endpoint: StreamEndpoint,
    input: Vec<u8>,
    credit: i64,
    status: u8,
    commit: Option<LogPoint>,
    failed: bool,
}

impl ScriptedHome {
    pub fn take_token(&self) -> Option<()> {
        (self.rate_exhausted.load(Ordering::SeqCst) == 0).then_some(())
    }

    pub fn statements(&self) -> Vec<String> {
        self.statements.lock().expect("lock").clone()
    }

    pub fn serve(self: Arc<Self>, id: StreamId, open: OpenStream, endpoint: StreamEndpoint) -> ServeFuture {
        self.opens.lock().expect("lock").push(open);
        Box::pin(async move {
            let mut stream = ScriptedStream {
                id,
                endpoint,
                input: Vec::new(),
                credit: i64::from(INITIAL_CREDIT_BYTES),
                status: b'I',
                commit: None,
                failed: false,
            };
            let outcome = self.run(&mut stream).await;
            if let Some(outcome) = outcome {
                drop(stream.endpoint.tx.try_send(StreamMessage::End(id, outcome)));
            }
        })
    }

    async fn run(&self, stream: &mut ScriptedStream) -> Option<StreamOutcome> {
        let refuse = |n: u32| n.checked_sub(1);
        loop {
            let (tag, body) = stream.message(self).await?;
            let text = || {
                let skip = if tag == b'P' {
                    body.iter().position(|b| *b == 0).map_or(0, |i| i + 1)
                } else {
                    0
                };
                let text = body[skip..].split(|b| *b == 0).next().unwrap_or_default();
                String::from_utf8_lossy(text).into_owned()
            };
            if self
                .refusals_left
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, refuse)
                .is_ok()
            {
                return Some(StreamOutcome::NotRun(NotRun::NoPrimary));
            }
            match tag {
                b'Q' => {
                    let text = text();
                    self.statements.lock().expect("lock").push(text.clone());
                    match text.split(' ').next().unwrap_or_default() {
                        "LOSE" => return Some(StreamOutcome::OutcomeUnknown(OutcomeUnknown::ConnectionLost)),
                        "HALF" => {
                            stream.data(&frame(b'D', &[0; 50])[..20]);
                            return Some(StreamOutcome::OutcomeUnknown(OutcomeUnknown::ConnectionLost));
                        }
                        "SILENT" => stream.wait_for_cancel(self).await?,
                        "COPY" => stream.data(&frame(b'G', &[0; 3])),
                        _ => self.execute(stream, &text).await,
                    }
                    if !text.starts_with("COPY") {
                        stream.ready();
                    }
                }
                b'P' => {
                    self.statements.lock().expect("lock").push(text());
                    stream.failed |= text().contains("BAD");
                    let message = if stream.failed {
                        frame(b'E', b"C42601\0\0")
                    } else {
                        frame(b'1', b"")
                    };
                    stream.data(&message);
                }
                b'B' if !stream.failed => stream.data(&frame(b'2', b"")),
                b'C' if !stream.failed => stream.data(&frame(b'3', b"")),
                b'D' if !stream.failed => stream.data(&frame(b'n', b"")),
                b'E' if !stream.failed => stream.data(&frame(b'C', b"SELECT 1\0")),
                b'f' => {
                    stream.data(&frame(b'E', b"C57014\0\0"));
                    stream.ready();
                }
                b'S' => stream.ready(),
                _ => {}
            }
            if matches!(tag, b'Q' | b'S' | b'f') && stream.status == b'I' && !body.starts_with(b"COPY") {
                return Some(StreamOutcome::Complete {
                    commit: stream.commit,
                    from_replica: false,
                });
            }
        }
    }

    async fn execute(&self, stream: &mut ScriptedStream, text: &str) {
        let mut words = text.split(' ');
        match words.next().unwrap_or_default() {
            "BEGIN" => stream.status = b'T',
            "COMMIT" | "ROLLBACK" => stream.status = b'I',
            "INSERT" => {
                let position = self.commits.fetch_add(1, Ordering::SeqCst) + 1;
                stream.commit = Some(LogPoint::new(1, position));
            }
            "ROWS" => {
                let row = frame(
                    b'D',
                    &[0, 1, 0, 0, 0, 90]
                        .iter()
                        .chain(&[b'x'; 90])
                        .copied()
                        .collect::<Vec<_>>(),
                );
                for _ in 0..words.next().and_then(|n| n.parse().ok()).unwrap_or(0) {
                    stream.send_within_credit(&row, self).await;
                }
            }
            _ => {}
        }
        let tag = text.split(' ').take(2).collect::<Vec<_>>().join(" ");
        stream.data(&frame(b'C', format!("{tag}\0").as_bytes()));
    }
}

impl ScriptedStream {
    /// Receives the next message of the caller; `None` when the caller is gone.
    async fn message(&mut self, home: &ScriptedHome) -> Option<(u8, Vec<u8>)> {
        loop {
            if self.input.len() >= 5 {
                let n = u32::from_be_bytes(self.input[1..5].try_into().expect("four bytes")) as usize;
                if self.input.len() > n {
                    let message: Vec<u8> = self.input.drain(..=n).collect();
                    return Some((message[0], message[5..].to_vec()));
                }
            }
            self.receive(home).await?;
        }
    }

    async fn receive(&mut self, home: &ScriptedHome) -> Option<()> {
        match self.endpoint.rx.recv().await {
            Ok(StreamMessage::Data(_, data)) => self.input.extend(data),
            Ok(StreamMessage::Credit(_, bytes)) => self.credit += i64::from(bytes),
            Ok(StreamMessage::Cancel(_)) => {
                home.cancelled.fetch_add(1, Ordering::SeqCst);
            }
            Ok(StreamMessage::Abandon(_)) | Err(_) => {
                home.abandoned.fetch_add(1, Ordering::SeqCst);
                return None;
            }
            Ok(_) => {}
        }
        Some(())
    }

    /// Sends nothing until the caller cancels; `None` when the caller is gone.
    async fn wait_for_cancel(&mut self, home: &ScriptedHome) -> Option<()> {
        let before = home.cancelled.load(Ordering::SeqCst);
        while home.cancelled.load(Ordering::SeqCst) == before {
            self.receive(home).await?;
        }
        self.data(&frame(b'E', b"C57014\0\0"));
        Some(())
    }

    fn data(&mut self, bytes: &[u8]) {
        self.credit -= bytes.len() as i64;
        drop(
            self.endpoint
                .tx
                .try_send(StreamMessage::Data(self.id, bytes.to_vec())),
        );
    }

    /// Waits for enough credit before it sends, as every home must.
    async fn send_within_credit(&mut self, bytes: &[u8], home: &ScriptedHome) {
        while self.credit < bytes.len() as i64 && self.receive(home).await.is_some() {}
        self.data(bytes);
    }

    fn ready(&mut self) {
        self.failed = false;
        let status = self.status;
        self.data(&frame(b'Z', &[status]));
    }
}
