//! Taking, renewing and giving up the failover duty, and keeping the register of instances tidy.

use super::control_loop::Control;
use super::duty::DutyRecord;
use super::poll::RECORDS_PERIOD;
use super::records;
use crate::view::rank_instances;
use crate::{Connector, Discovery, Promoter, clock};
use async_io::Timer;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{Time, Version};
use wasabiyard_platform::{ListedInstance, ListedState, Platform, Precondition};

/// Period of the duty's renewal.
const RENEWAL_PERIOD: Duration = Duration::from_secs(1);
/// Period of looking whether the duty is due.
const TICK: Duration = Duration::from_millis(60);

impl<P, D, M, C> Control<P, D, M, C>
where
    P: Platform + 'static,
    D: Discovery + 'static,
    M: Promoter + 'static,
    C: Connector + 'static,
{
    pub(super) async fn keep_duty(self: Rc<Self>) {
        let me: Arc<str> = Arc::from(self.settings.instance.id.as_str());
        let incarnation = self.settings.instance.incarnation;
        loop {
            Timer::after(TICK).await;
            let now = clock::now();
            let (due, expect) = {
                let state = self.state.borrow();
                if state.stopping || !state.directory.view_lease_holds(now) {
                    continue;
                }
                let directory = &state.directory;
                let ranked = rank_instances(&directory.members);
                let rank = ranked.iter().position(|m| m.id.as_str() == &*me);
                let rank = rank.unwrap_or(ranked.len());
                let due = state.duty.due(&me, incarnation, rank, RENEWAL_PERIOD, now);
                let version = state.duty.record().map(|(v, _)| *v);
                (due, version.map_or(Precondition::Absent, Precondition::Version))
            };
            let Some(record) = due else {
                continue;
            };
            let value = serde_json::json!(record);
            match self.platform.put(&records::duty_key(), expect, &value).await {
                Ok(version) => {
                    let taken = record.renewals == 0;
                    if taken {
                        log::info!(fence = record.fence; "holds the failover duty");
                        self.state.borrow_mut().register.on_duty_taken(now);
                    }
                    self.on_duty_written(version, record, now);
                    if taken {
                        // The versions of the records are needed before any of them can be changed.
                        self.read_records().await;
                    }
                }
                Err(e) => {
                    log::info!(error:% = e; "the failover duty was not renewed or taken");
                    // The next reading of the records shows what holds.
                    Timer::after(RECORDS_PERIOD).await;
                }
            }
        }
    }

    fn on_duty_written(&self, version: Version, record: DutyRecord, sent: Time) {
        let mut state = self.state.borrow_mut();
        state.duty.on_written(version, record, sent, clock::now());
        state.directory.duty_holder = state.duty.holder().map(Arc::clone);
        drop(state);
        self.publish();
    }

    /// Marks silent instances, so that their part of rates and connections is free again, and deletes the entries of
    /// instances that use no primary any more.
    pub(super) async fn tidy_register(&self) {
        let now = clock::now();
        let (silent, removable) = {
            let mut state = self.state.borrow_mut();
            state.register.on_heard(&self.settings.instance.id, now);
            (state.register.newly_silent(now), state.register.removable(now))
        };
        for (version, marked) in silent {
            let key = records::instance_key(marked.id.as_str());
            let value = serde_json::json!(marked);
            match self
                .platform
                .put(&key, Precondition::Version(version), &value)
                .await
            {
                Ok(_) => log::info!(instance:% = marked.id; "instance marked as silent"),
                Err(e) => log::info!(instance:% = marked.id, error:% = e; "silent instance not marked"),
            }
            self.state.borrow_mut().register.on_tidied(&marked.id, now);
        }
        for (version, id) in removable {
            match self
                .platform
                .delete(&records::instance_key(id.as_str()), version)
                .await
            {
                Ok(()) => log::info!(instance:% = id; "ended instance taken off the register"),
                Err(e) => log::info!(instance:% = id, error:% = e; "ended instance stays on the register"),
            }
            self.state.borrow_mut().register.on_tidied(&id, now);
        }
    }

    /// Gives up the duty, and says that this instance uses no primary any more.
    pub(super) async fn sign_off(&self) {
        let me = &self.settings.instance;
        let (duty, version) = {
            let state = self.state.borrow();
            let duty = state.duty.record().cloned();
            let mine = duty.filter(|(_, r)| *r.holder == *me.id.as_str() && r.incarnation == me.incarnation);
            (mine, state.register.version(&me.id))
        };
        if let Some((version, mut record)) = duty {
            record.released = true;
            let value = serde_json::json!(record);
            let key = records::duty_key();
            if let Err(e) = self
                .platform
                .put(&key, Precondition::Version(version), &value)
                .await
            {
                log::info!(error:% = e; "the failover duty was not given up");
            }
        }
        if let Some(version) = version {
            let key = records::instance_key(me.id.as_str());
            let leaving = ListedInstance {
                state: ListedState::Leaving,
                ..me.clone()
            };
            let value = serde_json::json!(leaving);
            if let Err(e) = self
                .platform
                .put(&key, Precondition::Version(version), &value)
                .await
            {
                log::info!(error:% = e; "this instance stays on the register");
            }
        }
    }
}
