//! The share units that one holder has of an organisation, and the token bucket that they size.
//!
//! Token levels are in microtokens, so the bucket of `u` units holds exactly `burst * u`. The published part of the
//! level can be spent by the traffic threads at any moment. Only the unpublished part, which they cannot access, is
//! ever transferred or lent. Between two settlements the published part can only shrink, so no token is counted
//! twice.

use std::time::Duration;
use wasabiyard_model::Time;

/// Share units into which the rate and burst of each organisation are divided over the whole fleet.
pub const UNITS_PER_ORGANISATION: u32 = 1_000_000;
/// Microtokens in one token, the cost of one statement.
pub const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;
const MICROTOKENS_PER_MILLITOKEN: u64 = 1_000;
const PICOTOKENS_PER_MICROTOKEN: u128 = 1_000_000;

/// Share units and token bucket of one organisation at this holder.
#[derive(Debug, Clone, Default)]
pub struct Account {
    /// Statements a second over the whole fleet; 0 when the manifest does not declare the organisation.
    rate: u32,
    /// Size of the fleet-wide bucket, in statements.
    burst: u32,
    units: u32,
    /// Microtokens that the traffic threads cannot access.
    unpublished: u64,
    /// Upper bound on the microtokens that the traffic threads can still spend.
    published: u64,
    /// Part of the last refill that is less than one microtoken.
    remainder_picotokens: u128,
    last_refill: Time,
    /// Expiry and microtokens of each outstanding loan, whose capacity in the bucket is reserved until the expiry.
    outstanding_loans: Vec<(Time, u64)>,
}

impl Account {
    /// Share units held.
    pub fn units(&self) -> u32 {
        self.units
    }

    /// Whether the manifest declares the organisation: declared rates are at least 1.
    pub fn is_declared(&self) -> bool {
        self.rate > 0
    }

    /// Published and unpublished microtokens.
    pub fn total_microtokens(&self) -> u64 {
        self.unpublished + self.published
    }

    /// Sets the fleet-wide rate (statements a second) and burst (statements), both 0 for an undeclared organisation.
    pub fn set_limits(&mut self, rate: u32, burst: u32) {
        (self.rate, self.burst) = (rate, burst);
        self.clamp_to_capacity();
    }

    /// Adds the tokens accrued since the last refill and removes expired loans.
    pub fn refill(&mut self, now: Time) {
        self.outstanding_loans.retain(|(until, _)| *until > now);
        let micros = now.saturating_since(self.last_refill).as_micros();
        self.last_refill = self.last_refill.max(now);
        let picotokens = micros * u128::from(self.rate) * u128::from(self.units) + self.remainder_picotokens;
        self.remainder_picotokens = picotokens % PICOTOKENS_PER_MICROTOKEN;
        let tokens = u64::try_from(picotokens / PICOTOKENS_PER_MICROTOKEN).unwrap_or(u64::MAX);
        self.unpublished = self.unpublished.saturating_add(tokens);
        self.clamp_to_capacity();
    }

    /// Settles the published microtokens: `still_published` remain, `withdrawn` were taken back from the traffic
    /// threads, and the difference was spent.
    pub fn settle(&mut self, still_published: u64, withdrawn: u64) {
        assert!(
            still_published + withdrawn <= self.published,
            "the traffic threads reported more tokens than were published"
        );
        self.published = still_published;
        self.unpublished += withdrawn;
        self.clamp_to_capacity();
    }

    /// Publishes all unpublished microtokens and returns how many to add to the level of the traffic threads.
    pub fn publish(&mut self) -> u64 {
        self.published += self.unpublished;
        std::mem::take(&mut self.unpublished)
    }

    /// Largest number of units that can be transferred now. The bucket of the remaining units must hold the published
    /// and the lent tokens.
    pub fn transferable_units(&self) -> u32 {
        if self.burst == 0 {
            return self.units;
        }
        let bound = (self.published + self.lent_tokens()).div_ceil(u64::from(self.burst));
        self.units
            .saturating_sub(u32::try_from(bound).unwrap_or(u32::MAX))
    }

    /// Removes units for a transfer, with a proportional part of the tokens and those that no longer fit into the
    /// remaining bucket. `requested` microtokens may raise that part up to the bucket size of the transferred units.
    /// Returns the tokens in thousandths.
    pub fn take_for_transfer(&mut self, units: u32, requested: u64) -> u64 {
        assert!(
            units <= self.transferable_units(),
            "a transfer exceeds the transferable units"
        );
        let proportional =
            u128::from(self.total_microtokens()) * u128::from(units) / u128::from(self.units.max(1));
        let requested = requested.max(proportional as u64);
        self.units -= units;
        let overflow = self.total_microtokens().saturating_sub(self.capacity());
        let tokens = overflow
            .max(requested.min(u64::from(units) * u64::from(self.burst)))
            .min(self.unpublished);
        self.unpublished -= tokens;
        self.clamp_to_capacity();
        tokens / MICROTOKENS_PER_MILLITOKEN
    }

    /// Adds units with tokens in thousandths. Tokens above the bucket size are discarded.
    pub fn add(&mut self, units: u32, milli_tokens: u64) {
        self.units += units;
        assert!(
            self.units <= UNITS_PER_ORGANISATION,
            "a holder has more units than exist"
        );
        self.unpublished = self
            .unpublished
            .saturating_add(milli_tokens.saturating_mul(MICROTOKENS_PER_MILLITOKEN));
        self.clamp_to_capacity();
    }

    /// Lends up to `requested` microtokens and returns the loan in thousandths of a token. Their capacity in the
    /// bucket stays reserved until `until`: the borrower may hold them that long, and tokens refilled in their place
    /// would raise the burst of the fleet.
    pub fn lend(&mut self, requested: u64, until: Time) -> u64 {
        let millitokens = requested.min(self.unpublished) / MICROTOKENS_PER_MILLITOKEN;
        if millitokens > 0 {
            self.unpublished -= millitokens * MICROTOKENS_PER_MILLITOKEN;
            self.outstanding_loans
                .push((until, millitokens * MICROTOKENS_PER_MILLITOKEN));
        }
        millitokens
    }

    /// Discards all units and unpublished tokens, after the rest of the fleet has reissued them.
    pub fn clear(&mut self) {
        self.units = 0;
        self.unpublished = 0;
    }

    /// Refill rate of the held units, in tokens a second.
    pub fn refill_rate(&self) -> f64 {
        f64::from(self.rate) * f64::from(self.units) / f64::from(UNITS_PER_ORGANISATION)
    }

    /// Units that correspond to a rate. The result may exceed the number of units that exist.
    pub fn units_for_rate(&self, tokens_per_second: f64) -> f64 {
        tokens_per_second / f64::from(self.rate.max(1)) * f64::from(UNITS_PER_ORGANISATION)
    }

    /// Units whose bucket holds this many tokens. The result may exceed the number of units that exist.
    pub fn units_for_burst(&self, tokens: f64) -> f64 {
        tokens / f64::from(self.burst.max(1)) * f64::from(UNITS_PER_ORGANISATION)
    }

    /// Bucket size in microtokens, less outstanding loans.
    fn capacity(&self) -> u64 {
        (u64::from(self.units) * u64::from(self.burst)).saturating_sub(self.lent_tokens())
    }

    fn lent_tokens(&self) -> u64 {
        self.outstanding_loans.iter().map(|(_, tokens)| tokens).sum()
    }

    fn clamp_to_capacity(&mut self) {
        let free_capacity = self.capacity().saturating_sub(self.published);
        if self.unpublished > free_capacity {
            self.unpublished = free_capacity;
            self.remainder_picotokens = 0;
        }
    }
}

/// Time after sending a request during which the borrower may spend the loan, on the borrower's clock.
pub(crate) const LOAN_LIFETIME: Duration = Duration::from_secs(1);
/// Time for which the lender reserves the capacity of a loan. The request was sent before the loan was made, so this
/// covers clocks whose speeds differ by up to a factor of two.
pub(crate) const LOAN_CAPACITY_RESERVATION: Duration = Duration::from_secs(2);
