//! Typed access to one section of a manifest, with errors that name the section, the key and the value.

use crate::duration::parse_duration;
use crate::{KeyDigest, ManifestError};
use ini::Properties;
use std::str::FromStr;
use std::time::Duration;

const MAX_KEYS_PER_ORGANISATION: usize = 8;
const MAX_TIMEOUT_SECONDS: u64 = 3_600;

/// The heading of a section. `text` is the whole heading, `name` the part after the section type.
pub(crate) struct Heading<'a> {
    pub(crate) text: &'a str,
    pub(crate) name: &'a str,
}

/// Reads and validates the values of one section.
pub(crate) struct SectionReader<'a> {
    pub(crate) heading: &'a Heading<'a>,
    pub(crate) properties: &'a Properties,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn check_keys(&self, known: &'static str) -> Result<(), ManifestError> {
        let unknown = self
            .properties
            .iter()
            .find(|(key, _)| !known.split(", ").any(|k| k == *key));
        if let Some((key, _)) = unknown {
            return Err(ManifestError::UnknownKey {
                section: self.section(),
                key: key.to_owned(),
                known,
            });
        }
        let duplicate = self
            .properties
            .iter()
            .find(|(key, _)| self.properties.get_all(key).count() > 1);
        duplicate.map_or(Ok(()), |(key, _)| {
            Err(ManifestError::DuplicateKey {
                section: self.section(),
                key: key.to_owned(),
            })
        })
    }

    pub(crate) fn required(
        &self,
        key: &'static str,
        example: &'static str,
    ) -> Result<&'a str, ManifestError> {
        self.properties
            .get(key)
            .map(str::trim)
            .ok_or_else(|| ManifestError::MissingKey {
                section: self.section(),
                key,
                example,
            })
    }

    pub(crate) fn list(
        &self,
        key: &'static str,
        example: &'static str,
    ) -> Result<impl Iterator<Item = &'a str> + use<'a>, ManifestError> {
        Ok(self
            .required(key, example)?
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty()))
    }

    pub(crate) fn key_digests(&self) -> Result<Vec<KeyDigest>, ManifestError> {
        const EXPECTED: &str = "up to 8 digests SALT_HEX:SHA256_HEX with a salt of 8 bytes or more";
        let mut digests = Vec::new();
        for text in self
            .properties
            .get("keys")
            .unwrap_or_default()
            .split(',')
            .map(str::trim)
        {
            if text.is_empty() {
                continue;
            }
            digests.push(KeyDigest::parse(text).ok_or_else(|| self.invalid_value("keys", text, EXPECTED))?);
        }
        if digests.len() > MAX_KEYS_PER_ORGANISATION {
            return Err(self.invalid_value("keys", &digests.len().to_string(), EXPECTED));
        }
        Ok(digests)
    }

    pub(crate) fn number(
        &self,
        key: &'static str,
        default: Option<u32>,
        min: u32,
        max: u32,
        expected: &'static str,
    ) -> Result<u32, ManifestError> {
        let text = match (self.properties.get(key), default) {
            (None, Some(default)) => return Ok(default),
            _ => self.required(key, "500")?,
        };
        let value = text.parse().ok().filter(|n| (min..=max).contains(n));
        value.ok_or_else(|| self.invalid_value(key, text, expected))
    }

    pub(crate) fn parse_or<T>(
        &self,
        key: &'static str,
        default: T,
        expected: &'static str,
    ) -> Result<T, ManifestError>
    where
        T: FromStr,
    {
        let Some(text) = self.properties.get(key).map(str::trim) else {
            return Ok(default);
        };
        text.parse().map_err(|_e| self.invalid_value(key, text, expected))
    }

    pub(crate) fn duration(
        &self,
        key: &'static str,
        default: &'static str,
    ) -> Result<Duration, ManifestError> {
        let text = self.properties.get(key).map_or(default, str::trim);
        let value = parse_duration(text).filter(|d| !d.is_zero() && d.as_secs() <= MAX_TIMEOUT_SECONDS);
        value.ok_or_else(|| self.invalid_value(key, text, "a duration such as 500ms or 5s, up to 3600s"))
    }

    pub(crate) fn invalid_value(&self, key: &str, value: &str, expected: &'static str) -> ManifestError {
        ManifestError::InvalidValue {
            section: self.section(),
            key: key.to_owned(),
            value: value.to_owned(),
            expected,
        }
    }

    pub(crate) fn unknown_name(&self, key: &str, value: &str, kind: &'static str) -> ManifestError {
        ManifestError::UnknownName {
            section: self.section(),
            key: key.to_owned(),
            value: value.to_owned(),
            kind,
        }
    }

    pub(crate) fn section(&self) -> String {
        self.heading.text.to_owned()
    }
}
