//! Taking, renewing and giving up the failover duty, and keeping the register of instances tidy.

use super::control_loop::Control;
use super::duty::DutyRecord;
use super::poll::RECORDS_PERIOD;
use super::records;
use super::state::State;
use crate::view::ranking;
use crate::{Connector, Discovery, Promoter, clock};
use async_io::Timer;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::{Time, Version};
use wasabiyard_platform::{Expect, Platform};

/// Period of the duty's renewal.
const RENEWAL_PERIOD: Duration = Duration::from_secs(1);
/// Period of looking whether the duty is due.
const TICK: Duration = Duration::from_millis(60);
/// An instance that is silent for this long is taken off the register.
const SILENT_INSTANCE: Duration = Duration::from_secs(8);

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
                let ranked = ranking(&directory.members);
                let rank = ranked.iter().position(|m| m.id.as_str() == &*me);
                let rank = rank.unwrap_or(ranked.len());
                let due = state.duty.due(&me, incarnation, rank, RENEWAL_PERIOD, now);
                let version = state.duty.record().map(|(v, _)| *v);
                (due, version.map_or(Expect::Absent, Expect::Version))
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
        self.tidy_members(&mut state, sent);
        drop(state);
        self.publish();
    }

    fn tidy_members(&self, state: &mut State, now: Time) {
        let me = &self.settings.instance.id;
        state.heard.insert(me.clone(), now);
        let members: Vec<_> = state.directory.members.iter().map(|m| m.id.clone()).collect();
        state.heard.retain(|id, _| members.contains(id));
    }

    /// Silent instances are taken off the register, so that their part of rates and connections is free again.
    pub(super) async fn remove_silent_instances(&self) {
        let now = clock::now();
        let silent: Vec<_> = {
            let state = self.state.borrow();
            let heard = state.heard.iter();
            let silent = heard.filter(|(id, at)| {
                **id != self.settings.instance.id && now.saturating_since(**at) > SILENT_INSTANCE
            });
            silent
                .filter_map(|(id, _)| {
                    let version = state.instance_versions.get(id.as_str())?;
                    Some((id.clone(), *version))
                })
                .collect()
        };
        for (id, version) in silent {
            match self
                .platform
                .delete(&records::instance_key(id.as_str()), version)
                .await
            {
                Ok(()) => log::info!(instance:% = id; "silent instance taken off the register"),
                Err(e) => log::info!(instance:% = id, error:% = e; "silent instance stays on the register"),
            }
            self.state.borrow_mut().heard.insert(id, now);
        }
    }

    /// Gives up the duty and the registration.
    pub(super) async fn sign_off(&self) {
        let me = &self.settings.instance;
        let (duty, version) = {
            let state = self.state.borrow();
            let duty = state.duty.record().cloned();
            let mine = duty.filter(|(_, r)| *r.holder == *me.id.as_str() && r.incarnation == me.incarnation);
            (mine, state.instance_versions.get(me.id.as_str()).copied())
        };
        if let Some((version, mut record)) = duty {
            record.released = true;
            let value = serde_json::json!(record);
            let key = records::duty_key();
            if let Err(e) = self.platform.put(&key, Expect::Version(version), &value).await {
                log::info!(error:% = e; "the failover duty was not given up");
            }
        }
        if let Some(version) = version {
            let key = records::instance_key(me.id.as_str());
            if let Err(e) = self.platform.delete(&key, version).await {
                log::info!(error:% = e; "this instance stays on the register");
            }
        }
    }
}
