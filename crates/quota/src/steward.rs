//! The steward's part: first issue, reissue after a crash, and cleaning up registrations.

use crate::registered::Registered;
use crate::reissue::{Reissue, Stage};
use crate::shares::Shares;
use crate::{Call, Command, Holder, RoundDoc, WHOLE_UNITS, bucket_of};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wasabiyard_model::{Time, Version};
use wasabiyard_wire::{ControlMessage, ShareReport};

const URGENT_PAUSE: Duration = Duration::from_secs(2);
const URGENT_TIME: Duration = Duration::from_secs(40);
const USUAL_PAUSE: Duration = Duration::from_mins(1);
const FREEZE_AGAIN: Duration = Duration::from_millis(500);
const LIST_AGAIN: Duration = Duration::from_secs(3);
/// A round that another process opened is taken over when it stays open for this long.
const OPEN_TOO_LONG: Duration = Duration::from_secs(15);
/// Another process starts a round when the steward has not done so for this long. A steward may be alive and leaving, or
/// cut off from the platform.
const STEWARD_TOO_SLOW: Duration = Duration::from_secs(20);
/// Burst of a first issue, in thousandths of a token: more than any bucket holds, so that it starts full.
const FULL: u64 = u64::MAX / 1_000_000;

/// What this process knows as a possible steward, and the reissues that it runs.
#[derive(Debug, Default)]
pub(crate) struct Steward {
    docs: BTreeMap<u16, (Version, RoundDoc)>,
    open_since: BTreeMap<u16, (u64, Time)>,
    /// Version of a document that calls for a round, and since when this process has known it.
    needed_since: BTreeMap<u16, (Option<Version>, Time)>,
    registered: Registered,
    runs: BTreeMap<u16, Reissue>,
    list_number: u64,
    list_wanted: bool,
    list_sent: Option<Time>,
    next_check: Time,
    urgent_until: Time,
    /// A check evaluates when both of its reads are answered: the rounds, and a list of at least this number.
    check_rounds: bool,
    check_list: u64,
    next_freeze: Time,
    next_list: Time,
}

impl Steward {
    /// A member is missing or the organisations changed: checks often for a while, because the platform's list lags.
    pub(crate) fn hurry(&mut self, now: Time) {
        self.urgent_until = now + URGENT_TIME;
        self.next_check = self.next_check.min(now);
    }

    /// Asks for a list of the holders with the next tick.
    pub(crate) fn want_list(&mut self) {
        self.list_wanted = true;
    }

    /// Whether no write is under way that could still issue units to this process.
    pub(crate) fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    pub(crate) fn tick(&mut self, shares: &Shares, now: Time) -> Vec<Command> {
        let mut out = Vec::new();
        if now >= self.next_check && self.is_steward(shares) {
            let pause = if now < self.urgent_until {
                URGENT_PAUSE
            } else {
                USUAL_PAUSE
            };
            self.next_check = now + pause;
            self.check_rounds = true;
            self.check_list = self.list_number + 1;
            self.list_wanted = true;
            out.push(Command::Call(Call::ReadRounds));
        }
        let collecting = self
            .runs
            .values()
            .any(|r| matches!(r.stage, Stage::Listing { .. } | Stage::Collecting));
        if collecting && now >= self.next_list {
            self.next_list = now + LIST_AGAIN;
            self.list_wanted = true;
        }
        if self.list_wanted
            && self
                .list_sent
                .is_none_or(|sent| now.saturating_since(sent) >= URGENT_PAUSE)
        {
            self.list_wanted = false;
            self.list_sent = Some(now);
            self.list_number += 1;
            out.push(Command::Call(Call::ReadHolders(self.list_number)));
        }
        out.extend(
            self.runs
                .iter_mut()
                .filter_map(|(b, run)| run.write(*b, now))
                .map(Command::Call),
        );
        if now >= self.next_freeze {
            self.next_freeze = now + FREEZE_AGAIN;
            out.extend(self.freezes());
        }
        out
    }

    /// All round documents were read.
    pub(crate) fn on_rounds(
        &mut self,
        docs: Vec<(u16, Version, RoundDoc)>,
        shares: &mut Shares,
        now: Time,
    ) -> Vec<Command> {
        let mut out = Vec::new();
        for (bucket, version, doc) in docs {
            out.extend(self.on_round(bucket, Some((version, doc)), shares, now));
        }
        if std::mem::take(&mut self.check_rounds) && self.check_list == 0 {
            out.extend(self.evaluate(shares, now));
        }
        out
    }

    /// One round document was read. A write of this process that it shows is completed before the document is taken
    /// note of: otherwise the process would see itself excluded from its own round.
    pub(crate) fn on_round(
        &mut self,
        bucket: u16,
        found: Option<(Version, RoundDoc)>,
        shares: &mut Shares,
        now: Time,
    ) -> Vec<Command> {
        let Some((version, doc)) = found else {
            return Vec::new();
        };
        if self.docs.get(&bucket).is_some_and(|(known, _)| version < *known) {
            return Vec::new();
        }
        let mut out = Vec::new();
        if let Some(run) = self.runs.get(&bucket) {
            let same = run.doc.round == doc.round && run.doc.steward == doc.steward;
            if same && run.is_writing() && run.doc.closed == doc.closed {
                out.extend(self.on_written(bucket, version, shares, now));
            } else if doc.round > run.doc.round || run.expect.is_none_or(|expect| version > expect) {
                self.runs.remove(&bucket);
            }
        }
        out.extend(shares.on_doc(bucket, &doc, now));
        self.docs.insert(bucket, (version, doc));
        out
    }

    /// A write of this process took effect.
    pub(crate) fn on_written(
        &mut self,
        bucket: u16,
        version: Version,
        shares: &mut Shares,
        now: Time,
    ) -> Vec<Command> {
        let Some(run) = self.runs.get_mut(&bucket).filter(|run| run.is_writing()) else {
            return Vec::new();
        };
        if run.expect.is_some_and(|expect| version <= expect) {
            return Vec::new();
        }
        self.docs.insert(bucket, (version, run.doc.clone()));
        run.expect = Some(version);
        run.retry_at = Time::ZERO;
        if run.stage == Stage::Opening {
            run.stage = Stage::Listing {
                after: self.list_number,
            };
            self.list_wanted = true;
            let me = shares.me.instance.clone();
            let round = run.doc.round;
            drop(shares.on_freeze(bucket, round, &me, now));
            return Vec::new();
        }
        let run = self.runs.remove(&bucket).expect("found above");
        Self::issue(bucket, &run, shares, now)
    }

    /// The registrations and the platform's list were read.
    pub(crate) fn on_list(
        &mut self,
        number: u64,
        registered: Vec<Holder>,
        listed: &[Holder],
        shares: &Shares,
        now: Time,
    ) -> Vec<Command> {
        self.list_sent = None;
        self.registered = Registered::compare(registered, listed);
        let holders = &self.registered.holders;
        for (bucket, run) in &mut self.runs {
            match run.stage {
                Stage::Listing { after } if number > after => {
                    run.collect(&shares.me, holders, &self.registered.gone);
                    self.next_freeze = now;
                }
                Stage::Collecting => run.forget_ended(holders, &self.registered.gone),
                _ => {}
            }
            Self::close_if_complete(*bucket, run, shares);
        }
        if self.check_list > 0 && number >= self.check_list {
            self.check_list = 0;
            if !self.check_rounds {
                return self.evaluate(shares, now);
            }
        }
        Vec::new()
    }

    /// A holder reported. One that asks again about a round that is closed is told so.
    pub(crate) fn on_report(&mut self, report: &ShareReport, shares: &Shares) -> Option<Command> {
        if let Some(run) = self.runs.get_mut(&report.bucket) {
            run.on_report(report);
            Self::close_if_complete(report.bucket, run, shares);
        }
        let (_, doc) = self.docs.get(&report.bucket)?;
        let done = ControlMessage::RoundDone {
            bucket: report.bucket,
            round: doc.round,
        };
        (doc.closed && doc.round == report.round).then(|| Command::Send(report.instance.clone(), done))
    }

    fn close_if_complete(bucket: u16, run: &mut Reissue, shares: &Shares) {
        if run.stage == Stage::Collecting && run.waiting.is_empty() {
            run.close(&shares.report(bucket), &organisations_of(shares, bucket));
        }
    }

    /// Adds what a write issued, unless a later round has counted without it.
    fn issue(bucket: u16, run: &Reissue, shares: &mut Shares, now: Time) -> Vec<Command> {
        let (expected, units, tokens) = match run.stage {
            Stage::Genesis => (
                0,
                run.doc
                    .issued
                    .iter()
                    .map(|name| (name.clone(), WHOLE_UNITS))
                    .collect(),
                FULL,
            ),
            _ => (run.doc.round, run.missing.clone(), 0),
        };
        if shares.rounds.round(bucket) != expected {
            return Vec::new();
        }
        shares.on_closed(bucket, run.doc.round);
        for (name, units) in units {
            let account = &mut shares.organisation(&name, now).account;
            account.refill(now);
            account.add(units, tokens);
        }
        let done = ControlMessage::RoundDone {
            bucket,
            round: run.doc.round,
        };
        run.participants
            .iter()
            .map(|h| Command::Send(h.instance.clone(), done.clone()))
            .collect()
    }

    fn freezes(&self) -> Vec<Command> {
        let collecting = self.runs.iter().filter(|(_, run)| run.stage == Stage::Collecting);
        let freezes = collecting.flat_map(|(bucket, run)| {
            let freeze = ControlMessage::RoundFreeze {
                bucket: *bucket,
                round: run.doc.round,
            };
            run.waiting
                .iter()
                .map(move |h| Command::Send(h.instance.clone(), freeze.clone()))
        });
        freezes.collect()
    }

    fn is_steward(&self, shares: &Shares) -> bool {
        let mut buckets: BTreeSet<u16> = self.docs.keys().copied().collect();
        buckets.extend(shares.organisations.keys().map(|name| bucket_of(name)));
        shares.ready
            && buckets
                .into_iter()
                .any(|b| shares.peers.is_steward(&shares.me, b))
    }

    /// Starts what is needed, after the rounds and the registrations were read.
    fn evaluate(&mut self, shares: &Shares, now: Time) -> Vec<Command> {
        if shares.leaving {
            return Vec::new();
        }
        let buckets: BTreeSet<u16> = shares.organisations.keys().map(|name| bucket_of(name)).collect();
        for bucket in buckets
            .into_iter()
            .chain(self.docs.keys().copied())
            .collect::<BTreeSet<u16>>()
        {
            if self.runs.contains_key(&bucket) {
                continue;
            }
            let run = match self.docs.get(&bucket) {
                None => Some(Self::genesis(bucket, shares)),
                Some((version, doc)) => {
                    let (version, doc) = (*version, doc.clone());
                    self.needs_round(bucket, &doc, shares, now)
                        .then(|| Self::next_round(version, doc, shares))
                }
            };
            let Some(run) = run else {
                self.needed_since.remove(&bucket);
                continue;
            };
            let since = self.needed_since.entry(bucket).or_insert((run.expect, now));
            if since.0 != run.expect {
                *since = (run.expect, now);
            }
            let left_undone = now.saturating_since(since.1) >= STEWARD_TOO_SLOW;
            if left_undone || shares.peers.is_steward(&shares.me, bucket) {
                self.runs.insert(bucket, run);
            }
        }
        self.cleanup(shares)
    }

    fn genesis(bucket: u16, shares: &Shares) -> Reissue {
        let doc = RoundDoc {
            round: 1,
            steward: shares.me.clone(),
            closed: true,
            issued: organisations_of(shares, bucket).into_iter().collect(),
            gone: Vec::new(),
        };
        Reissue::new(Stage::Genesis, doc, None)
    }

    fn next_round(version: Version, doc: RoundDoc, shares: &Shares) -> Reissue {
        let doc = RoundDoc {
            round: doc.round + 1,
            steward: shares.me.clone(),
            closed: false,
            ..doc
        };
        Reissue::new(Stage::Opening, doc, Some(version))
    }

    fn needs_round(&mut self, bucket: u16, doc: &RoundDoc, shares: &Shares, now: Time) -> bool {
        if !doc.closed {
            let since = self.open_since.entry(bucket).or_insert((doc.round, now));
            if since.0 != doc.round {
                *since = (doc.round, now);
            }
            let stuck = now.saturating_since(since.1) >= OPEN_TOO_LONG;
            let steward = &doc.steward;
            return stuck || *steward == shares.me || self.registered.gone.contains(steward);
        }
        let uncovered = self.registered.gone.iter().any(|h| !doc.gone.contains(h));
        uncovered
            || organisations_of(shares, bucket)
                .iter()
                .any(|name| !doc.issued.contains(name))
    }

    /// Deletes the registrations of ended processes that every bucket has covered.
    fn cleanup(&self, shares: &Shares) -> Vec<Command> {
        let Some(first) = self.docs.keys().next() else {
            return Vec::new();
        };
        if !shares.peers.is_steward(&shares.me, *first) {
            return Vec::new();
        }
        let covered = |h: &&Holder| {
            self.docs
                .values()
                .all(|(_, doc)| doc.closed && doc.gone.contains(h))
        };
        let done = self.registered.gone.iter().filter(covered);
        done.map(|h| Command::Call(Call::Unregister(h.clone()))).collect()
    }
}

fn organisations_of(shares: &Shares, bucket: u16) -> BTreeSet<String> {
    let names = shares
        .organisations
        .iter()
        .filter(|(name, o)| bucket_of(name) == bucket && o.account.is_declared());
    names.map(|(name, _)| name.to_string()).collect()
}
