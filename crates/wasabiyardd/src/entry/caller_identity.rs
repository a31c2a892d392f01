//! Identity of a caller: its organisation and the key that proved it.

use wasabiyard_model::{KeyDigest, Manifest};

/// Who the caller of a session is.
#[derive(Debug, Clone)]
pub enum CallerIdentity {
    /// A caller without a key. It may use only routes that allow anonymous callers.
    Anonymous,
    /// A caller with a key that was in force at its login.
    Organisation {
        /// Name of the organisation.
        name: String,
        /// The digest in the manifest that the key matched; the session ends when the manifest no longer lists it.
        key: KeyDigest,
    },
}

impl CallerIdentity {
    /// Checks a key. All digests are tried, and a decoy for an organisation that is unknown or has no keys, so that the
    /// time does not reveal which digest matched or whether the organisation exists.
    pub fn verify_key(manifest: &Manifest, organisation: &str, key: &str) -> Option<Self> {
        let decoy = [KeyDigest::compute(&[0; 16], &[])];
        let known = manifest.organisation(organisation);
        let keys = match known {
            Some(org) if !manifest.organisations[org].keys.is_empty() => {
                manifest.organisations[org].keys.as_slice()
            }
            _ => decoy.as_slice(),
        };
        let mut matched = None;
        for digest in keys {
            if digest.matches(key.as_bytes()) {
                matched = Some(digest);
            }
        }
        known?;
        let digest = matched.filter(|digest| **digest != decoy[0])?;
        Some(Self::Organisation {
            name: organisation.to_owned(),
            key: digest.clone(),
        })
    }

    /// Name of the organisation, empty for an anonymous caller.
    pub fn organisation(&self) -> &str {
        match self {
            Self::Anonymous => "",
            Self::Organisation { name, .. } => name,
        }
    }

    /// Whether this manifest still lists the key.
    pub fn is_in_force(&self, manifest: &Manifest) -> bool {
        match self {
            Self::Anonymous => true,
            Self::Organisation { name, key } => manifest
                .organisation(name)
                .is_some_and(|org| manifest.organisations[org].keys.contains(key)),
        }
    }
}
