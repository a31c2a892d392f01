//! What the launcher starts.

use std::fmt::Write as _;
use std::time::Duration;
use wasabiyard_model::KeyDigest;

/// A service with its databases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name.
    pub name: String,
    /// Names of the databases.
    pub databases: Vec<String>,
}

/// An organisation with its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationSpec {
    /// Name.
    pub name: String,
    /// Keys in clear text; the manifest gets their digests.
    pub keys: Vec<String>,
    /// Statements a second.
    pub rate: u32,
    /// Statements at once.
    pub burst: u32,
    /// Weight for scarce connections.
    pub weight: u32,
    /// The services that it may use.
    pub services: Vec<String>,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSpec {
    /// Name.
    pub name: String,
    /// Service.
    pub service: String,
    /// The further keys of its section, such as `access = write`.
    pub settings: Vec<(String, String)>,
}

/// A whole system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSpec {
    /// Failure domains. Instances and slots are spread over them in turn.
    pub domains: Vec<String>,
    /// Number of daemons.
    pub instances: usize,
    /// Services; a group stand-in is started for each database.
    pub services: Vec<ServiceSpec>,
    /// Organisations.
    pub organisations: Vec<OrganisationSpec>,
    /// Routes.
    pub routes: Vec<RouteSpec>,
    /// Slots of each group.
    pub slots: usize,
    /// Connections that each slot accepts.
    pub connections: u32,
    /// Connections that the group objects state; 0 for the same.
    pub listed_connections: u32,
    /// Time that a login at a slot takes.
    pub connect_time: Duration,
    /// Replication lag.
    pub lag: Duration,
    /// Traffic threads of each daemon.
    pub threads: usize,
    /// Threads of each group stand-in.
    pub group_threads: usize,
    /// Seed of the platform's random faults.
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
            slots: 3,
            connections: 20,
            listed_connections: 0,
            connect_time: Duration::from_millis(12),
            lag: Duration::from_millis(1),
            threads: 2,
            group_threads: 2,
            seed: 1,
        }
    }
}

impl FleetSpec {
    /// One service with one database, the organisation `zoo-riga` with the key `key-of-zoo-riga`, the route `renew` that
    /// writes and the route `gate` that reads the session's own writes. `rate` is also the burst, in statements.
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

    /// All databases of all services.
    pub fn databases(&self) -> impl Iterator<Item = &str> {
        self.services
            .iter()
            .flat_map(|service| service.databases.iter().map(String::as_str))
    }

    /// The manifest.
    pub fn manifest(&self) -> String {
        let mut text = String::new();
        for service in &self.services {
            section(&mut text, "service", &service.name);
            entry(&mut text, "databases", &service.databases.join(", "));
        }
        for organisation in &self.organisations {
            organisation.write(&mut text);
        }
        for route in &self.routes {
            section(&mut text, "route", &route.name);
            entry(&mut text, "service", &route.service);
            for (key, value) in &route.settings {
                entry(&mut text, key, value);
            }
        }
        text
    }
}

impl OrganisationSpec {
    fn write(&self, text: &mut String) {
        // A fixed salt is enough here: these keys protect nothing.
        let salt = self.name.as_bytes().repeat(8);
        let digests = self
            .keys
            .iter()
            .map(|key| KeyDigest::compute(&salt, key.as_bytes()));
        section(text, "organisation", &self.name);
        entry(
            text,
            "keys",
            &digests.map(|d| d.to_string()).collect::<Vec<_>>().join(", "),
        );
        entry(text, "rate", &self.rate.to_string());
        entry(text, "burst", &self.burst.to_string());
        entry(text, "weight", &self.weight.to_string());
        entry(text, "services", &self.services.join(", "));
    }
}

impl RouteSpec {
    /// A route with settings in the form `access = write; class = critical`.
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

fn section(text: &mut String, kind: &str, name: &str) {
    writeln!(text, "\n[{kind} {name}]").expect("writing to a string never fails");
}

fn entry(text: &mut String, key: &str, value: &str) {
    writeln!(text, "{key} = {value}").expect("writing to a string never fails");
}
