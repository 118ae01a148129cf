//! The request window: how many start and stop requests may be in flight at a time.
//!
//! A narrow network link, a slow host or slow workers delay every response. Requests that time out
//! cost as much as those that succeed, and each is followed by a stop request and another start, so
//! a leader that sends at the rate of its backlog loses all of its throughput. The window therefore
//! follows the responses, as a sender of a network protocol follows its acknowledgements: it grows
//! while responses are fast, shrinks when they take much longer than the fastest ones, and halves
//! when most requests get no response. A few unresponsive workers do not shrink it. Stop requests
//! come first, because they free capacity.

/// Window before the first response, in requests.
const INITIAL_REQUESTS: f64 = 16.0;
/// Smallest window, in requests. Delays that do not depend on the window cannot shrink it further.
const MIN_REQUESTS: f64 = 8.0;
/// Largest window, in requests.
const MAX_REQUESTS: f64 = 1_024.0;
/// Queueing delay above which the window shrinks, in milliseconds. Well below the timeout of a
/// request, so that lease renewals, which share the link, do not time out.
const MAX_DELAY_MS: f64 = 120.0;
/// Response time up to which a link is not congested, in milliseconds. The fastest response counts
/// as at most this long, because the first ones may be delayed already.
const MAX_FASTEST_MS: f64 = 60.0;
/// Factor by which the window shrinks when responses are slow.
const DELAY_FACTOR: f64 = 0.7;
/// Factor by which the window shrinks when most requests get no response.
const LOSS_FACTOR: f64 = 0.5;
/// Share of requests without a response from which the window shrinks.
const MAX_LOSS_SHARE: f64 = 0.5;
/// Number of finished requests over which this share is taken.
const LOSS_SAMPLES: u32 = 16;
/// Weight of a new sample in the smoothed response time.
const SMOOTHING: f64 = 0.125;
/// Time for which the fastest response counts, in milliseconds; at most twice as long.
const BASE_INTERVAL_MS: u64 = 10_000;
/// Number of planned attempts for each request in the window: one in flight, and one whose row is
/// being written.
const PLANNED_PER_REQUEST: f64 = 2.0;
/// Interval over which the rate of confirmed requests is measured, in milliseconds.
const RATE_INTERVAL_MS: u64 = 1_000;
/// Time after which a window that was not full again no longer limits the starts, in milliseconds.
const FULL_GAP_MS: u64 = 250;

/// Outcome of a request, as far as the window is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// The worker responded to the request sent at this time, in milliseconds.
    Responded {
        /// Time at which it was sent.
        sent_ms: u64,
    },
    /// There was no response.
    Unanswered,
    /// The worker responded, but the attempt had been given up before.
    Outdated,
}

impl RequestEnd {
    /// Classifies the outcome of a request; `sent_ms` is unknown if the attempt was given up.
    pub(super) fn of(is_answered: bool, sent_ms: Option<u64>) -> Self {
        match (is_answered, sent_ms) {
            (false, _) => Self::Unanswered,
            (true, Some(sent_ms)) => Self::Responded { sent_ms },
            (true, None) => Self::Outdated,
        }
    }
}

/// A time for which the window has been full.
#[derive(Debug, Clone, Copy)]
struct FullPeriod {
    since_ms: u64,
    last_ms: u64,
}

/// The window of requests in flight.
#[derive(Debug)]
pub(super) struct RequestWindow {
    requests: f64,
    in_flight: usize,
    /// The window has not shrunk yet, so it grows fast.
    is_probing: bool,
    smoothed_ms: Option<f64>,
    /// Fastest response in the current and in the former interval, in milliseconds.
    fastest_ms: [Option<f64>; 2],
    fastest_since_ms: u64,
    next_cut_ms: u64,
    finished: u32,
    unanswered: u32,
    /// Since when the window has been full, with short gaps, and when it last was.
    full: Option<FullPeriod>,
    /// Responses since the start of the current interval.
    responded: u64,
    rate_since_ms: u64,
    /// Rate of responses over the last interval in which the window was full all the time.
    rate_per_s: Option<f64>,
}

impl Default for RequestWindow {
    fn default() -> Self {
        Self {
            requests: INITIAL_REQUESTS,
            in_flight: 0,
            is_probing: true,
            smoothed_ms: None,
            fastest_ms: [None; 2],
            fastest_since_ms: 0,
            next_cut_ms: 0,
            finished: 0,
            unanswered: 0,
            full: None,
            responded: 0,
            rate_since_ms: 0,
            rate_per_s: None,
        }
    }
}

impl RequestWindow {
    /// Reserves space for a request; `false` if the window is full.
    pub(super) fn try_send(&mut self, now_ms: u64) -> bool {
        if self.in_flight as f64 >= self.requests {
            self.record_full(now_ms);
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Takes space for a request that cannot wait, even if the window is full.
    pub(super) fn send(&mut self) {
        self.in_flight += 1;
    }

    /// Releases the space of a request that was not sent.
    pub(super) fn cancel(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns how many attempts may be planned while `planned` ones have not been sent yet.
    pub(super) fn planning_budget(&mut self, planned: usize, now_ms: u64) -> usize {
        let used = planned + self.in_flight;
        // The window is at most a few thousand requests.
        let budget = ((self.requests * PLANNED_PER_REQUEST) as usize).saturating_sub(used);
        if budget == 0 {
            self.record_full(now_ms);
        }
        budget
    }

    /// Records that a request has finished.
    pub(super) fn finish(&mut self, end: RequestEnd, now_ms: u64) {
        let was_used = self.in_flight as f64 * 2.0 >= self.requests;
        self.in_flight = self.in_flight.saturating_sub(1);
        self.finished += 1;
        match end {
            RequestEnd::Responded { sent_ms } => {
                self.record_response(now_ms, now_ms.saturating_sub(sent_ms) as f64, was_used);
            }
            RequestEnd::Unanswered => {
                self.unanswered += 1;
                // Responses are slow already, so the request was late rather than lost.
                if self.is_delayed() {
                    self.shrink(DELAY_FACTOR, now_ms);
                }
            }
            RequestEnd::Outdated => {}
        }
        if self.finished >= LOSS_SAMPLES {
            let share = f64::from(self.unanswered) / f64::from(self.finished);
            (self.finished, self.unanswered) = (0, 0);
            if share >= MAX_LOSS_SHARE {
                self.shrink(LOSS_FACTOR, now_ms);
            }
        }
    }

    /// Returns by how much responses are slower than the fastest ones, in milliseconds.
    pub(super) fn delay_ms(&self) -> f64 {
        (self.smoothed_ms.unwrap_or(0.0) - self.base_ms()).max(0.0)
    }

    /// Returns how long responses take without a queue, in milliseconds.
    fn base_ms(&self) -> f64 {
        self.fastest_ms.iter().flatten().copied().fold(MAX_FASTEST_MS, f64::min)
    }

    /// Returns whether responses are slow.
    pub(super) fn is_delayed(&self) -> bool {
        self.delay_ms() > MAX_DELAY_MS / 2.0
    }

    /// Returns the rate of responses while the window limits the starts, in requests per second;
    /// `None` while it does not, or has not for long enough to tell.
    pub(super) fn limited_rate(&self, now_ms: u64) -> Option<f64> {
        let is_limiting = self.full.is_some_and(|full| now_ms <= full.last_ms + FULL_GAP_MS);
        self.rate_per_s.filter(|_| is_limiting).map(|rate| rate.max(1.0))
    }

    /// Returns the size of the window, in requests.
    pub(super) fn size(&self) -> usize {
        // The window is at most a few thousand requests.
        self.requests as usize
    }

    fn record_response(&mut self, now_ms: u64, took_ms: f64, was_used: bool) {
        self.record_rate(now_ms);
        if now_ms >= self.fastest_since_ms + BASE_INTERVAL_MS {
            self.fastest_since_ms = now_ms;
            self.fastest_ms = [None, self.fastest_ms[0]];
        }
        self.fastest_ms[0] = Some(self.fastest_ms[0].map_or(took_ms, |ms| ms.min(took_ms)));
        let smoothed_ms = self.smoothed_ms.unwrap_or(took_ms);
        self.smoothed_ms = Some(smoothed_ms + (took_ms - smoothed_ms) * SMOOTHING);
        if self.delay_ms() > MAX_DELAY_MS {
            self.shrink(DELAY_FACTOR, now_ms);
        } else if was_used && took_ms <= self.base_ms() + MAX_DELAY_MS / 2.0 {
            let step = if self.is_probing { 1.0 } else { 1.0 / self.requests };
            self.requests = (self.requests + step).min(MAX_REQUESTS);
        }
    }

    fn record_full(&mut self, now_ms: u64) {
        let since_ms = match self.full {
            Some(full) if now_ms <= full.last_ms + FULL_GAP_MS => full.since_ms,
            _ => {
                self.rate_per_s = None;
                now_ms
            }
        };
        self.full = Some(FullPeriod { since_ms, last_ms: now_ms });
    }

    fn record_rate(&mut self, now_ms: u64) {
        self.responded += 1;
        let elapsed_ms = now_ms.saturating_sub(self.rate_since_ms);
        if elapsed_ms < RATE_INTERVAL_MS {
            return;
        }
        let was_full = self.full.is_some_and(|full| {
            full.since_ms <= self.rate_since_ms && now_ms <= full.last_ms + FULL_GAP_MS
        });
        if was_full {
            self.rate_per_s = Some(self.responded as f64 * 1_000.0 / elapsed_ms as f64);
        }
        self.responded = 0;
        self.rate_since_ms = now_ms;
    }

    /// Shrinks the window, at most once per response time.
    fn shrink(&mut self, factor: f64, now_ms: u64) {
        self.is_probing = false;
        if now_ms < self.next_cut_ms {
            return;
        }
        self.requests = (self.requests * factor).max(MIN_REQUESTS);
        // A float-to-integer cast saturates.
        self.next_cut_ms = now_ms + self.smoothed_ms.unwrap_or(MAX_DELAY_MS) as u64;
    }
}
