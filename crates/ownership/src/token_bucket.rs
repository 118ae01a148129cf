//! Token bucket for rate limiting.

use damaskrack_model::ClockTime;

/// A token bucket that refills at a constant rate.
///
/// # Examples
///
/// ```
/// use {damaskrack_model::ClockTime, damaskrack_ownership::TokenBucket};
///
/// let mut bucket = TokenBucket::new(10, 2);
/// assert!(bucket.try_take(ClockTime(0)) && bucket.try_take(ClockTime(0)));
/// assert!(!bucket.try_take(ClockTime(0)));
/// assert!(bucket.try_take(ClockTime(100)));
/// ```
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_s: u64,
    capacity_milli: u64,
    tokens_milli: u64,
    refilled_at: Option<ClockTime>,
}

/// Number of thousandths in one token, the unit in which tokens are counted.
const MILLI: u64 = 1_000;

impl TokenBucket {
    /// Makes a full bucket that refills by `per_s` tokens a second up to `burst` tokens.
    #[must_use]
    pub fn new(per_s: u32, burst: u32) -> Self {
        let capacity_milli = u64::from(burst) * MILLI;
        Self {
            per_s: per_s.into(),
            capacity_milli,
            tokens_milli: capacity_milli,
            refilled_at: None,
        }
    }

    /// Takes a token and returns `true` if one is left.
    pub fn try_take(&mut self, now: ClockTime) -> bool {
        self.refill(now);
        if self.tokens_milli < MILLI {
            return false;
        }
        self.tokens_milli -= MILLI;
        true
    }

    /// Returns the number of whole tokens that are left.
    pub fn tokens(&mut self, now: ClockTime) -> u64 {
        self.refill(now);
        self.tokens_milli / MILLI
    }

    fn refill(&mut self, now: ClockTime) {
        let elapsed_ms = self.refilled_at.map_or(0, |then| now.since(then));
        self.refilled_at = Some(now);
        let gained = elapsed_ms.saturating_mul(self.per_s);
        self.tokens_milli = self.tokens_milli.saturating_add(gained).min(self.capacity_milli);
    }
}
