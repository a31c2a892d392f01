//! Processes of `wasabiyard-node`, started as the deploy file says, with the settings that its template gives.

use crate::record::Record;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// The program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/wasabiyard-node";

pub const STOP: i32 = 19;
pub const CONTINUE: i32 = 18;
const PORTS: Range<u16> = 20_000..30_000;
/// State of an open connection in `/proc/net/tcp`.
const ESTABLISHED: &str = "01";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Memory of a process as the platform counts it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Memory {
    pub resident: usize,
    /// Bytes of callers that were received and not read.
    pub unread: usize,
    /// Connections of callers.
    pub connections: usize,
}

impl Memory {
    pub const fn total(&self) -> usize {
        self.resident + self.unread
    }
}

/// Binds a port below those that the system gives to connections, so that none takes it before the process starts.
fn bind_free_port() -> std::io::Result<TcpListener> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id() * 97;
    for _ in 0..PORTS.len() {
        let offset = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS.len() as u32;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", PORTS.start + offset as u16)) {
            return Ok(listener);
        }
    }
    Err(std::io::Error::other("no free port"))
}

#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Node {
    pub fn open(
        name: &str,
        zone: &str,
        zones: &[&str],
        store: SocketAddr,
        platform: SocketAddr,
        dir: &Path,
    ) -> std::io::Result<Self> {
        let ports: Vec<TcpListener> = (0..4).map(|_| bind_free_port()).collect::<Result<_, _>>()?;
        let addresses: Vec<SocketAddr> = ports
            .iter()
            .map(TcpListener::local_addr)
            .collect::<Result<_, _>>()?;
        drop(ports);
        let regions: String = zones.iter().map(|z| format!("{z} = r\n")).collect();
        let text = format!(
            "[instance]\nid = {name}\nfailure_domain = {zone}\n[listen]\ncallers = {}\nreadiness = {}\npeers = {}\n\
             metrics = {}\n[store]\naddress = {store}\n[promotion]\naddress = {platform}\n[limits]\n\
             revocation_ms = 5000\ngrace_ms = 6000\nrate_tolerance = 20\n[usage]\nduties = failover\n\
             [regions]\n{regions}[resources]\nmemory_mb = 260\nmax_descriptors = 4300\n",
            addresses[0], addresses[1], addresses[2], addresses[3],
        );
        let settings = dir.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let mut node = Self {
            name: name.to_owned(),
            callers: addresses[0],
            readiness: addresses[1],
            settings,
            log: dir.join(format!("{name}.log")),
            process: None,
        };
        node.start()?;
        Ok(node)
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let process = Command::new(PROGRAM)
            .env("WASABIYARD_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(process);
        Ok(())
    }

    pub fn signal(&self, signal: i32, record: &Record) {
        let Some(process) = &self.process else { return };
        let name = match signal {
            STOP => "frozen",
            _ => "runs again",
        };
        record.line(&format!("{}: {name}", self.name));
        // SAFETY: a signal to a process that this one has started and not yet waited for.
        unsafe { kill(process.id() as i32, signal) };
    }

    pub fn is_ready(&self) -> bool {
        is_ready_at(self.readiness, Duration::from_millis(500))
    }

    /// Ends the process at once.
    pub fn kill(&mut self) -> std::io::Result<()> {
        if let Some(mut process) = self.process.take() {
            process.kill()?;
            process.wait()?;
        }
        Ok(())
    }

    /// Reads the memory of the process from the files of the system.
    pub fn memory(&self) -> std::io::Result<Memory> {
        let process = self
            .process
            .as_ref()
            .ok_or_else(|| std::io::Error::other("not started"))?;
        let status = fs::read_to_string(format!("/proc/{}/status", process.id()))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = resident.and_then(|text| text.trim().strip_suffix(" kB")?.parse::<usize>().ok());
        let mut memory = Memory {
            resident: kilobytes.ok_or_else(|| std::io::Error::other("no resident memory"))? * 1_024,
            ..Memory::default()
        };
        let port = format!(":{:04X}", self.callers.port());
        for line in fs::read_to_string("/proc/net/tcp")?.lines() {
            let fields: Vec<&str> = line.split_whitespace().collect();
            // Local address, remote address, state, and the bytes to send and to read.
            let [_, local, _, ESTABLISHED, queues, ..] = fields.as_slice() else {
                continue;
            };
            if let Some((_, unread)) = queues.split_once(':')
                && local.ends_with(&port)
            {
                memory.connections += 1;
                memory.unread += usize::from_str_radix(unread, 16).unwrap_or(0);
            }
        }
        Ok(memory)
    }

    /// The lines of the log that hold one of the texts.
    pub fn log_lines(&self, texts: &[&str]) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log
            .lines()
            .filter(|line| texts.iter().any(|text| line.contains(text)));
        lines.map(str::to_owned).collect()
    }
}

/// Asks once whether an instance is ready, and waits for the answer up to `limit`.
pub fn is_ready_at(address: SocketAddr, limit: Duration) -> bool {
    let ask = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_read_timeout(Some(limit))?;
        stream.write_all(b"GET /wasabiyard/readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    ask().is_ok_and(|text| text.starts_with("HTTP/1.1 200"))
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            // It may have ended already.
            let _ended = process.kill();
            let _status = process.wait();
        }
    }
}
