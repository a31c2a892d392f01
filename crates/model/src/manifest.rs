//! The manifest: the services, organisations and routes that operators declare.
//!
//! A manifest is parsed and validated as a whole: [`Manifest::parse`] returns either a [`Manifest`] that satisfies
//! every rule or the first error. Names that refer to other sections are resolved to entity references, so later code
//! never has to handle a name that is not declared.

use crate::section_reader::{Heading, SectionReader};
use crate::{
    Access, Database, DatabaseDecl, ManifestError, Organisation, OrganisationDecl, PriorityClass,
    ReadConsistency, Route, RouteDecl, Service, ServiceDecl,
};
use cranelift_entity::PrimaryMap;
use ini::{Ini, Properties};
use std::collections::{HashMap, HashSet};
use std::fmt::Write as _;

const SECTION_KINDS: [&str; 3] = ["service", "organisation", "route"];
const MAX_NAME_BYTES: usize = 63;
const MAX_RATE_OR_BURST_STATEMENTS: u32 = 1_000_000;
const MAX_WEIGHT: u32 = 100;
const SERVICE_KEYS: &str = "databases";
const ORGANISATION_KEYS: &str = "keys, rate, burst, weight, services";
const ROUTE_KEYS: &str = "service, access, tolerance, class, repeatable, open, timeout";

/// A validated manifest.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Manifest {
    /// All services.
    pub services: PrimaryMap<Service, ServiceDecl>,
    /// All databases of all services.
    pub databases: PrimaryMap<Database, DatabaseDecl>,
    /// All organisations.
    pub organisations: PrimaryMap<Organisation, OrganisationDecl>,
    /// All routes.
    pub routes: PrimaryMap<Route, RouteDecl>,
    service_names: HashMap<String, Service>,
    organisation_names: HashMap<String, Organisation>,
    route_names: HashMap<(Service, String), Route>,
}

impl Manifest {
    /// Parses and validates a manifest.
    ///
    /// # Errors
    ///
    /// The first error found, with section, key, value and remedy.
    pub fn parse(text: &str) -> Result<Self, ManifestError> {
        let ini = Ini::load_from_str(text).map_err(|e| ManifestError::Syntax { line: e.line })?;
        check_headings(&ini)?;
        let mut manifest = Self::default();
        for (heading, properties) in sections(&ini, "service") {
            manifest.add_service(&heading, properties)?;
        }
        for (heading, properties) in sections(&ini, "organisation") {
            manifest.add_organisation(&heading, properties)?;
        }
        for (heading, properties) in sections(&ini, "route") {
            manifest.add_route(&heading, properties)?;
        }
        Ok(manifest)
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<Service> {
        self.service_names.get(name).copied()
    }

    /// The organisation with this name.
    pub fn organisation(&self, name: &str) -> Option<Organisation> {
        self.organisation_names.get(name).copied()
    }

    /// The route with this name in a service.
    pub fn route(&self, service: Service, name: &str) -> Option<Route> {
        self.route_names.get(&(service, name.to_owned())).copied()
    }

    /// The database with this name.
    pub fn database(&self, name: &str) -> Option<Database> {
        self.databases
            .iter()
            .find(|(_, d)| d.name == name)
            .map(|(db, _)| db)
    }

    /// The database of a service to which the shard key `shard` maps by hash. Without a shard key it is the first one.
    pub fn database_for_shard(&self, service: Service, shard: Option<&str>) -> Database {
        let databases = &self.services[service].databases;
        let index = shard.map_or(0, |s| {
            xxhash_rust::xxh3::xxh3_64(s.as_bytes()) as usize % databases.len()
        });
        databases[index]
    }

    /// Whether an organisation is allowed to use a service.
    pub fn may_use(&self, organisation: Organisation, service: Service) -> bool {
        self.organisations[organisation].services.contains(&service)
    }

    /// Splits the text of a manifest into its sections, as (heading, text) in order of appearance, for
    /// content-addressed storage.
    ///
    /// # Errors
    ///
    /// [`ManifestError::Syntax`] when the text is not INI. No other rule is checked.
    pub fn split_sections(text: &str) -> Result<Vec<(String, String)>, ManifestError> {
        let ini = Ini::load_from_str(text).map_err(|e| ManifestError::Syntax { line: e.line })?;
        let mut out = Vec::new();
        for (heading, properties) in &ini {
            let Some(heading) = heading else { continue };
            let mut section = format!("[{heading}]\n");
            for (key, value) in properties {
                writeln!(section, "{key} = {value}").expect("writing to a string cannot fail");
            }
            out.push((heading.to_owned(), section));
        }
        Ok(out)
    }

    fn add_service(&mut self, heading: &Heading<'_>, properties: &Properties) -> Result<(), ManifestError> {
        let section = SectionReader { heading, properties };
        section.check_keys(SERVICE_KEYS)?;
        let service = self.services.next_key();
        let mut databases = Vec::new();
        for name in section.list("databases", "riga-1, riga-2")? {
            if !is_valid_name(name) {
                return Err(section.invalid_value(
                    "databases",
                    name,
                    "a name of letters, digits, `-`, `_` and `.`",
                ));
            }
            if self.database(name).is_some() {
                return Err(section.invalid_value("databases", name, "a database that no other service has"));
            }
            databases.push(self.databases.push(DatabaseDecl {
                name: name.to_owned(),
                service,
            }));
        }
        if databases.is_empty() {
            return Err(section.invalid_value("databases", "", "at least one database"));
        }
        self.services.push(ServiceDecl {
            name: heading.name.to_owned(),
            databases,
        });
        self.service_names.insert(heading.name.to_owned(), service);
        Ok(())
    }

    fn add_organisation(
        &mut self,
        heading: &Heading<'_>,
        properties: &Properties,
    ) -> Result<(), ManifestError> {
        let section = SectionReader { heading, properties };
        section.check_keys(ORGANISATION_KEYS)?;
        let keys = section.key_digests()?;
        let services = self.resolve_services(&section, "services")?;
        let organisation = self.organisations.push(OrganisationDecl {
            name: heading.name.to_owned(),
            keys,
            rate: section.number(
                "rate",
                None,
                1,
                MAX_RATE_OR_BURST_STATEMENTS,
                "a whole number from 1 to 1000000",
            )?,
            burst: section.number(
                "burst",
                None,
                1,
                MAX_RATE_OR_BURST_STATEMENTS,
                "a whole number from 1 to 1000000",
            )?,
            weight: section.number("weight", Some(1), 1, MAX_WEIGHT, "a whole number from 1 to 100")?,
            services,
        });
        self.organisation_names
            .insert(heading.name.to_owned(), organisation);
        Ok(())
    }

    fn add_route(&mut self, heading: &Heading<'_>, properties: &Properties) -> Result<(), ManifestError> {
        let section = SectionReader { heading, properties };
        section.check_keys(ROUTE_KEYS)?;
        let services = self.resolve_services(&section, "service")?;
        let access = section.parse_or("access", Access::Read, "read or write")?;
        let read_consistency = section.parse_or(
            "tolerance",
            ReadConsistency::ReadYourWrites,
            "read-your-writes or `age 5s`",
        )?;
        if access == Access::Write && matches!(read_consistency, ReadConsistency::BoundedStaleness(_)) {
            let value = properties.get("tolerance").unwrap_or_default();
            return Err(section.invalid_value("tolerance", value, "read-your-writes on a route that writes"));
        }
        let route = self.routes.push(RouteDecl {
            name: heading.name.to_owned(),
            services: services.clone(),
            access,
            read_consistency,
            class: section.parse_or("class", PriorityClass::NORMAL, "critical, normal or background")?,
            idempotent: section.parse_or("repeatable", false, "true or false")?,
            allows_anonymous: section.parse_or("open", false, "true or false")?,
            timeout: section.duration("timeout", "5s")?,
        });
        for service in services {
            self.route_names.insert((service, heading.name.to_owned()), route);
        }
        Ok(())
    }

    fn resolve_services(
        &self,
        section: &SectionReader<'_>,
        key: &'static str,
    ) -> Result<Vec<Service>, ManifestError> {
        let names = section.list(key, "membership")?;
        let services = names.map(|name| {
            self.service(name)
                .ok_or_else(|| section.unknown_name(key, name, "service"))
        });
        services.collect()
    }
}

fn split_heading(text: &str) -> Option<(&str, &str)> {
    let (kind, name) = text.split_once(char::is_whitespace)?;
    let name = name.trim();
    (!name.is_empty()).then_some((kind, name))
}

fn sections<'a>(ini: &'a Ini, kind: &'a str) -> impl Iterator<Item = (Heading<'a>, &'a Properties)> + 'a {
    ini.iter().filter_map(move |(heading, properties)| {
        let text = heading?;
        let (found, name) = split_heading(text)?;
        (found == kind).then_some((Heading { text, name }, properties))
    })
}

fn check_headings(ini: &Ini) -> Result<(), ManifestError> {
    let mut seen = HashSet::new();
    for (heading, properties) in ini {
        let Some(text) = heading else {
            if properties.is_empty() {
                continue;
            }
            return Err(ManifestError::UnknownSection {
                section: String::new(),
            });
        };
        let section = || text.to_owned();
        let known = split_heading(text).filter(|(kind, _)| SECTION_KINDS.contains(kind));
        let (kind, name) = known.ok_or_else(|| ManifestError::UnknownSection { section: section() })?;
        if !is_valid_name(name) {
            return Err(ManifestError::InvalidName {
                section: section(),
                name: name.to_owned(),
            });
        }
        // Sections are stored and distributed under their heading, so each heading must be unique.
        if !seen.insert((kind, name)) {
            return Err(ManifestError::Duplicate { section: section() });
        }
    }
    Ok(())
}

/// Names become part of SQL statements and object keys, so quotes, slashes and white space are not allowed.
fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(allowed)
}
