//! Settings from the command line and the settings file. Options take precedence over the file.

use crate::{Arguments, CtlError};
use ini::Ini;
use std::net::SocketAddr;
use std::time::Duration;

const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Addresses of the platform and of the instances, and the timeout of requests to them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    platform: Option<SocketAddr>,
    admin: Vec<SocketAddr>,
    /// Time limit of one request to the platform or to an admin address.
    pub timeout: Duration,
}

impl Settings {
    /// Loads the settings file that `--config` names, if any, and applies the options over it.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or a value is malformed.
    pub fn load(args: &Arguments) -> Result<Self, CtlError> {
        let text = args.config.as_ref().map(std::fs::read_to_string).transpose();
        let text = text.map_err(|source| CtlError::ReadFile {
            path: args.config.clone().unwrap_or_default(),
            source,
        })?;
        let mut settings = Self::parse(&text.unwrap_or_default())?;
        if args.platform.is_some() {
            settings.platform = args.platform;
        }
        if let Some(list) = &args.admin {
            settings.admin = parse_addresses("--admin", list)?;
        }
        Ok(settings)
    }

    /// Parses the text of a settings file: `[platform] address`, `[platform] timeout` and `[admin] addresses`. Other
    /// sections are ignored, so that the settings file of a daemon can be given for its `[platform]` section.
    ///
    /// # Errors
    ///
    /// When the text is not INI or a value is malformed.
    pub fn parse(text: &str) -> Result<Self, CtlError> {
        let ini = Ini::load_from_str(text).map_err(|e| CtlError::SettingsSyntax { line: e.line })?;
        let platform = ini.get_from(Some("platform"), "address");
        let admin = ini.get_from(Some("admin"), "addresses");
        let timeout = ini.get_from(Some("platform"), "timeout");
        Ok(Self {
            platform: platform
                .map(|text| parse_address("[platform] address", text))
                .transpose()?,
            admin: admin.map_or(Ok(Vec::new()), |text| parse_addresses("[admin] addresses", text))?,
            timeout: timeout.map_or(Ok(DEFAULT_REQUEST_TIMEOUT), parse_timeout)?,
        })
    }

    /// Returns the address of the platform.
    ///
    /// # Errors
    ///
    /// When neither an option nor the file gives it.
    pub fn platform(&self) -> Result<SocketAddr, CtlError> {
        self.platform.ok_or(CtlError::MissingSetting {
            description: "address of the platform",
            option: "--platform IP:PORT",
            setting: "[platform] address",
        })
    }

    /// Returns the admin addresses of the instances.
    ///
    /// # Errors
    ///
    /// When neither an option nor the file gives one.
    pub fn admin(&self) -> Result<&[SocketAddr], CtlError> {
        if self.admin.is_empty() {
            return Err(CtlError::MissingSetting {
                description: "admin addresses",
                option: "--admin IP:PORT,...",
                setting: "[admin] addresses",
            });
        }
        Ok(&self.admin)
    }
}

fn parse_addresses(location: &'static str, list: &str) -> Result<Vec<SocketAddr>, CtlError> {
    let parts = list.split(',').map(str::trim).filter(|part| !part.is_empty());
    parts.map(|part| parse_address(location, part)).collect()
}

fn parse_address(location: &'static str, text: &str) -> Result<SocketAddr, CtlError> {
    let value = text.trim().parse();
    value.map_err(|_e| CtlError::InvalidSetting {
        location,
        value: text.to_owned(),
        expected: "an address IP:PORT",
    })
}

fn parse_timeout(text: &str) -> Result<Duration, CtlError> {
    let text = text.trim();
    let millis = text
        .strip_suffix("ms")
        .and_then(|n| n.trim().parse().ok())
        .map(Duration::from_millis);
    let seconds = || {
        text.strip_suffix('s')
            .and_then(|n| n.trim().parse().ok())
            .map(Duration::from_secs)
    };
    millis
        .or_else(seconds)
        .filter(|d| !d.is_zero())
        .ok_or_else(|| CtlError::InvalidSetting {
            location: "[platform] timeout",
            value: text.to_owned(),
            expected: "a duration such as 500ms or 5s",
        })
}
