//! Typed indices into dense tables. An index is valid only for the table or manifest version that created it, so
//! messages between processes carry names instead.

use cranelift_entity::entity_impl;

/// A wasabiyard process, as an index into the membership table.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instance(u32);
entity_impl!(Instance, "instance");

/// A set of instances and backend servers that can fail together, such as a zone.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FailureDomain(u32);
entity_impl!(FailureDomain, "domain");

/// A tenant with its own API keys and rate limit.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Organisation(u32);
entity_impl!(Organisation, "org");

/// A set of databases (shards) that callers address by one name.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Service(u32);
entity_impl!(Service, "service");

/// A replication group of backend servers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Database(u32);
entity_impl!(Database, "db");

/// The rules for one kind of request: access mode, consistency, priority and time limit.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Route(u32);
entity_impl!(Route, "route");

/// A backend server in its role as a member of the replication group of one database.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(u32);
entity_impl!(Slot, "slot");
