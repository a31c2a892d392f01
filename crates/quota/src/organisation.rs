//! The state of one organisation at this holder: its account, its demand, and the requests for more units and tokens.

use crate::account::{Account, MICROTOKENS_PER_TOKEN, UNITS_PER_ORGANISATION};
use crate::demand::DemandEstimate;
use std::time::Duration;
use wasabiyard_model::{InstanceId, Time};

/// Part of an equal share that a holder keeps without demand, so that the first statements there are not refused.
const IDLE_FRACTION_OF_EQUAL_SHARE: f64 = 0.02;
/// Units relative to the demand that a holder requests, and above which it transfers the rest away. An organisation
/// that uses 80 % of its rate still finds units for every instance.
const TARGET_HEADROOM_FACTOR: f64 = 1.08;
/// Units relative to the demand below which a holder requests more.
const SHORTAGE_FACTOR: f64 = 1.0;
/// Part of an equal share up to which units are kept only for the size of the bucket. All instances together must
/// leave units for those with high demand.
const BURST_FRACTION_OF_EQUAL_SHARE: f64 = 0.7;
/// Demand, in statements a second, above which units are kept for the size of the bucket.
const MIN_DEMAND_PER_SECOND: f64 = 0.02;
/// A level that lasts for less than this time at the current demand is nearly empty, and tokens are borrowed.
const NEARLY_EMPTY_SECONDS: f64 = 0.3;
/// Time at the current demand that a requested loan covers.
const LOAN_COVER_SECONDS: f64 = 0.5;
const MIN_REQUEST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_REQUEST_BACKOFF: Duration = Duration::from_secs(3);
const MAX_URGENT_REQUEST_BACKOFF: Duration = Duration::from_millis(800);

/// Units and tokens that an organisation lacks at this holder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Shortage {
    pub(crate) units: u32,
    pub(crate) micro_tokens: u64,
}

impl Shortage {
    /// Whether the level is nearly empty, so that statements will be refused soon.
    pub(crate) fn is_urgent(self) -> bool {
        self.micro_tokens > 0
    }
}

/// Backoff of one kind of request. Urgent requests have a backoff of their own: the long pauses after small shortages
/// that no peer could cover must not delay them.
#[derive(Debug, Clone, Copy, Default)]
struct RequestBackoff {
    /// Consecutive requests without a sufficient response.
    failures: u32,
    next_request: Time,
}

/// Account, demand and requests of one organisation.
#[derive(Debug, Default)]
pub(crate) struct OrganisationState {
    pub(crate) account: Account,
    pub(crate) demand: DemandEstimate,
    /// Borrowed microtokens that may still be spent, and their expiry.
    pub(crate) loan: (u64, Time),
    regular: RequestBackoff,
    urgent: RequestBackoff,
    /// Shortage of the last request, with which a response is compared.
    last_requested: Shortage,
    /// Peer that last gave units or tokens. The second request in a row is sent to it.
    pub(crate) last_giver: Option<InstanceId>,
    /// Earliest time of the next transfer of surplus units.
    pub(crate) next_surplus_transfer: Time,
}

impl OrganisationState {
    /// Microtokens that the traffic threads keep while the rest may be transferred or lent.
    pub(crate) fn reserve(&self) -> u64 {
        (self.demand.tokens_to_cover() * MICROTOKENS_PER_TOKEN as f64) as u64
    }

    /// Returns what is short. Transferred units bring a part of the giver's tokens along and lose none, so they are
    /// requested first: when the rate is short, and when the level is low. Borrowed tokens are lost when they are not
    /// spent in time, so they are requested only when the level is nearly empty.
    pub(crate) fn shortage(&self, fleet_size: usize, now: Time) -> Option<Shortage> {
        let held_units = f64::from(self.account.units());
        let loan = if self.loan.1 > now { self.loan.0 } else { 0 };
        let level = (self.account.total_microtokens() + loan) as f64 / MICROTOKENS_PER_TOKEN as f64;
        let (demand, cover) = (self.demand_rate(), self.demand.tokens_to_cover());
        let mut units = 0.0;
        if held_units < self.target_units(demand, SHORTAGE_FACTOR, fleet_size) {
            units += self.target_units(demand, TARGET_HEADROOM_FACTOR, fleet_size) - held_units;
        }
        if demand > MIN_DEMAND_PER_SECOND && level < cover / 2.0 {
            units += self.account.units_for_burst(cover - level);
        }
        let is_nearly_empty =
            demand > MIN_DEMAND_PER_SECOND && level < (demand * NEARLY_EMPTY_SECONDS).max(1.0);
        let tokens = if is_nearly_empty {
            1.0 + demand * LOAN_COVER_SECONDS
        } else {
            0.0
        };
        let short = Shortage {
            units: units.clamp(0.0, f64::from(UNITS_PER_ORGANISATION) - held_units) as u32,
            micro_tokens: (tokens * MICROTOKENS_PER_TOKEN as f64) as u64,
        };
        (short.units > 0 || short.micro_tokens > 0).then_some(short)
    }

    /// Units that this holder does not need. For an urgent request the recent peak of the demand counts only half.
    pub(crate) fn spare_units(&self, fleet_size: usize, urgent: bool) -> u32 {
        let demand = if urgent {
            f64::midpoint(self.demand.short_average(), self.demand.decaying_peak())
        } else {
            self.demand_rate()
        };
        let spare =
            f64::from(self.account.units()) - self.target_units(demand, TARGET_HEADROOM_FACTOR, fleet_size);
        (spare.max(0.0) as u32).min(self.account.transferable_units())
    }

    /// Units needed for the rate of the demand, and for a bucket that covers its random variation.
    fn target_units(&self, demand: f64, headroom: f64, fleet_size: usize) -> f64 {
        let equal_share = f64::from(UNITS_PER_ORGANISATION) / fleet_size as f64;
        let burst_units = if demand > MIN_DEMAND_PER_SECOND {
            self.account.units_for_burst(self.demand.tokens_to_cover())
        } else {
            0.0
        };
        let target = (self.account.units_for_rate(demand) * headroom)
            .max(burst_units.min(BURST_FRACTION_OF_EQUAL_SHARE * equal_share));
        (target + IDLE_FRACTION_OF_EQUAL_SHARE * equal_share).min(f64::from(UNITS_PER_ORGANISATION))
    }

    fn demand_rate(&self) -> f64 {
        self.demand.short_average().max(self.demand.decaying_peak())
    }

    /// Microtokens that this holder does not need: half of what exceeds the reserve, so that several requests can be
    /// served.
    pub(crate) fn spare_microtokens(&self) -> u64 {
        self.account.total_microtokens().saturating_sub(self.reserve()) / 2
    }

    /// Returns the number of consecutive failed requests when a request for this shortage may be sent now.
    pub(crate) fn failures_if_request_due(&mut self, shortage: Shortage, now: Time) -> Option<u32> {
        let backoff = self.backoff_mut(shortage);
        (backoff.next_request <= now).then_some(backoff.failures)
    }

    /// Records a sent request, and doubles the pause before the next one until a sufficient response arrives.
    pub(crate) fn on_request_sent(&mut self, shortage: Shortage, now: Time) {
        self.last_requested = shortage;
        let max_pause = if shortage.is_urgent() {
            MAX_URGENT_REQUEST_BACKOFF
        } else {
            MAX_REQUEST_BACKOFF
        };
        let backoff = self.backoff_mut(shortage);
        let pause = MIN_REQUEST_BACKOFF
            .saturating_mul(1 << backoff.failures.min(8))
            .min(max_pause);
        backoff.failures = backoff.failures.saturating_add(1);
        backoff.next_request = now + pause;
    }

    /// Records units or microtokens received from a peer. After a sufficient response the next request may follow
    /// soon; under a shortage of the whole fleet responses are small, and the requests stay infrequent.
    pub(crate) fn on_received(&mut self, giver: &InstanceId, units: u32, micro_tokens: u64, now: Time) {
        self.last_giver = Some(giver.clone());
        let is_sufficient = units > 0 && units >= self.last_requested.units / 4
            || micro_tokens > 0 && micro_tokens >= self.last_requested.micro_tokens / 4;
        if is_sufficient {
            let backoff = self.backoff_mut(self.last_requested);
            backoff.failures = 0;
            backoff.next_request = backoff.next_request.min(now + MIN_REQUEST_BACKOFF);
        }
    }

    fn backoff_mut(&mut self, shortage: Shortage) -> &mut RequestBackoff {
        if shortage.is_urgent() {
            &mut self.urgent
        } else {
            &mut self.regular
        }
    }
}
