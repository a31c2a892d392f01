//! The regions of the failure domains, as the settings name them.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Which region each failure domain lies in. A deployment in one region, or whose settings name none, has no other
/// region to distinguish.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions {
    /// Region of each failure domain; empty unless there are at least two regions and one of them is the own.
    by_domain: BTreeMap<Arc<str>, Arc<str>>,
    own: Option<Arc<str>>,
}

impl Regions {
    /// The regions by failure domain, for an instance in `own_domain`.
    pub fn new(own_domain: &str, by_domain: BTreeMap<Arc<str>, Arc<str>>) -> Self {
        let own = by_domain.get(own_domain).map(Arc::clone);
        let others = by_domain.values().any(|region| Some(region) != own.as_ref());
        match own {
            Some(own) if others => Self {
                by_domain,
                own: Some(own),
            },
            _ => Self::default(),
        }
    }

    /// Whether there is more than one region.
    pub const fn are_several(&self) -> bool {
        self.own.is_some()
    }

    /// The region of a failure domain. `None` if there is only one region, or the settings do not name the domain.
    pub fn of(&self, domain: &str) -> Option<&Arc<str>> {
        self.by_domain.get(domain)
    }

    /// The region of this instance; `None` if there is only one.
    pub const fn own(&self) -> Option<&Arc<str>> {
        self.own.as_ref()
    }

    /// Whether a failure domain lies in the region of this instance; true for all if there is only one region.
    pub fn is_own(&self, domain: &str) -> bool {
        self.own.as_ref().is_none_or(|own| self.of(domain) == Some(own))
    }
}
