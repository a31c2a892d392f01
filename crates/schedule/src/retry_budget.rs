//! Limit on retries in proportion to requests.

use wasabiyard_model::PriorityClass;

/// Cost of one retry, in tenths. Each first attempt deposits one tenth.
const TENTHS_PER_RETRY: u32 = 10;
/// Initial and maximum balance: ten retries. The initial balance lets a database with little traffic retry, and the
/// maximum limits how many retries accumulate while there are no failures.
const MAX_BALANCE_TENTHS: u32 = 100;

/// Balance that a class leaves for each more urgent one: three retries, so that the third class still has some of a full
/// budget.
const RESERVE_TENTHS_PER_RANK: u32 = 30;

/// Allows one retry for every ten requests, plus a reserve of ten, so that retries cannot amplify an overload.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance_tenths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_tenths: MAX_BALANCE_TENTHS,
        }
    }
}

impl RetryBudget {
    /// Adds the tenth of a retry that a first attempt earns.
    pub fn deposit(&mut self) {
        self.balance_tenths = (self.balance_tenths + 1).min(MAX_BALANCE_TENTHS);
    }

    /// Withdraws one retry for a class, which leaves a part of the budget to more urgent ones. The least urgent classes may
    /// retry only from a full budget.
    pub fn try_withdraw_for(&mut self, class: PriorityClass) -> bool {
        let reserve = RESERVE_TENTHS_PER_RANK * class.rank() as u32;
        let reserve = reserve.min(MAX_BALANCE_TENTHS - TENTHS_PER_RETRY);
        self.balance_tenths >= reserve + TENTHS_PER_RETRY && self.try_withdraw()
    }

    /// Withdraws one retry. When it returns `false`, the budget is exhausted and the error goes to the caller.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.balance_tenths >= TENTHS_PER_RETRY;
        if allowed {
            self.balance_tenths -= TENTHS_PER_RETRY;
        }
        allowed
    }
}
