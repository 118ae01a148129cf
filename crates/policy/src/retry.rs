//! Limits on repeated tries.
//!
//! Retries are paid for by fresh work: each fresh piece of work adds a small fraction of a token
//! and each retry takes a whole one. When everything fails at once, retries therefore add a fixed
//! fraction to the load rather than multiply it. Full jitter spreads those that are due together.

/// Tokens that a piece of fresh work adds, in thousandths.
const FRESH_GAIN_MILLI: u64 = 100;

/// Thousandths of a token that a retry takes.
const RETRY_COST_MILLI: u64 = 1_000;

/// Most tokens that are saved up, in thousandths; a quiet start still allows some retries.
const MAX_SAVED_MILLI: u64 = 20_000;

/// Longest backoff before the first retry, in milliseconds.
const BACKOFF_BASE_MS: u64 = 100;

/// Longest backoff of all, in milliseconds.
const BACKOFF_CAP_MS: u64 = 10_000;

/// Most doublings of the backoff.
const MAX_DOUBLINGS: u32 = 16;

/// Allows retries in proportion to fresh work.
///
/// # Examples
///
/// ```
/// use damaskrack_policy::RetryBudget;
///
/// let mut budget = RetryBudget::default();
/// let at_start = (0..100).filter(|_| budget.try_retry()).count();
/// assert_eq!(at_start, 20);
/// (0..10).for_each(|_| budget.add_fresh());
/// assert!(budget.try_retry());
/// assert!(!budget.try_retry());
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
    /// Counts a piece of fresh work.
    pub fn add_fresh(&mut self) {
        self.saved_milli = (self.saved_milli + FRESH_GAIN_MILLI).min(MAX_SAVED_MILLI);
    }

    /// Pays for a retry; `false` if it must not be made now.
    pub fn try_retry(&mut self) -> bool {
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
/// The wait is drawn uniformly between 0 and a bound that doubles with each retry.
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
