//! Executes the platform calls of the quota state machine.

use async_io::Timer;
use futures_lite::future;
use serde::de::DeserializeOwned;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_cluster::Identity;
use wasabiyard_model::{Incarnation, InstanceId, Version};
use wasabiyard_platform::{
    Changes, Object, Platform, PlatformError, Precondition, Registration, ShareRound, keys,
};
use wasabiyard_quota::{Holder, PlatformRequest, PlatformResponse, RoundDocument};

/// Translates requests of the quota state machine into reads and writes of platform objects.
#[derive(Debug)]
pub(super) struct PlatformClient<P> {
    pub(super) platform: Arc<P>,
    pub(super) identity: Identity,
    pub(super) timeout: Duration,
}

impl<P> PlatformClient<P>
where
    P: Platform,
{
    /// Executes one request. An error or a timeout becomes [`PlatformResponse::Failed`].
    pub(super) async fn call(self: Rc<Self>, request: PlatformRequest) -> PlatformResponse {
        let timeout = async {
            Timer::after(self.timeout).await;
            Err(PlatformError::Unknown)
        };
        match future::or(self.try_call(&request), timeout).await {
            Ok(response) => response,
            Err(e) => {
                log::debug!("platform call for rate shares failed: {e}");
                PlatformResponse::Failed(request)
            }
        }
    }

    async fn try_call(&self, request: &PlatformRequest) -> Result<PlatformResponse, PlatformError> {
        let platform = &self.platform;
        match request {
            PlatformRequest::Register => self.register().await,
            PlatformRequest::Unregister(holder) => {
                let key = holder_key(holder);
                if let Some(object) = platform.get(&key).await? {
                    platform.delete(&key, object.version).await?;
                }
                Ok(PlatformResponse::Unregistered(holder.clone()))
            }
            PlatformRequest::ReadRounds => {
                let Changes { objects, .. } = platform.list(keys::SHARE_ROUND_PREFIX).await?;
                Ok(PlatformResponse::Rounds(
                    objects.into_iter().filter_map(read_round).collect(),
                ))
            }
            PlatformRequest::ReadRound(bucket) => {
                let found = platform.get(&round_key(*bucket)).await?.and_then(read_round);
                Ok(PlatformResponse::Round(
                    *bucket,
                    found.map(|(_, version, doc)| (version, doc)),
                ))
            }
            PlatformRequest::WriteRound {
                bucket,
                expected_version,
                document,
            } => {
                let precondition = expected_version.map_or(Precondition::Absent, Precondition::Version);
                let value = serde_json::to_value(to_share_round(document)).expect("a round is JSON");
                let version = platform.put(&round_key(*bucket), precondition, &value).await?;
                Ok(PlatformResponse::RoundWritten(*bucket, version))
            }
            PlatformRequest::ReadHolders(number) => {
                let Changes { objects, .. } = platform.list(keys::SHARE_HOLDER_PREFIX).await?;
                let registered = objects
                    .iter()
                    .filter(|o| !o.value.is_null())
                    .filter_map(read_holder)
                    .collect();
                let listed = platform.instances().await?;
                Ok(PlatformResponse::Holders {
                    number: *number,
                    registered,
                    listed: listed
                        .into_iter()
                        .map(|l| Holder::new(l.id, l.incarnation))
                        .collect(),
                })
            }
        }
    }

    /// Writes the registration of this process. An object that exists already was written by this process, because no
    /// other process uses this name and incarnation.
    async fn register(&self) -> Result<PlatformResponse, PlatformError> {
        let identity = &self.identity;
        let key = holder_key(&Holder::new(identity.instance.clone(), identity.incarnation));
        let registration = Registration {
            incarnation: identity.incarnation,
            address: identity.address.to_string(),
            domain: identity.failure_domain.clone(),
        };
        let value = serde_json::to_value(&registration).expect("a registration is JSON");
        match self.platform.put(&key, Precondition::Absent, &value).await {
            Ok(_) | Err(PlatformError::Conflict { .. }) => Ok(PlatformResponse::Registered),
            Err(e) => Err(e),
        }
    }
}

fn holder_key(holder: &Holder) -> String {
    format!("{}{holder}", keys::SHARE_HOLDER_PREFIX)
}

fn round_key(bucket: u16) -> String {
    format!("{}{bucket}", keys::SHARE_ROUND_PREFIX)
}

fn read_holder(object: &Object) -> Option<Holder> {
    let (name, incarnation) = object
        .key
        .strip_prefix(keys::SHARE_HOLDER_PREFIX)?
        .rsplit_once('/')?;
    Some(Holder::new(
        InstanceId::from(name),
        Incarnation(incarnation.parse().ok()?),
    ))
}

fn read_round(object: Object) -> Option<(u16, Version, RoundDocument)> {
    let bucket = object.key.strip_prefix(keys::SHARE_ROUND_PREFIX)?.parse().ok()?;
    let version = object.version;
    let doc: ShareRound = parse(object)?;
    Some((bucket, version, from_share_round(doc)))
}

fn parse<T>(object: Object) -> Option<T>
where
    T: DeserializeOwned,
{
    let key = object.key;
    let value = serde_json::from_value(object.value);
    value.inspect_err(|e| log::error!("{key} is malformed: {e}")).ok()
}

fn to_share_round(doc: &RoundDocument) -> ShareRound {
    ShareRound {
        round: doc.round,
        steward: doc.coordinator.instance.clone(),
        incarnation: doc.coordinator.incarnation,
        closed: doc.closed,
        issued: doc.issued_organisations.clone(),
        gone: doc
            .ended
            .iter()
            .map(|h| (h.instance.clone(), h.incarnation))
            .collect(),
    }
}

fn from_share_round(doc: ShareRound) -> RoundDocument {
    RoundDocument {
        round: doc.round,
        coordinator: Holder::new(doc.steward, doc.incarnation),
        closed: doc.closed,
        issued_organisations: doc.issued,
        ended: doc
            .gone
            .into_iter()
            .map(|(id, incarnation)| Holder::new(id, incarnation))
            .collect(),
    }
}
