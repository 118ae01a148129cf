//! A token bucket that limits the rate of calls.
//!
//! The platform's store serves a fixed rate and refuses further calls immediately. The stand-in
//! therefore refuses calls instead of queueing them, so that tests detect a client that sends too
//! many.

/// Cost of a call in millitokens; whole tokens would round slow refills down to nothing.
const MILLITOKENS_PER_CALL: u64 = 1_000;

/// A token bucket that holds the calls of at most one second.
///
/// # Examples
///
/// ```
/// use damaskrack_standin::RateLimit;
///
/// let mut limit = RateLimit::new(2);
/// assert!(limit.take(0) && limit.take(0));
/// assert!(!limit.take(0));
/// assert!(limit.take(500));
/// ```
#[derive(Debug, Clone)]
pub struct RateLimit {
    per_second: u32,
    millitokens: u64,
    filled_ms: u64,
}

impl RateLimit {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self { per_second, millitokens: Self::size(per_second), filled_ms: 0 }
    }

    /// Takes the tokens of one call. Returns whether there were enough.
    pub fn take(&mut self, now_ms: u64) -> bool {
        self.refill(now_ms);
        match self.millitokens.checked_sub(MILLITOKENS_PER_CALL) {
            Some(rest) => {
                self.millitokens = rest;
                true
            }
            None => false,
        }
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms);
        let gained = elapsed_ms.saturating_mul(u64::from(self.per_second));
        self.millitokens = self.millitokens.saturating_add(gained).min(Self::size(self.per_second));
        self.filled_ms = self.filled_ms.max(now_ms);
    }

    fn size(per_second: u32) -> u64 {
        u64::from(per_second.max(1)) * MILLITOKENS_PER_CALL
    }
}
