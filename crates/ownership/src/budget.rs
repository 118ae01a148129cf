//! Token buckets for anything whose rate is limited.

use damaskrack_model::ClockTime;

/// A token bucket that refills with time.
///
/// # Examples
///
/// ```
/// use {damaskrack_model::ClockTime, damaskrack_ownership::TokenBucket};
///
/// let mut budget = TokenBucket::new(10, 2);
/// assert!(budget.try_take(ClockTime(0)) && budget.try_take(ClockTime(0)));
/// assert!(!budget.try_take(ClockTime(0)));
/// assert!(budget.try_take(ClockTime(100)));
/// ```
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_s: u64,
    capacity_milli: u64,
    tokens_milli: u64,
    refilled: Option<ClockTime>,
}

/// Thousandths of a token in a token.
const MILLI: u64 = 1_000;

impl TokenBucket {
    /// Makes a full bucket that refills by `per_s` tokens a second up to `burst` tokens.
    #[must_use]
    pub fn new(per_s: u32, burst: u32) -> Self {
        let capacity_milli = u64::from(burst) * MILLI;
        Self { per_s: per_s.into(), capacity_milli, tokens_milli: capacity_milli, refilled: None }
    }

    /// Takes a token if there is one.
    pub fn try_take(&mut self, now: ClockTime) -> bool {
        self.refill(now);
        if self.tokens_milli < MILLI {
            return false;
        }
        self.tokens_milli -= MILLI;
        true
    }

    /// Returns the whole tokens that are left.
    pub fn tokens(&mut self, now: ClockTime) -> u64 {
        self.refill(now);
        self.tokens_milli / MILLI
    }

    fn refill(&mut self, now: ClockTime) {
        let elapsed_ms = self.refilled.map_or(0, |then| now.since(then));
        self.refilled = Some(now);
        let gained = elapsed_ms.saturating_mul(self.per_s);
        self.tokens_milli = self.tokens_milli.saturating_add(gained).min(self.capacity_milli);
    }
}
