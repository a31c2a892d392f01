//! Takes failure domains and instances out of service and back in.

use crate::document::read_document;
use crate::{CtlError, Report};
use serde_json::json;
use std::collections::BTreeSet;
use wasabiyard_model::{InstanceId, Version};
use wasabiyard_platform::{OutOfService, Platform, PlatformError, Precondition, ReplicationGroup, keys};

const DOCUMENT: &str = "what is out of service";

/// What is taken out or in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// A failure domain.
    Domain,
    /// An instance.
    Instance,
}

/// The direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Out of service.
    Out,
    /// Back in service.
    In,
}

impl Subject {
    const fn kind(self) -> &'static str {
        match self {
            Self::Domain => "failure domain",
            Self::Instance => "instance",
        }
    }
}

impl Change {
    const fn result(self) -> &'static str {
        match self {
            Self::Out => "out of service",
            Self::In => "in service",
        }
    }
}

/// Takes `name` out of service or back in. A change that is in force already succeeds.
///
/// # Errors
///
/// When the name is not known, it is the last one in service, another operator was faster, or the platform fails.
pub async fn change_service<P>(
    platform: &P,
    subject: Subject,
    change: Change,
    name: &str,
) -> Result<Report, CtlError>
where
    P: Platform,
{
    let (version, mut doc) = read(platform).await?;
    let mut out = names(&doc, subject);
    let changes = match change {
        Change::Out => out.insert(name.to_owned()),
        Change::In => out.remove(name),
    };
    let kind = subject.kind();
    let already = if changes { "" } else { "already " };
    if changes && change == Change::Out {
        check_name(platform, subject, name, &out).await?;
    }
    if !changes && change == Change::In {
        check_name(platform, subject, name, &BTreeSet::new()).await?;
    }
    let mut version = version;
    if changes {
        set_names(&mut doc, subject, out);
        version = write(platform, version, &doc).await?;
    }
    let result = change.result();
    Ok(Report {
        text: format!("{kind} {name} is {already}{result} (version {version})\n"),
        json: json!({
            "kind": kind,
            "name": name,
            "in_service": change == Change::In,
            "changed": changes,
            "version": version,
            "domains": doc.domains,
            "instances": doc.instances,
        }),
    })
}

fn names(doc: &OutOfService, subject: Subject) -> BTreeSet<String> {
    match subject {
        Subject::Domain => doc.domains.iter().cloned().collect(),
        Subject::Instance => doc.instances.iter().map(InstanceId::to_string).collect(),
    }
}

fn set_names(doc: &mut OutOfService, subject: Subject, names: BTreeSet<String>) {
    match subject {
        Subject::Domain => doc.domains = names.into_iter().collect(),
        Subject::Instance => {
            doc.instances = names.iter().map(|name| InstanceId::from(name.as_str())).collect();
        }
    }
}

/// A mistyped name would be accepted and have no effect, so it must be known to the platform; and something must stay in
/// service beside `out`.
async fn check_name<P>(
    platform: &P,
    subject: Subject,
    name: &str,
    out: &BTreeSet<String>,
) -> Result<(), CtlError>
where
    P: Platform,
{
    let mut known: BTreeSet<String> = BTreeSet::new();
    for instance in platform.instances().await? {
        known.insert(match subject {
            Subject::Domain => instance.domain,
            Subject::Instance => instance.id.to_string(),
        });
    }
    let serving = known.clone();
    if subject == Subject::Domain {
        for object in platform.list(keys::GROUP_PREFIX).await?.objects {
            let group = serde_json::from_value::<ReplicationGroup>(object.value);
            let group = group.map_err(|source| CtlError::Document {
                key: object.key,
                source,
            })?;
            known.extend(group.slots.into_iter().map(|slot| slot.domain));
        }
    }
    let (kind, name) = (subject.kind(), name.to_owned());
    if !known.contains(&name) {
        let known = known.into_iter().collect::<Vec<_>>().join(", ");
        return Err(CtlError::UnknownName { kind, name, known });
    }
    if serving.contains(&name) && serving.is_subset(out) {
        return Err(CtlError::Last { kind, name });
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
    let value = serde_json::to_value(doc).expect("the document is JSON");
    let lost = match platform.put(keys::OUT_OF_SERVICE, expect, &value).await {
        Ok(version) => return Ok(version),
        Err(e @ (PlatformError::Conflict { .. } | PlatformError::Unknown)) => e,
        Err(e) => return Err(e.into()),
    };
    // As with the manifest: what counts is the document in force.
    let (found, in_force) = read(platform).await?;
    match lost {
        _ if in_force == *doc => Ok(found),
        e @ PlatformError::Unknown if found == version => Err(e.into()),
        _ => Err(CtlError::Lost {
            document: DOCUMENT,
            started: version.0,
            found: found.0,
        }),
    }
}
