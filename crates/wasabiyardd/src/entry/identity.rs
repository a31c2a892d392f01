//! Who a caller is.

use wasabiyard_model::{KeyDigest, Manifest};

/// The organisation of a session and the key that it came with.
#[derive(Debug, Clone)]
pub enum Identity {
    /// A caller without a key; may use open routes only.
    Anonymous,
    /// A caller with a key that was in force at its login.
    Organisation {
        /// Name.
        name: String,
        /// Digest that the key matched.
        key: KeyDigest,
    },
}

impl Identity {
    /// Checks a key. The time does not depend on which digest matches, nor on whether the organisation exists.
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

    /// Name of the organisation, empty without one.
    pub fn organisation(&self) -> &str {
        match self {
            Self::Anonymous => "",
            Self::Organisation { name, .. } => name,
        }
    }

    /// Whether the key is still in force.
    pub fn is_in_force(&self, manifest: &Manifest) -> bool {
        match self {
            Self::Anonymous => true,
            Self::Organisation { name, key } => manifest
                .organisation(name)
                .is_some_and(|org| manifest.organisations[org].keys.contains(key)),
        }
    }
}
