//! Takes failure domains and instances out of service and returns them.

use crate::document::read_document;
use crate::{CtlError, Report};
use serde_json::json;
use std::collections::BTreeSet;
use wasabiyard_model::{InstanceId, Version};
use wasabiyard_platform::{OutOfService, Platform, PlatformError, Precondition, ReplicationGroup, keys};

const DOCUMENT_DESCRIPTION: &str = "what is out of service";

/// What kind of target a command takes out of service or returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// A failure domain, which may hold instances, slots of replication groups, or both.
    FailureDomain,
    /// One instance.
    Instance,
}

/// The state that a command puts its target in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceState {
    /// Taken out of service.
    Out,
    /// In service, which is the default.
    In,
}

impl Target {
    const fn kind(self) -> &'static str {
        match self {
            Self::FailureDomain => "failure domain",
            Self::Instance => "instance",
        }
    }
}

impl ServiceState {
    const fn description(self) -> &'static str {
        match self {
            Self::Out => "out of service",
            Self::In => "in service",
        }
    }
}

/// Takes `name` out of service or returns it. Succeeds without a write when `name` is in that state already.
///
/// # Errors
///
/// When the name is unknown, nothing of its kind would stay in service, another operator changed the document
/// meanwhile, or the platform fails.
pub async fn set_service_state<P>(
    platform: &P,
    target: Target,
    state: ServiceState,
    name: &str,
) -> Result<Report, CtlError>
where
    P: Platform,
{
    let (version, mut doc) = read(platform).await?;
    let mut out = out_of_service_names(&doc, target);
    let changed = match state {
        ServiceState::Out => out.insert(name.to_owned()),
        ServiceState::In => out.remove(name),
    };
    let kind = target.kind();
    let already = if changed { "" } else { "already " };
    if changed && state == ServiceState::Out {
        validate_target(platform, target, name, &out).await?;
    }
    if !changed && state == ServiceState::In {
        validate_target(platform, target, name, &BTreeSet::new()).await?;
    }
    let mut version = version;
    if changed {
        set_out_of_service_names(&mut doc, target, out);
        version = write(platform, version, &doc).await?;
    }
    let description = state.description();
    Ok(Report {
        text: format!("{kind} {name} is {already}{description} (version {version})\n"),
        json: json!({
            "kind": kind,
            "name": name,
            "in_service": state == ServiceState::In,
            "changed": changed,
            "version": version,
            "domains": doc.domains,
            "instances": doc.instances,
        }),
    })
}

fn out_of_service_names(doc: &OutOfService, target: Target) -> BTreeSet<String> {
    match target {
        Target::FailureDomain => doc.domains.iter().cloned().collect(),
        Target::Instance => doc.instances.iter().map(InstanceId::to_string).collect(),
    }
}

fn set_out_of_service_names(doc: &mut OutOfService, target: Target, names: BTreeSet<String>) {
    match target {
        Target::FailureDomain => doc.domains = names.into_iter().collect(),
        Target::Instance => {
            doc.instances = names.iter().map(|name| InstanceId::from(name.as_str())).collect();
        }
    }
}

/// Checks that the platform knows `name`, since a mistyped one would be accepted without effect, and that something
/// stays in service when all of `out` is taken out.
async fn validate_target<P>(
    platform: &P,
    target: Target,
    name: &str,
    out: &BTreeSet<String>,
) -> Result<(), CtlError>
where
    P: Platform,
{
    let mut known: BTreeSet<String> = BTreeSet::new();
    for instance in platform.instances().await? {
        known.insert(match target {
            Target::FailureDomain => instance.domain,
            Target::Instance => instance.id.to_string(),
        });
    }
    let registered = known.clone();
    if target == Target::FailureDomain {
        for object in platform.list(keys::GROUP_PREFIX).await?.objects {
            let group = serde_json::from_value::<ReplicationGroup>(object.value);
            let group = group.map_err(|source| CtlError::InvalidDocument {
                key: object.key,
                source,
            })?;
            known.extend(group.slots.into_iter().map(|slot| slot.domain));
        }
    }
    let (kind, name) = (target.kind(), name.to_owned());
    if !known.contains(&name) {
        let known = known.into_iter().collect::<Vec<_>>().join(", ");
        return Err(CtlError::UnknownName { kind, name, known });
    }
    if registered.contains(&name) && registered.is_subset(out) {
        return Err(CtlError::LastInService { kind, name });
    }
    Ok(())
}

async fn read<P>(platform: &P) -> Result<(Version, OutOfService), CtlError>
where
    P: Platform,
{
    read_document(platform, keys::OUT_OF_SERVICE).await
}

async fn write<P>(platform: &P, version: Version, doc: &OutOfService) -> Result<Version, CtlError>
where
    P: Platform,
{
    let expect = if version == Version(0) {
        Precondition::Absent
    } else {
        Precondition::Version(version)
    };
    let value = serde_json::to_value(doc).expect("the document serializes to JSON");
    let put_error = match platform.put(keys::OUT_OF_SERVICE, expect, &value).await {
        Ok(version) => return Ok(version),
        Err(e @ (PlatformError::Conflict { .. } | PlatformError::Unknown)) => e,
        Err(e) => return Err(e.into()),
    };
    // As for the manifest index, the write may have taken effect despite the error, so the document in force decides.
    let (found, in_force) = read(platform).await?;
    match put_error {
        _ if in_force == *doc => Ok(found),
        e @ PlatformError::Unknown if found == version => Err(e.into()),
        _ => Err(CtlError::ConcurrentChange {
            document: DOCUMENT_DESCRIPTION,
            base_version: version.0,
            found: found.0,
        }),
    }
}
