//! The quota coordinator of a bucket: the initial issue of units, their reissue after a holder ended, and the removal
//! of registrations that are no longer needed.

use crate::registered_holders::RegisteredHolders;
use crate::reissue::{Reissue, Stage};
use crate::shares::Shares;
use crate::{Command, Holder, PlatformRequest, RoundDocument, UNITS_PER_ORGANISATION, bucket_of};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wasabiyard_model::{Time, Version};
use wasabiyard_wire::{ControlMessage, ShareReport};

/// Interval of the checks after a member went missing, an organisation was added or this process became ready. Also
/// the shortest time between two reads of the list while the first is unanswered.
const FREQUENT_CHECK_INTERVAL: Duration = Duration::from_secs(2);
const FREQUENT_CHECK_DURATION: Duration = Duration::from_secs(40);
const CHECK_INTERVAL: Duration = Duration::from_mins(1);
const FREEZE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
const LIST_INTERVAL: Duration = Duration::from_secs(3);
/// A round that another process opened is taken over when it has been open for this long.
const OPEN_ROUND_TIMEOUT: Duration = Duration::from_secs(15);
/// Another process starts a required round when the coordinator has not done so for this long. The coordinator may be
/// live but draining, or cut off from the platform.
const COORDINATOR_TIMEOUT: Duration = Duration::from_secs(20);
/// Tokens of an initial issue, in thousandths: more than any bucket holds, so that the bucket starts full.
const INITIAL_MILLITOKENS: u64 = u64::MAX / 1_000_000;

/// The round documents and registrations that this process has read, and the reissues that it runs.
#[derive(Debug, Default)]
pub(crate) struct Coordinator {
    documents: BTreeMap<u16, (Version, RoundDocument)>,
    /// By bucket, the number of a round that is open, and the time since when this process has known it.
    open_since: BTreeMap<u16, (u64, Time)>,
    /// By bucket, the version of a document that requires a new round, and the time since when this process has known
    /// it.
    required_since: BTreeMap<u16, (Option<Version>, Time)>,
    registered: RegisteredHolders,
    reissues: BTreeMap<u16, Reissue>,
    last_list_number: u64,
    list_requested: bool,
    last_list_request: Option<Time>,
    next_check: Time,
    frequent_checks_until: Time,
    /// A check completes when both of its reads are answered: the rounds, and a list with at least this number.
    awaiting_rounds: bool,
    awaited_list_number: u64,
    next_freeze: Time,
    next_list: Time,
}

impl Coordinator {
    /// Checks more often for a while, because a member is missing or the organisations changed and the platform's
    /// list lags behind.
    pub(crate) fn schedule_frequent_checks(&mut self, now: Time) {
        self.frequent_checks_until = now + FREQUENT_CHECK_DURATION;
        self.next_check = self.next_check.min(now);
    }

    /// Requests a read of the registrations and the platform's list with the next tick.
    pub(crate) fn request_list(&mut self) {
        self.list_requested = true;
    }

    /// Whether no reissue is in progress that could still issue units to this process.
    pub(crate) fn is_idle(&self) -> bool {
        self.reissues.is_empty()
    }

    pub(crate) fn tick(&mut self, shares: &Shares, now: Time) -> Vec<Command> {
        let mut commands = Vec::new();
        if now >= self.next_check && self.is_coordinator(shares) {
            let check_interval = if now < self.frequent_checks_until {
                FREQUENT_CHECK_INTERVAL
            } else {
                CHECK_INTERVAL
            };
            self.next_check = now + check_interval;
            self.awaiting_rounds = true;
            self.awaited_list_number = self.last_list_number + 1;
            self.list_requested = true;
            commands.push(Command::CallPlatform(PlatformRequest::ReadRounds));
        }
        let collecting = self
            .reissues
            .values()
            .any(|r| matches!(r.stage, Stage::ListingHolders { .. } | Stage::CollectingReports));
        if collecting && now >= self.next_list {
            self.next_list = now + LIST_INTERVAL;
            self.list_requested = true;
        }
        if self.list_requested
            && self
                .last_list_request
                .is_none_or(|requested_at| now.saturating_since(requested_at) >= FREQUENT_CHECK_INTERVAL)
        {
            self.list_requested = false;
            self.last_list_request = Some(now);
            self.last_list_number += 1;
            commands.push(Command::CallPlatform(PlatformRequest::ReadHolders(
                self.last_list_number,
            )));
        }
        commands.extend(
            self.reissues
                .iter_mut()
                .filter_map(|(b, reissue)| reissue.write_if_due(*b, now))
                .map(Command::CallPlatform),
        );
        if now >= self.next_freeze {
            self.next_freeze = now + FREEZE_RETRY_INTERVAL;
            commands.extend(self.freeze_messages());
        }
        commands
    }

    /// Handles a read of all round documents.
    pub(crate) fn on_rounds_read(
        &mut self,
        documents: Vec<(u16, Version, RoundDocument)>,
        shares: &mut Shares,
        now: Time,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        for (bucket, version, document) in documents {
            commands.extend(self.on_round_read(bucket, Some((version, document)), shares, now));
        }
        if std::mem::take(&mut self.awaiting_rounds) && self.awaited_list_number == 0 {
            commands.extend(self.start_required_reissues(shares, now));
        }
        commands
    }

    /// Handles a read of one round document. A write of this process that the read shows is completed before the
    /// document is processed; otherwise the process would consider itself excluded from its own round.
    pub(crate) fn on_round_read(
        &mut self,
        bucket: u16,
        found: Option<(Version, RoundDocument)>,
        shares: &mut Shares,
        now: Time,
    ) -> Vec<Command> {
        let Some((version, document)) = found else {
            return Vec::new();
        };
        if self
            .documents
            .get(&bucket)
            .is_some_and(|(known, _)| version < *known)
        {
            return Vec::new();
        }
        let mut commands = Vec::new();
        if let Some(reissue) = self.reissues.get(&bucket) {
            let same = reissue.document.round == document.round
                && reissue.document.coordinator == document.coordinator;
            if same && reissue.is_writing() && reissue.document.closed == document.closed {
                commands.extend(self.on_round_written(bucket, version, shares, now));
            } else if document.round > reissue.document.round
                || reissue.expected_version.is_none_or(|replaced| version > replaced)
            {
                self.reissues.remove(&bucket);
            }
        }
        commands.extend(shares.on_round_document(bucket, &document, now));
        self.documents.insert(bucket, (version, document));
        commands
    }

    /// Handles a write of this process that took effect.
    pub(crate) fn on_round_written(
        &mut self,
        bucket: u16,
        version: Version,
        shares: &mut Shares,
        now: Time,
    ) -> Vec<Command> {
        let Some(reissue) = self
            .reissues
            .get_mut(&bucket)
            .filter(|reissue| reissue.is_writing())
        else {
            return Vec::new();
        };
        if reissue
            .expected_version
            .is_some_and(|replaced| version <= replaced)
        {
            return Vec::new();
        }
        self.documents.insert(bucket, (version, reissue.document.clone()));
        reissue.expected_version = Some(version);
        reissue.next_write = Time::ZERO;
        if reissue.stage == Stage::OpeningRound {
            reissue.stage = Stage::ListingHolders {
                after: self.last_list_number,
            };
            self.list_requested = true;
            let me = shares.me.instance.clone();
            let round = reissue.document.round;
            drop(shares.on_freeze(bucket, round, &me, now));
            return Vec::new();
        }
        let reissue = self.reissues.remove(&bucket).expect("found above");
        Self::issue(bucket, &reissue, shares, now)
    }

    /// Handles a read of the registrations and the platform's list.
    pub(crate) fn on_holders_read(
        &mut self,
        number: u64,
        registered: Vec<Holder>,
        listed: &[Holder],
        shares: &Shares,
        now: Time,
    ) -> Vec<Command> {
        self.last_list_request = None;
        self.registered = RegisteredHolders::compare(registered, listed);
        let holders = &self.registered.holders;
        for (bucket, reissue) in &mut self.reissues {
            match reissue.stage {
                Stage::ListingHolders { after } if number > after => {
                    reissue.start_collecting(&shares.me, holders, &self.registered.ended);
                    self.next_freeze = now;
                }
                Stage::CollectingReports => reissue.remove_ended(holders, &self.registered.ended),
                _ => {}
            }
            Self::close_if_all_reported(*bucket, reissue, shares);
        }
        if self.awaited_list_number > 0 && number >= self.awaited_list_number {
            self.awaited_list_number = 0;
            if !self.awaiting_rounds {
                return self.start_required_reissues(shares, now);
            }
        }
        Vec::new()
    }

    /// Handles the report of a holder. When the round is closed already, returns the message that tells the holder
    /// so.
    pub(crate) fn on_report(&mut self, report: &ShareReport, shares: &Shares) -> Option<Command> {
        if let Some(reissue) = self.reissues.get_mut(&report.bucket) {
            reissue.on_report(report);
            Self::close_if_all_reported(report.bucket, reissue, shares);
        }
        let (_, document) = self.documents.get(&report.bucket)?;
        let done_message = ControlMessage::RoundDone {
            bucket: report.bucket,
            round: document.round,
        };
        (document.closed && document.round == report.round)
            .then(|| Command::Send(report.instance.clone(), done_message))
    }

    fn close_if_all_reported(bucket: u16, reissue: &mut Reissue, shares: &Shares) {
        if reissue.stage == Stage::CollectingReports && reissue.unreported_holders.is_empty() {
            reissue.prepare_closing(&shares.report(bucket), &organisations_of(shares, bucket));
        }
    }

    /// Adds the units that a write issued to this process, unless a later round has been counted without them.
    fn issue(bucket: u16, reissue: &Reissue, shares: &mut Shares, now: Time) -> Vec<Command> {
        let (expected, units, tokens) = match reissue.stage {
            Stage::InitialIssue => (
                0,
                reissue
                    .document
                    .issued_organisations
                    .iter()
                    .map(|name| (name.clone(), UNITS_PER_ORGANISATION))
                    .collect(),
                INITIAL_MILLITOKENS,
            ),
            _ => (reissue.document.round, reissue.missing_units.clone(), 0),
        };
        if shares.rounds.round(bucket) != expected {
            return Vec::new();
        }
        shares.on_closed(bucket, reissue.document.round);
        for (name, units) in units {
            let account = &mut shares.organisation(&name, now).account;
            account.refill(now);
            account.add(units, tokens);
        }
        let done_message = ControlMessage::RoundDone {
            bucket,
            round: reissue.document.round,
        };
        reissue
            .participants
            .iter()
            .map(|h| Command::Send(h.instance.clone(), done_message.clone()))
            .collect()
    }

    fn freeze_messages(&self) -> Vec<Command> {
        let collecting = self
            .reissues
            .iter()
            .filter(|(_, reissue)| reissue.stage == Stage::CollectingReports);
        let freeze_messages = collecting.flat_map(|(bucket, reissue)| {
            let freeze_message = ControlMessage::RoundFreeze {
                bucket: *bucket,
                round: reissue.document.round,
            };
            reissue
                .unreported_holders
                .iter()
                .map(move |h| Command::Send(h.instance.clone(), freeze_message.clone()))
        });
        freeze_messages.collect()
    }

    fn is_coordinator(&self, shares: &Shares) -> bool {
        let mut buckets: BTreeSet<u16> = self.documents.keys().copied().collect();
        buckets.extend(shares.organisations.keys().map(|name| bucket_of(name)));
        shares.ready
            && buckets
                .into_iter()
                .any(|b| shares.peers.is_coordinator(&shares.me, b))
    }

    /// Starts the reissues that are required, after the rounds and the registrations were read.
    fn start_required_reissues(&mut self, shares: &Shares, now: Time) -> Vec<Command> {
        if shares.draining {
            return Vec::new();
        }
        let buckets: BTreeSet<u16> = shares.organisations.keys().map(|name| bucket_of(name)).collect();
        for bucket in buckets
            .into_iter()
            .chain(self.documents.keys().copied())
            .collect::<BTreeSet<u16>>()
        {
            if self.reissues.contains_key(&bucket) {
                continue;
            }
            let reissue = match self.documents.get(&bucket) {
                None => Some(Self::initial_issue(bucket, shares)),
                Some((version, document)) => {
                    let (version, document) = (*version, document.clone());
                    self.requires_round(bucket, &document, shares, now)
                        .then(|| Self::new_round(version, document, shares))
                }
            };
            let Some(reissue) = reissue else {
                self.required_since.remove(&bucket);
                continue;
            };
            let since = self
                .required_since
                .entry(bucket)
                .or_insert((reissue.expected_version, now));
            if since.0 != reissue.expected_version {
                *since = (reissue.expected_version, now);
            }
            let is_overdue = now.saturating_since(since.1) >= COORDINATOR_TIMEOUT;
            if is_overdue || shares.peers.is_coordinator(&shares.me, bucket) {
                self.reissues.insert(bucket, reissue);
            }
        }
        self.unregister_ended(shares)
    }

    fn initial_issue(bucket: u16, shares: &Shares) -> Reissue {
        let document = RoundDocument {
            round: 1,
            coordinator: shares.me.clone(),
            closed: true,
            issued_organisations: organisations_of(shares, bucket).into_iter().collect(),
            ended: Vec::new(),
        };
        Reissue::new(Stage::InitialIssue, document, None)
    }

    fn new_round(version: Version, document: RoundDocument, shares: &Shares) -> Reissue {
        let document = RoundDocument {
            round: document.round + 1,
            coordinator: shares.me.clone(),
            closed: false,
            ..document
        };
        Reissue::new(Stage::OpeningRound, document, Some(version))
    }

    fn requires_round(&mut self, bucket: u16, document: &RoundDocument, shares: &Shares, now: Time) -> bool {
        if !document.closed {
            let since = self.open_since.entry(bucket).or_insert((document.round, now));
            if since.0 != document.round {
                *since = (document.round, now);
            }
            let timed_out = now.saturating_since(since.1) >= OPEN_ROUND_TIMEOUT;
            let coordinator = &document.coordinator;
            return timed_out || *coordinator == shares.me || self.registered.ended.contains(coordinator);
        }
        let has_unprocessed_end = self.registered.ended.iter().any(|h| !document.ended.contains(h));
        has_unprocessed_end
            || organisations_of(shares, bucket)
                .iter()
                .any(|name| !document.issued_organisations.contains(name))
    }

    /// Deletes the registrations of ended holders whose units were reissued in every bucket.
    fn unregister_ended(&self, shares: &Shares) -> Vec<Command> {
        let Some(first) = self.documents.keys().next() else {
            return Vec::new();
        };
        if !shares.peers.is_coordinator(&shares.me, *first) {
            return Vec::new();
        }
        let is_processed = |h: &&Holder| {
            self.documents
                .values()
                .all(|(_, document)| document.closed && document.ended.contains(h))
        };
        let processed = self.registered.ended.iter().filter(is_processed);
        processed
            .map(|h| Command::CallPlatform(PlatformRequest::Unregister(h.clone())))
            .collect()
    }
}

fn organisations_of(shares: &Shares, bucket: u16) -> BTreeSet<String> {
    let names = shares
        .organisations
        .iter()
        .filter(|(name, o)| bucket_of(name) == bucket && o.account.is_declared());
    names.map(|(name, _)| name.to_string()).collect()
}
