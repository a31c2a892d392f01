//! Specification of a fleet, and the manifest generated from it.

use std::fmt::Write as _;
use std::time::Duration;
use wasabiyard_model::KeyDigest;

/// A service section of the manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name of the service; callers give it as the database name at login.
    pub name: String,
    /// Names of its databases; a group stand-in is started for each.
    pub databases: Vec<String>,
}

/// An organisation section of the manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationSpec {
    /// Name of the organisation; callers give it as the user name at login.
    pub name: String,
    /// API keys in clear text; the manifest gets their digests.
    pub keys: Vec<String>,
    /// Rate limit, in statements per second over the whole fleet.
    pub rate: u32,
    /// Burst size of the rate limit, in statements.
    pub burst: u32,
    /// Weight in the fair queue for connections to a database.
    pub weight: u32,
    /// Names of the services that the organisation may use.
    pub services: Vec<String>,
}

/// A route section of the manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSpec {
    /// Name of the route; callers select it with `wasabiyard.route`.
    pub name: String,
    /// Name of the service that the route belongs to.
    pub service: String,
    /// Further entries of the section as pairs of key and value, such as `access` and `write`.
    pub settings: Vec<(String, String)>,
}

/// A complete system: stand-ins, daemons and manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSpec {
    /// Failure domains. Instances and slots are assigned to them round robin.
    pub domains: Vec<String>,
    /// Number of daemons.
    pub instances: usize,
    /// Services of the manifest.
    pub services: Vec<ServiceSpec>,
    /// Organisations of the manifest.
    pub organisations: Vec<OrganisationSpec>,
    /// Routes of the manifest.
    pub routes: Vec<RouteSpec>,
    /// Number of slots of each database group.
    pub slots_per_group: usize,
    /// Maximum number of connections that each slot accepts.
    pub max_connections_per_slot: u32,
    /// Connection limit that the group objects on the platform announce to the daemons; 0 announces the limit above.
    pub listed_connections: u32,
    /// Simulated duration of a login at a slot.
    pub connect_time: Duration,
    /// Simulated replication lag of the replicas.
    pub replication_lag: Duration,
    /// Number of traffic threads of each daemon.
    pub traffic_threads: usize,
    /// Number of threads of each group stand-in.
    pub group_threads: usize,
    /// Seed of the random faults of the platform stand-in.
    pub seed: u64,
}

impl Default for FleetSpec {
    fn default() -> Self {
        Self {
            domains: ["a", "b", "c", "d"].map(str::to_owned).to_vec(),
            instances: 2,
            services: Vec::new(),
            organisations: Vec::new(),
            routes: Vec::new(),
            slots_per_group: 3,
            max_connections_per_slot: 20,
            listed_connections: 0,
            connect_time: Duration::from_millis(12),
            replication_lag: Duration::from_millis(1),
            traffic_threads: 2,
            group_threads: 2,
            seed: 1,
        }
    }
}

impl FleetSpec {
    /// A fleet for the service `membership` with one database, the organisation `zoo-riga` with the key
    /// `key-of-zoo-riga`, the write route `renew` and the read route `gate`. `rate` is in statements per second; the burst
    /// is `rate` statements.
    pub fn one_service(instances: usize, rate: u32) -> Self {
        let membership = "membership".to_owned();
        Self {
            instances,
            services: vec![ServiceSpec {
                name: membership.clone(),
                databases: vec!["riga-1".to_owned()],
            }],
            organisations: vec![OrganisationSpec {
                name: "zoo-riga".to_owned(),
                keys: vec!["key-of-zoo-riga".to_owned()],
                rate,
                burst: rate,
                weight: 1,
                services: vec![membership.clone()],
            }],
            routes: vec![
                RouteSpec::new(
                    "renew",
                    &membership,
                    "access = write; class = critical; timeout = 20s",
                ),
                RouteSpec::new("gate", &membership, "access = read; timeout = 20s"),
            ],
            ..Self::default()
        }
    }

    /// Names of the databases of all services.
    pub fn databases(&self) -> impl Iterator<Item = &str> {
        self.services
            .iter()
            .flat_map(|service| service.databases.iter().map(String::as_str))
    }

    /// Text of the manifest.
    pub fn manifest(&self) -> String {
        let mut text = String::new();
        for service in &self.services {
            write_section(&mut text, "service", &service.name);
            write_entry(&mut text, "databases", &service.databases.join(", "));
        }
        for organisation in &self.organisations {
            organisation.write_to(&mut text);
        }
        for route in &self.routes {
            write_section(&mut text, "route", &route.name);
            write_entry(&mut text, "service", &route.service);
            for (key, value) in &route.settings {
                write_entry(&mut text, key, value);
            }
        }
        text
    }
}

impl OrganisationSpec {
    fn write_to(&self, text: &mut String) {
        // A predictable salt is sufficient because these keys protect no real data.
        let salt = self.name.as_bytes().repeat(8);
        let digests = self
            .keys
            .iter()
            .map(|key| KeyDigest::compute(&salt, key.as_bytes()));
        write_section(text, "organisation", &self.name);
        write_entry(
            text,
            "keys",
            &digests.map(|d| d.to_string()).collect::<Vec<_>>().join(", "),
        );
        write_entry(text, "rate", &self.rate.to_string());
        write_entry(text, "burst", &self.burst.to_string());
        write_entry(text, "weight", &self.weight.to_string());
        write_entry(text, "services", &self.services.join(", "));
    }
}

impl RouteSpec {
    /// Creates a route. `settings` has the form `access = write; class = critical`.
    pub fn new(name: &str, service: &str, settings: &str) -> Self {
        let settings = settings.split(';').filter_map(|setting| setting.split_once('='));
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            settings: settings
                .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
                .collect(),
        }
    }
}

fn write_section(text: &mut String, kind: &str, name: &str) {
    writeln!(text, "\n[{kind} {name}]").expect("writing to a string never fails");
}

fn write_entry(text: &mut String, key: &str, value: &str) {
    writeln!(text, "{key} = {value}").expect("writing to a string never fails");
}
