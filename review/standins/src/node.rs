//! The project's own program, started as the deploy file says.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// First port that is tried. The system takes the ports of outgoing connections from a higher range, so a connection that is
/// tried before an instance listens does not take its port.
const FIRST_PORT: u16 = 8400;
/// Port of the metrics page in `deploy/node.ini`.
const METRICS_PORT: u16 = 9464;

/// An instance with its settings file.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    root: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Node {
    /// Renders `deploy/node.ini` for the instance `number` and starts it. Each instance has a loopback address of its own.
    pub fn start(
        number: u8,
        zone: &str,
        root: &Path,
        dir: &Path,
        store: SocketAddr,
        promotion: SocketAddr,
        log: &Path,
    ) -> std::io::Result<Self> {
        let name = format!("frontend-{zone}-{number}");
        let ip = free_address(number)?;
        let callers = SocketAddr::new(ip, free_port(ip, FIRST_PORT)?);
        let readiness = SocketAddr::new(ip, free_port(ip, callers.port() + 1)?);
        let peers = UdpSocket::bind((ip, 0))?.local_addr()?.port();
        let mut text = fs::read_to_string(root.join("deploy/node.ini"))?;
        for (field, value) in [
            ("node_name", name.clone()),
            ("zone", zone.to_owned()),
            ("listen.frontend", callers.to_string()),
            ("listen.readiness", readiness.to_string()),
            ("ip", ip.to_string()),
            ("internal_ports.0", peers.to_string()),
            ("platform.address", store.to_string()),
            ("cloud_api.address", promotion.to_string()),
            ("bounds.revoke_ms", "5000".to_owned()),
            ("bounds.grace_s", "6".to_owned()),
            ("bounds.quota_allowance", "20".to_owned()),
        ] {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        // The platform renders a section only if there is a value for it.
        while let Some(start) = text.find("{{#") {
            let end = text[start..].find("{{/").expect("the end of a section") + start;
            let end = text[end..].find("}}").expect("the end of a field") + end + 2;
            text.replace_range(start..end, "");
        }
        let settings = dir.join(format!("{name}.conf"));
        fs::write(&settings, text)?;
        let mut node = Self {
            name,
            callers,
            readiness,
            root: root.to_owned(),
            settings,
            log: log.to_owned(),
            process: None,
        };
        node.spawn()?;
        Ok(node)
    }

    /// Starts the process with the command of `deploy/system.toml`.
    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let process = Command::new("target/release/wasabiyard-node")
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("LANG", "C")
            .env("WASABIYARD_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(process);
        Ok(())
    }

    /// Id of the process.
    pub fn pid(&self) -> Option<u32> {
        self.process.as_ref().map(Child::id)
    }

    /// Answer of the readiness page, as the platform asks for it.
    pub fn is_ready(&self) -> bool {
        let answer = || -> std::io::Result<String> {
            let mut stream = TcpStream::connect_timeout(&self.readiness, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /wasabiyard/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text)
        };
        answer().is_ok_and(|text| text.starts_with("HTTP/1.1 200"))
    }

    /// Sends SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _killed = process.kill();
            let _ended = process.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A loopback address on which the port of the metrics page is free.
fn free_address(number: u8) -> std::io::Result<IpAddr> {
    let mut last = None;
    for block in 20..120 {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 9, block, number + 1));
        match TcpListener::bind((ip, METRICS_PORT)) {
            Ok(_) => return Ok(ip),
            Err(e) => last = Some(e),
        }
    }
    Err(last.unwrap())
}

/// The first free port from `first` on.
fn free_port(ip: IpAddr, first: u16) -> std::io::Result<u16> {
    let mut tried = TcpListener::bind((ip, first));
    for port in first + 1..first + 500 {
        if tried.is_ok() {
            break;
        }
        tried = TcpListener::bind((ip, port));
    }
    Ok(tried?.local_addr()?.port())
}
