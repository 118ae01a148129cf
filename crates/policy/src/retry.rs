//! Retry budget and exponential backoff with full jitter.
//!
//! Each first attempt adds a small fraction of a token to the budget and each retry takes a whole
//! token. When everything fails at once, retries therefore add a fixed fraction to the load instead
//! of multiplying it. Full jitter spreads out retries that would otherwise be due together.

/// Thousandths of a token that a first attempt adds.
const DEPOSIT_MILLI: u64 = 100;

/// Thousandths of a token that a retry takes.
const RETRY_COST_MILLI: u64 = 1_000;

/// Most thousandths of a token that are saved. The budget starts full, so that some retries are
/// allowed right after the start.
const MAX_SAVED_MILLI: u64 = 20_000;

/// Upper bound of the backoff before the first retry, in milliseconds.
const BACKOFF_BASE_MS: u64 = 100;

/// Upper bound of the backoff before any retry, in milliseconds.
const BACKOFF_CAP_MS: u64 = 10_000;

/// Most times that the bound is doubled, which keeps the shift from overflowing.
const MAX_DOUBLINGS: u32 = 16;

/// Allows retries in proportion to first attempts.
///
/// # Examples
///
/// ```
/// use damaskrack_policy::RetryBudget;
///
/// let mut budget = RetryBudget::default();
/// let at_start = (0..100).filter(|_| budget.try_withdraw()).count();
/// assert_eq!(at_start, 20);
/// (0..10).for_each(|_| budget.deposit());
/// assert!(budget.try_withdraw());
/// assert!(!budget.try_withdraw());
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved_milli: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved_milli: MAX_SAVED_MILLI }
    }
}

impl RetryBudget {
    /// Adds the share of a first attempt.
    pub fn deposit(&mut self) {
        self.saved_milli = (self.saved_milli + DEPOSIT_MILLI).min(MAX_SAVED_MILLI);
    }

    /// Takes a token for a retry; returns `false` if the retry must not be made now.
    pub fn try_withdraw(&mut self) -> bool {
        match self.saved_milli.checked_sub(RETRY_COST_MILLI) {
            Some(rest) => {
                self.saved_milli = rest;
                true
            }
            None => false,
        }
    }
}

/// Returns how long to wait before retry number `attempt`, from 0, in milliseconds.
///
/// The random number `draw` chooses the wait uniformly between 0 and a bound that doubles with each
/// retry.
///
/// # Examples
///
/// ```
/// use damaskrack_policy::backoff_ms;
///
/// assert!(backoff_ms(0, u64::MAX) <= 100);
/// assert!(backoff_ms(40, u64::MAX) <= 10_000);
/// ```
#[must_use]
pub fn backoff_ms(attempt: u32, draw: u64) -> u64 {
    let bound = (BACKOFF_BASE_MS << attempt.min(MAX_DOUBLINGS)).min(BACKOFF_CAP_MS);
    draw % (bound + 1)
}
