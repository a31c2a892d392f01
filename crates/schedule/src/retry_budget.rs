//! Bound on repeated requests.

const TENTHS_PER_RETRY: u32 = 10;
/// Lets a database with little traffic repeat a request, and bounds how many repeats a quiet time can save up.
const MAX_TENTHS: u32 = 100;

/// Allows one retry for every ten requests, plus a reserve of ten, so that retries never multiply an overload.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tenths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tenths: MAX_TENTHS }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.tenths = (self.tenths + 1).min(MAX_TENTHS);
    }

    /// Takes one retry from the budget. `false` when it is used up, and the error goes to the caller.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.tenths >= TENTHS_PER_RETRY;
        if allowed {
            self.tenths -= TENTHS_PER_RETRY;
        }
        allowed
    }
}
