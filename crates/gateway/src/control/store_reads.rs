//! Reading the store at the lowest cost that still proves how recent the data is.
//!
//! One linearizable call proves a revision. The other documents are read without that guarantee, which costs the store
//! a fraction, and are accepted when they reflect the proved revision. A read that does not is repeated after the usual lag
//! of the store's replicas, and in the end made linearizable.

use super::control_loop::ControlThread;
use super::records::{self, Records};
use super::store_calls::StoreCallKind;
use crate::{AtRevision, Connector, Discovery, Promoter, ReadConsistency, clock};
use async_io::Timer;
use futures_lite::future::zip;
use std::time::Duration;
use wasabiyard_model::{Time, Version};
use wasabiyard_platform::{Changes, Platform, PlatformError};

/// Age up to which a proof from another call, such as the renewal of the failover lease, spares a linearizable read.
const PROOF_REUSE_AGE: Duration = Duration::from_millis(400);
/// Pauses before each attempt at a read that may be stale. They cover the usual lag of the store's replicas.
const STALE_READ_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(60),
    Duration::from_millis(120),
];
/// Time for which reads are linearizable after all attempts reflected too old a revision.
const STALE_READS_SUSPENSION: Duration = Duration::from_secs(3);
/// Shortest interval between two reads of the configuration. While an instance waits for its registration to appear, it
/// reads the records more often.
const CONFIGURATION_READ_INTERVAL: Duration = Duration::from_millis(600);
/// Shortest interval between two reads of the list of backend servers.
const SERVERS_READ_INTERVAL: Duration = Duration::from_millis(1_300);
/// Shortest interval between two reads of the failure domains out of service.
const DOMAINS_READ_INTERVAL: Duration = Duration::from_millis(1_800);

/// Data with the time as of which it is current.
#[derive(Debug)]
struct Proved<T> {
    revision: u64,
    as_of: Time,
    value: T,
}

impl<P, D, M, C> ControlThread<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    /// Reads the records and, where they are due, the other documents, and applies them. Returns whether the records
    /// contained the current entry of this instance.
    pub(super) async fn read_store(&self) -> Result<bool, PlatformError> {
        let started = clock::now();
        let registered = self.read_records_from_store().await?;
        let (configuration_due, servers_due, domains_due) = {
            let snapshot = &self.state.borrow().snapshot;
            let is_due = |as_of, interval| started.saturating_since(as_of) >= interval;
            (
                is_due(snapshot.configuration_as_of, CONFIGURATION_READ_INTERVAL),
                is_due(snapshot.servers_as_of, SERVERS_READ_INTERVAL),
                is_due(snapshot.domains_as_of, DOMAINS_READ_INTERVAL),
            )
        };
        let configuration = async {
            if configuration_due {
                self.read_configuration_from_store().await
            } else {
                Ok(())
            }
        };
        let servers = async {
            if servers_due {
                self.read_servers_from_store().await
            } else {
                Ok(())
            }
        };
        let domains = async {
            if domains_due {
                self.read_domains_from_store().await
            } else {
                Ok(())
            }
        };
        let (configuration, (servers, domains)) = zip(configuration, zip(servers, domains)).await;
        self.publish_snapshot();
        configuration.and(servers).and(domains)?;
        Ok(registered)
    }

    /// Reads and applies the records. Without a recent proof the read is linearizable, and proves those that follow.
    async fn read_records_from_store(&self) -> Result<bool, PlatformError> {
        let listed = self.read_proved(|c| self.list_records(c)).await?;
        Ok(self
            .process_records(listed.revision, &listed.value, listed.as_of)
            .await)
    }

    /// Reads the records with a linearizable call, outside the polling loop and regardless of the circuit breaker.
    pub(super) async fn read_records(&self) {
        match self.read_linearizable(|c| self.list_records(c)).await {
            Ok(listed) => {
                self.process_records(listed.revision, &listed.value, listed.as_of)
                    .await;
            }
            Err(e) => log::info!(error:% = e; "could not read the records"),
        }
    }

    async fn list_records(&self, consistency: ReadConsistency) -> Result<AtRevision<Records>, PlatformError> {
        let Changes { revision, objects } = match consistency {
            ReadConsistency::Linearizable => self.platform.list(records::KEY_PREFIX).await?,
            ReadConsistency::Stale => self.platform.list_stale(records::KEY_PREFIX).await?,
        };
        Ok(AtRevision {
            revision,
            value: Records::from_objects(&objects),
        })
    }

    async fn read_configuration_from_store(&self) -> Result<(), PlatformError> {
        let read = self.read_proved(|c| self.discovery.configuration(c)).await?;
        self.apply_configuration(read.revision, read.value, read.as_of);
        Ok(())
    }

    async fn read_servers_from_store(&self) -> Result<(), PlatformError> {
        let read = self.read_proved(|c| self.discovery.backend_servers(c)).await?;
        self.apply_servers(read.revision, read.value, read.as_of);
        Ok(())
    }

    async fn read_domains_from_store(&self) -> Result<(), PlatformError> {
        let read = self.read_proved(|c| self.discovery.domains_out(c)).await?;
        self.apply_domains(read.revision, read.value, read.as_of);
        Ok(())
    }

    /// Reads data that a recent proof covers. Without one, or when the replicas of the store lag behind all recent
    /// proofs, the read is linearizable.
    async fn read_proved<T, F, R>(&self, read: F) -> Result<Proved<T>, PlatformError>
    where
        F: Fn(ReadConsistency) -> R,
        R: Future<Output = Result<AtRevision<T>, PlatformError>>,
    {
        let started = clock::now();
        let has_proof = {
            let state = self.state.borrow();
            let proof = state.proofs.recent(PROOF_REUSE_AGE, started);
            proof.is_some() && started >= state.stale_reads_after
        };
        if !has_proof {
            return self.read_linearizable(read).await;
        }
        for pause in STALE_READ_PAUSES {
            if !pause.is_zero() {
                Timer::after(pause).await;
            }
            self.store_calls.on_call(StoreCallKind::StaleRead);
            let AtRevision { revision, value } = read(ReadConsistency::Stale).await?;
            let as_of = self.state.borrow().proofs.as_of(revision);
            if let Some(as_of) = as_of.filter(|at| started.saturating_since(*at) <= PROOF_REUSE_AGE) {
                return Ok(Proved {
                    revision,
                    as_of,
                    value,
                });
            }
        }
        self.state.borrow_mut().stale_reads_after = clock::now() + STALE_READS_SUSPENSION;
        self.read_linearizable(read).await
    }

    async fn read_linearizable<T, F, R>(&self, read: F) -> Result<Proved<T>, PlatformError>
    where
        F: Fn(ReadConsistency) -> R,
        R: Future<Output = Result<AtRevision<T>, PlatformError>>,
    {
        let as_of = clock::now();
        self.store_calls.on_call(StoreCallKind::Read);
        let AtRevision { revision, value } = read(ReadConsistency::Linearizable).await?;
        self.state.borrow_mut().proofs.add(revision, as_of);
        Ok(Proved {
            revision,
            as_of,
            value,
        })
    }

    /// Reads the configuration once, outside the polling loop, because a relay has `version` as of a time. The read may
    /// be stale: when it returns that version, the relay's proof covers it. Does nothing while the circuit breaker is
    /// open.
    pub(super) async fn read_newer_configuration(&self, version: Version, as_of: Time) {
        let now = clock::now();
        if !self.state.borrow_mut().store_breaker.allows_call(now) {
            return;
        }
        self.store_calls.on_call(StoreCallKind::StaleRead);
        let read = self.discovery.configuration(ReadConsistency::Stale).await;
        self.on_call_result(&read);
        let found = match read {
            Ok(found) => found,
            Err(e) => {
                log::info!(error:% = e; "could not read the newer configuration");
                return;
            }
        };
        if found.value.as_ref().is_some_and(|c| c.version >= version) {
            self.apply_configuration(found.revision, found.value, as_of);
            return;
        }
        let read = self.read_linearizable(|c| self.discovery.configuration(c)).await;
        self.on_call_result(&read);
        match read {
            Ok(read) => self.apply_configuration(read.revision, read.value, read.as_of),
            Err(e) => log::info!(error:% = e; "could not read the newer configuration"),
        }
    }
}
