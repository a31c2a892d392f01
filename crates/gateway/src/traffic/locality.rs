//! Where this instance is, relative to backend servers.

use super::crossing::may_cross;
use super::region_distances::RegionDistances;
use crate::Regions;
use std::time::Duration;
use wasabiyard_model::{PriorityClass, Time};

/// Failure domain and region of this instance, and the measured distances to the other regions.
#[derive(Debug)]
pub(super) struct Locality<'a> {
    pub(super) domain: &'a str,
    pub(super) regions: &'a Regions,
    /// `None` if there is only one region.
    pub(super) distances: Option<&'a RegionDistances>,
}

impl Locality<'_> {
    /// How much longer a round trip to a failure domain takes than one within the own region.
    pub(super) fn distance(&self, domain: &str, now: Time) -> Duration {
        let region = self.regions.of(domain);
        let distance = self
            .distances
            .zip(region)
            .map(|(d, region)| d.distance(region, now));
        distance.unwrap_or_default()
    }

    /// Whether a request of a class may be sent to a failure domain now.
    pub(super) fn may_reach(&self, domain: &str, class: PriorityClass, now: Time) -> bool {
        let (Some(distances), Some(region)) = (self.distances, self.regions.of(domain)) else {
            return true;
        };
        self.regions.is_own(domain) || may_cross(class, distances.congestion(region, now))
    }
}
