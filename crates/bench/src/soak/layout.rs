//! The system under test: services, organisations and routes.

use crate::launcher::{FleetSpec, OrganisationSpec, RouteSpec, ServiceSpec};
use std::time::Duration;

pub(super) const SERVICES: usize = 2;
pub(super) const ORGANISATIONS: usize = 6;
pub(super) const INSTANCES: usize = 4;
pub(super) const SLOTS: usize = 3;
/// The organisation whose callers never pause, so that it asks for several times its rate.
pub(super) const GREEDY: usize = 0;
pub(super) const RATE: u32 = 200;
pub(super) const BURST: u32 = 400;
/// Age that the route `stock` accepts.
pub(super) const MAX_AGE: Duration = Duration::from_secs(2);

pub(super) fn organisation(i: usize) -> String {
    format!("zoo-{i}")
}

pub(super) fn key(i: usize) -> String {
    format!("caller-key-{i}")
}

pub(super) fn service(i: usize) -> String {
    format!("service-{i}")
}

pub(super) fn database(service: usize) -> String {
    format!("db-{service}")
}

/// The route `name` of a service.
pub(super) fn route(name: &str, service: usize) -> String {
    format!("{name}-{service}")
}

pub(super) fn spec(seed: u64) -> FleetSpec {
    let services: Vec<String> = (0..SERVICES).map(service).collect();
    FleetSpec {
        instances: INSTANCES,
        services: (0..SERVICES)
            .map(|i| ServiceSpec {
                name: service(i),
                databases: vec![database(i)],
            })
            .collect(),
        organisations: (0..ORGANISATIONS)
            .map(|i| OrganisationSpec {
                name: organisation(i),
                keys: vec![key(i)],
                rate: RATE,
                burst: BURST,
                weight: 1,
                services: services.clone(),
            })
            .collect(),
        routes: (0..SERVICES).flat_map(routes).collect(),
        slots_per_group: SLOTS,
        traffic_threads: 1,
        group_threads: 1,
        seed,
        ..FleetSpec::default()
    }
}

fn routes(i: usize) -> [RouteSpec; 4] {
    let make = |name: &str, settings: &str| RouteSpec::new(&route(name, i), &service(i), settings);
    let stock = format!(
        "access = read; tolerance = age {}s; class = background; timeout = 3s",
        MAX_AGE.as_secs()
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
