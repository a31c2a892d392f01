//! The fleet under test: names, sizes and limits of its services, organisations and routes.

use crate::launcher::{FleetSpec, OrganisationSpec, RouteSpec, ServiceSpec};
use std::time::Duration;

pub(super) const SERVICES: usize = 2;
pub(super) const ORGANISATIONS: usize = 6;
pub(super) const INSTANCES: usize = 4;
pub(super) const SLOTS_PER_GROUP: usize = 3;
/// The organisation whose callers do not pause between requests, so that it exceeds its rate limit several times over.
pub(super) const GREEDY_ORGANISATION: usize = 0;
pub(super) const RATE_PER_SECOND: u32 = 200;
pub(super) const BURST_STATEMENTS: u32 = 400;
/// Staleness bound of the route `stock`.
pub(super) const MAX_STALENESS: Duration = Duration::from_secs(2);

pub(super) fn organisation_name(i: usize) -> String {
    format!("zoo-{i}")
}

pub(super) fn api_key(i: usize) -> String {
    format!("caller-key-{i}")
}

pub(super) fn service_name(i: usize) -> String {
    format!("service-{i}")
}

pub(super) fn database_name(service: usize) -> String {
    format!("db-{service}")
}

/// Full name of a service's route from its short name, such as `pay`.
pub(super) fn route_name(name: &str, service: usize) -> String {
    format!("{name}-{service}")
}

pub(super) fn fleet_spec(seed: u64) -> FleetSpec {
    let services: Vec<String> = (0..SERVICES).map(service_name).collect();
    FleetSpec {
        instances: INSTANCES,
        services: (0..SERVICES)
            .map(|i| ServiceSpec {
                name: service_name(i),
                databases: vec![database_name(i)],
            })
            .collect(),
        organisations: (0..ORGANISATIONS)
            .map(|i| OrganisationSpec {
                name: organisation_name(i),
                keys: vec![api_key(i)],
                rate: RATE_PER_SECOND,
                burst: BURST_STATEMENTS,
                weight: 1,
                services: services.clone(),
            })
            .collect(),
        routes: (0..SERVICES).flat_map(service_routes).collect(),
        slots_per_group: SLOTS_PER_GROUP,
        traffic_threads: 1,
        group_threads: 1,
        seed,
        ..FleetSpec::default()
    }
}

fn service_routes(i: usize) -> [RouteSpec; 4] {
    let make = |name: &str, settings: &str| RouteSpec::new(&route_name(name, i), &service_name(i), settings);
    let stock = format!(
        "access = read; tolerance = age {}s; class = background; timeout = 3s",
        MAX_STALENESS.as_secs()
    );
    [
        make("pay", "access = write; class = critical; timeout = 3s"),
        make("book", "access = write; class = critical; timeout = 3s"),
        make(
            "look",
            "access = read; tolerance = read-your-writes; timeout = 3s",
        ),
        make("stock", &stock),
    ]
}
