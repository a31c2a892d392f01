//! Reads and validates single values of the INI text.

use super::SettingsError;
use super::table::{SETTINGS, Setting, find_setting};
use ini::Ini;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;
use wasabiyard_model::Incarnation;

pub(super) struct SettingsReader {
    ini: Ini,
}

impl SettingsReader {
    /// Parses the text. Rejects sections and keys that do not exist.
    pub(super) fn new(text: &str) -> Result<Self, SettingsError> {
        let ini = Ini::load_from_str(text).map_err(|e| SettingsError::Syntax { line: e.line })?;
        for (heading, properties) in &ini {
            let section = heading.unwrap_or_default();
            if heading.is_none() && properties.is_empty() {
                continue;
            }
            check_section(section)?;
            for (key, value) in properties {
                // The INI parser joins a line without `=` with the lines after it into one key.
                if let Some((first, _)) = key.split_once('\n') {
                    let line = text.lines().position(|l| l.trim() == first.trim());
                    return Err(SettingsError::Syntax {
                        line: line.map_or(1, |n| n + 1),
                    });
                }
                check_key(section, key, value)?;
            }
        }
        Ok(Self { ini })
    }

    fn raw_value(&self, setting: &'static Setting) -> Result<&str, SettingsError> {
        let found = self
            .ini
            .section(Some(setting.section))
            .and_then(|s| s.get(setting.key));
        found
            .or(setting.default)
            .map(str::trim)
            .ok_or(SettingsError::MissingKey {
                section: setting.section,
                key: setting.key,
                form: setting.form,
            })
    }

    fn parse_value<T, F>(&self, section: &str, key: &str, parse: F) -> Result<T, SettingsError>
    where
        F: FnOnce(&str) -> Option<T>,
    {
        let setting = find_setting(section, key);
        let text = self.raw_value(setting)?;
        parse(text).ok_or_else(|| invalid_value(setting, text))
    }

    pub(super) fn text(
        &self,
        section: &str,
        key: &str,
        min: usize,
        max: usize,
    ) -> Result<String, SettingsError> {
        self.parse_value(section, key, |text| {
            (min..=max)
                .contains(&text.chars().count())
                .then(|| text.to_owned())
        })
    }

    pub(super) fn name(&self, section: &str, key: &str) -> Result<String, SettingsError> {
        self.parse_value(section, key, |text| {
            let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
            ((1..=63).contains(&text.len()) && text.chars().all(allowed)).then(|| text.to_owned())
        })
    }

    pub(super) fn address(&self, section: &str, key: &str) -> Result<SocketAddr, SettingsError> {
        self.parse_value(section, key, |text| text.parse().ok())
    }

    pub(super) fn reachable_address(&self, section: &str, key: &str) -> Result<SocketAddr, SettingsError> {
        self.parse_value(section, key, |text| {
            SocketAddr::from_str(text)
                .ok()
                .filter(|a| !a.ip().is_unspecified())
        })
    }

    pub(super) fn addresses(
        &self,
        section: &str,
        key: &str,
        max: usize,
    ) -> Result<Vec<SocketAddr>, SettingsError> {
        self.parse_value(section, key, |text| {
            let parts = text.split(',').map(str::trim).filter(|p| !p.is_empty());
            let list = parts
                .map(|p| p.parse().ok())
                .collect::<Option<Vec<SocketAddr>>>()?;
            (list.len() <= max).then_some(list)
        })
    }

    pub(super) fn flag(&self, section: &str, key: &str) -> Result<bool, SettingsError> {
        self.parse_value(section, key, |text| text.parse().ok())
    }

    pub(super) fn number(
        &self,
        section: &str,
        key: &str,
        min: usize,
        max: usize,
    ) -> Result<usize, SettingsError> {
        self.parse_value(section, key, |text| {
            text.parse().ok().filter(|n| (min..=max).contains(n))
        })
    }

    pub(super) fn duration(
        &self,
        section: &str,
        key: &str,
        min_millis: u64,
        max_millis: u64,
    ) -> Result<Duration, SettingsError> {
        self.parse_value(section, key, |text| {
            let millis = match text.strip_suffix("ms") {
                Some(n) => n.trim().parse::<u64>().ok()?,
                None => text
                    .strip_suffix('s')?
                    .trim()
                    .parse::<u64>()
                    .ok()?
                    .checked_mul(1_000)?,
            };
            (min_millis..=max_millis)
                .contains(&millis)
                .then(|| Duration::from_millis(millis))
        })
    }

    /// Returns the incarnation; `None` if the value is empty.
    pub(super) fn incarnation(&self) -> Result<Option<Incarnation>, SettingsError> {
        self.parse_value("instance", "incarnation", |text| {
            if text.is_empty() {
                return Some(None);
            }
            text.parse().ok().filter(|n| *n > 0).map(|n| Some(Incarnation(n)))
        })
    }

    /// Returns the paths of the certificate and the key. Either both or neither must be present.
    pub(super) fn tls_files(&self) -> Result<Option<(PathBuf, PathBuf)>, SettingsError> {
        let certificate = self.file("certificate")?;
        let key = self.file("key")?;
        match (certificate, key) {
            (Some(certificate), Some(key)) => Ok(Some((certificate, key))),
            (None, None) => Ok(None),
            (Some(_), None) => Err(missing_key(find_setting("tls", "key"))),
            (None, Some(_)) => Err(missing_key(find_setting("tls", "certificate"))),
        }
    }

    fn file(&self, key: &str) -> Result<Option<PathBuf>, SettingsError> {
        let setting = find_setting("tls", key);
        let text = self.raw_value(setting)?;
        if text.is_empty() {
            return Ok(None);
        }
        std::fs::File::open(text).map_err(|e| SettingsError::UnusableFile {
            section: setting.section,
            key: setting.key,
            value: text.to_owned(),
            reason: e.to_string(),
        })?;
        Ok(Some(PathBuf::from(text)))
    }
}

fn missing_key(setting: &Setting) -> SettingsError {
    SettingsError::MissingKey {
        section: setting.section,
        key: setting.key,
        form: setting.form,
    }
}

fn invalid_value(setting: &Setting, text: &str) -> SettingsError {
    let value = if setting.secret { "(hidden)" } else { text };
    SettingsError::InvalidValue {
        section: setting.section,
        key: setting.key,
        value: value.to_owned(),
        form: setting.form,
    }
}

fn check_section(section: &str) -> Result<(), SettingsError> {
    if SETTINGS.iter().any(|s| s.section == section) {
        return Ok(());
    }
    let mut known: Vec<_> = SETTINGS.iter().map(|s| s.section).collect();
    known.dedup();
    Err(SettingsError::UnknownSection {
        section: section.to_owned(),
        known: known.join(", "),
    })
}

fn check_key(section: &str, key: &str, value: &str) -> Result<(), SettingsError> {
    if SETTINGS.iter().any(|s| s.section == section && s.key == key) {
        return Ok(());
    }
    let known = SETTINGS.iter().filter(|s| s.section == section).map(|s| s.key);
    // The value of a misspelt key may be a secret, so it is hidden in sections that hold one.
    let has_secret = SETTINGS.iter().any(|s| s.section == section && s.secret);
    let shown_value = if has_secret { "(hidden)" } else { value };
    Err(SettingsError::UnknownKey {
        section: section.to_owned(),
        key: key.to_owned(),
        value: shown_value.to_owned(),
        known: known.collect::<Vec<_>>().join(", "),
    })
}
