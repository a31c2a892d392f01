//! The settings of the daemon, read from an INI file. The whole file is validated before anything starts.

mod error;
mod reader;
mod table;

pub use error::SettingsError;
pub use table::{SETTINGS, Setting};

use reader::SettingsReader;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{Incarnation, InstanceId};

/// Text that its `Debug` output does not reveal.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Returns the text.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Secret {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Section `[instance]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Name of the instance, unique in the fleet.
    pub id: InstanceId,
    /// Name of the failure domain that this instance shares with those that may fail together with it.
    pub failure_domain: String,
    /// Name of the region. The daemon only validates it.
    pub region: String,
    /// Incarnation under which the platform lists this process; if absent, the start time in milliseconds is used.
    pub incarnation: Option<Incarnation>,
}

/// Section `[listen]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenSettings {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for peers. Peers connect to this address, so its IP must be specified.
    pub peers: SocketAddr,
    /// Listener of the admin server, which speaks HTTP.
    pub admin: SocketAddr,
}

/// Section `[tls]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsSettings {
    /// Paths of the certificate chain and the private key; absent without TLS.
    pub files: Option<(PathBuf, PathBuf)>,
    /// Whether callers may send their keys over connections without TLS.
    pub allow_cleartext_keys: bool,
}

/// Section `[platform]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address of the platform's object API.
    pub address: SocketAddr,
    /// Timeout of one call.
    pub timeout: Duration,
}

/// Section `[backend]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendSettings {
    /// User name for logins at the slots of databases.
    pub user: String,
    /// Password for logins at the slots of databases.
    pub password: Secret,
}

/// Section `[fleet]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// Secret shared by all instances, which authenticates the links between them.
    pub secret: Secret,
    /// Peer listeners that are contacted before any members are known.
    pub seeds: Vec<SocketAddr>,
}

/// Section `[traffic]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficSettings {
    /// Number of traffic threads.
    pub threads: usize,
    /// Maximum number of caller connections.
    pub max_callers: usize,
    /// Maximum size of one message of a caller, in bytes.
    pub max_message: usize,
    /// Time limit of a graceful shutdown, which waits for callers and streams to end and transfers the rate shares.
    pub drain_timeout: Duration,
    /// Time that an open transaction may wait for its caller's next statement.
    pub idle_in_transaction: Duration,
}

/// All settings of the daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Section `[instance]`.
    pub instance: InstanceSettings,
    /// Section `[listen]`.
    pub listen: ListenSettings,
    /// Section `[tls]`.
    pub tls: TlsSettings,
    /// Section `[platform]`.
    pub platform: PlatformSettings,
    /// Section `[backend]`.
    pub backend: BackendSettings,
    /// Section `[fleet]`.
    pub fleet: FleetSettings,
    /// Section `[traffic]`.
    pub traffic: TrafficSettings,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// The first error found, with section, key, value and remedy.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Validates settings given as text.
    ///
    /// # Errors
    ///
    /// As [`Settings::load`].
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let reader = SettingsReader::new(text)?;
        Ok(Self {
            instance: InstanceSettings {
                id: InstanceId::from(reader.name("instance", "id")?.as_str()),
                failure_domain: reader.name("instance", "failure_domain")?,
                region: reader.name("instance", "region")?,
                incarnation: reader.incarnation()?,
            },
            listen: ListenSettings {
                callers: reader.address("listen", "callers")?,
                peers: reader.reachable_address("listen", "peers")?,
                admin: reader.address("listen", "admin")?,
            },
            tls: TlsSettings {
                files: reader.tls_files()?,
                allow_cleartext_keys: reader.flag("tls", "allow_cleartext_keys")?,
            },
            platform: PlatformSettings {
                address: reader.address("platform", "address")?,
                timeout: reader.duration("platform", "timeout", 100, 60_000)?,
            },
            backend: BackendSettings {
                user: reader.text("backend", "user", 1, 63)?,
                password: Secret::from(reader.text("backend", "password", 1, 1_024)?.as_str()),
            },
            fleet: FleetSettings {
                secret: Secret::from(reader.text("fleet", "secret", 16, 1_024)?.as_str()),
                seeds: reader.addresses("fleet", "seeds", 64)?,
            },
            traffic: Self::traffic(&reader)?,
        })
    }

    fn traffic(reader: &SettingsReader) -> Result<TrafficSettings, SettingsError> {
        let threads = match reader.number("traffic", "threads", 0, 256)? {
            // One core is left for the control thread.
            0 => std::thread::available_parallelism().map_or(1, |n| n.get().saturating_sub(1).max(1)),
            n => n,
        };
        Ok(TrafficSettings {
            threads,
            max_callers: reader.number("traffic", "max_callers", 1, 1_000_000)?,
            max_message: reader.number("traffic", "max_message", 1_024, 64 * 1024 * 1024)?,
            drain_timeout: reader.duration("traffic", "drain_timeout", 100, 3_600_000)?,
            idle_in_transaction: reader.duration("traffic", "idle_in_transaction", 100, 3_600_000)?,
        })
    }
}
