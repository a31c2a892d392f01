//! Measurement of the distances to the regions of backend servers.

use super::locality::Locality;
use super::pool::Pool;
use super::region_distances::{RegionDistances, RoundTripKind};
use crate::Connector;
use std::time::Duration;
use wasabiyard_model::Time;

impl<C> Pool<C>
where
    C: Connector + 'static,
{
    /// Records that a server answered after `took` what takes no execution time.
    pub(super) fn on_round_trip(
        &self,
        service: &str,
        server: &str,
        kind: RoundTripKind,
        took: Duration,
        now: Time,
    ) {
        let mut distances = self.distances.borrow_mut();
        let Some(distances) = distances.as_mut() else {
            return;
        };
        let services = self.services.borrow();
        let server = services.get(service).and_then(|s| s.servers.get(server));
        let region = server.and_then(|s| self.settings.regions.of(&s.server.domain));
        if let Some(region) = region {
            distances.record(region, kind, took, now);
        }
    }

    /// Where this instance is, relative to backend servers.
    pub(super) fn locality<'a>(&'a self, distances: Option<&'a RegionDistances>) -> Locality<'a> {
        Locality {
            domain: &self.settings.domain,
            regions: &self.settings.regions,
            distances,
        }
    }
}
