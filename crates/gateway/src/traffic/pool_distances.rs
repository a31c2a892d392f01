//! Measurement of the distances to the regions of backend servers.

use super::connection_lease::ConnectionLease;
use super::locality::Locality;
use super::pool::Pool;
use super::region_distances::{RegionDistances, RoundTripKind};
use crate::Connector;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};

/// Most that congestion adds to the expected time of a response. A caller waits for it.
const MAX_CONGESTION_DELAY: Duration = Duration::from_millis(50);

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

    /// Records that another instance answered a request after `took`.
    pub fn on_peer_round_trip(&self, from: &InstanceId, took: Duration, now: Time) {
        if let (Some(region), Some(distances)) =
            (self.region_of_peer(from), self.distances.borrow_mut().as_mut())
        {
            distances.record(&region, RoundTripKind::PeerMessage, took, now);
        }
    }

    /// How much longer a round trip to another instance takes now than one within the own region.
    pub fn peer_delay(&self, to: &InstanceId, now: Time) -> Duration {
        let distances = self.distances.borrow();
        let delay = distances.as_ref().zip(self.region_of_peer(to));
        delay.map_or(Duration::ZERO, |(distances, region)| {
            let congestion = distances.congestion(&region, now);
            distances.distance(&region, now) + congestion.min(MAX_CONGESTION_DELAY)
        })
    }

    fn region_of_peer(&self, id: &InstanceId) -> Option<Arc<str>> {
        let snapshot = self.snapshot.borrow();
        let member = snapshot.members.binary_search_by(|m| m.id.cmp(id)).ok()?;
        self.settings
            .regions
            .of(&snapshot.members[member].domain)
            .map(Arc::clone)
    }

    /// Counts a connection lease at a server of another region.
    pub(super) fn count_crossing(&self, lease: &ConnectionLease<C>) {
        if !self.settings.regions.are_several() {
            return;
        }
        let services = self.services.borrow();
        let server = services
            .get(&lease.service)
            .and_then(|s| s.servers.get(&lease.server));
        if server.is_some_and(|s| !self.settings.regions.is_own(&s.server.domain)) {
            self.metrics.on_crossing(&lease.service);
        }
    }

    /// Logs links to other regions that have become congested, or no longer are.
    pub(super) fn report_congestion(&self, now: Time) {
        let mut distances = self.distances.borrow_mut();
        let Some(distances) = distances.as_mut() else {
            return;
        };
        for (region, congestion) in distances.take_changes(now) {
            let distance = distances.distance(&region, now);
            log::info!(
                region:% = region, distance_ms = distance.as_millis() as u64,
                congestion_ms = congestion.as_millis() as u64;
                "congestion of the link to another region has changed"
            );
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
