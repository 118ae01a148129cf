//! Times of ticks and what they amount to.

use {
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{fmt, time::Duration},
};

/// Longest time that is told apart, in nanoseconds.
const MAX_NS: u64 = 100_000_000_000;

/// Times of one kind of tick.
#[derive(Debug)]
pub(super) struct TickMeter {
    all: Histogram<u64>,
    busy: Histogram<u64>,
    total: Duration,
    decisions: u64,
    messages: u64,
    bytes: u64,
    encoding: Duration,
    /// When the node is done with everything so far, were it to run in real time.
    free_at: Duration,
}

/// What one run of ticks cost.
#[derive(Debug, Clone, Serialize)]
pub(super) struct TickCost {
    pub(super) side: &'static str,
    pub(super) workers: usize,
    pub(super) teams: usize,
    pub(super) daemons: usize,
    pub(super) offered_per_s: u64,
    pub(super) decisions: u64,
    pub(super) tick_p50_us: f64,
    pub(super) tick_p99_us: f64,
    pub(super) tick_max_us: f64,
    pub(super) decision_p50_us: f64,
    pub(super) decision_p99_us: f64,
    pub(super) us_per_decision: f64,
    pub(super) core_part: f64,
    pub(super) messages_per_s: f64,
    /// Kilobytes a second sent to peers, encoded and framed.
    pub(super) sent_kb_s: f64,
    /// Part of a core that encoding them takes.
    pub(super) encoding_part: f64,
    pub(super) resident_mb: f64,
}

/// What a run is about.
#[derive(Debug, Clone, Copy)]
pub(super) struct MeterLabel {
    pub(super) side: &'static str,
    pub(super) size: super::cell::CellSize,
    pub(super) offered_per_s: u64,
    pub(super) run_ms: u64,
    pub(super) resident_mb: f64,
}

impl TickMeter {
    pub(super) fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_NS, 3).expect("the bounds are valid");
        Self {
            all: histogram(),
            busy: histogram(),
            total: Duration::ZERO,
            decisions: 0,
            messages: 0,
            bytes: 0,
            encoding: Duration::ZERO,
            free_at: Duration::ZERO,
        }
    }

    /// Adds a tick for what arrived at a moment of simulated time, with so many decisions.
    ///
    /// A decision's time counts from its arrival: what arrives while the node is busy waits.
    pub(super) fn add(&mut self, at: Duration, spent: Duration, decisions: u64) {
        self.all.saturating_record(to_nanos(spent));
        self.free_at = self.free_at.max(at) + spent;
        self.busy.saturating_record_n(to_nanos(self.free_at - at), decisions);
        self.total += spent;
        self.decisions += decisions;
    }

    /// Adds a message to a peer with its encoded length and the time of encoding it.
    pub(super) fn add_message(&mut self, bytes: u64, spent: Duration) {
        self.messages += 1;
        self.bytes += bytes;
        self.encoding += spent;
    }

    #[allow(clippy::cast_precision_loss)]
    pub(super) fn cost(&self, label: MeterLabel) -> TickCost {
        let us = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        let seconds = label.run_ms as f64 / 1_000.0;
        let total_us = self.total.as_secs_f64() * 1e6;
        let per_decision = if self.decisions == 0 { 0.0 } else { total_us / self.decisions as f64 };
        TickCost {
            side: label.side,
            workers: label.size.workers,
            teams: label.size.teams,
            daemons: label.size.daemons(),
            offered_per_s: label.offered_per_s,
            decisions: self.decisions,
            tick_p50_us: us(&self.all, 0.5),
            tick_p99_us: us(&self.all, 0.99),
            tick_max_us: self.all.max() as f64 / 1_000.0,
            decision_p50_us: us(&self.busy, 0.5),
            decision_p99_us: us(&self.busy, 0.99),
            us_per_decision: per_decision,
            core_part: self.total.as_secs_f64() / seconds,
            messages_per_s: self.messages as f64 / seconds,
            sent_kb_s: self.bytes as f64 / 1_000.0 / seconds,
            encoding_part: self.encoding.as_secs_f64() / seconds,
            resident_mb: label.resident_mb,
        }
    }
}

fn to_nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(MAX_NS).clamp(1, MAX_NS)
}

impl TickCost {
    pub(super) const HEADING: &'static str = "side   workers teams daemons offered/s decisions tick-p50 tick-p99 tick-max dec-p50 dec-p99 us/dec   core msgs/s    KB/s  enc.     MB\n";
}

impl fmt::Display for TickCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<6} {:>7} {:>5} {:>7} {:>9} {:>9} {:>8.0} {:>8.0} {:>8.0} {:>7.0} {:>7.0} {:>6.1} {:>6.3} {:>6.0} {:>7.1} {:>5.3} {:>6.1}",
            self.side,
            self.workers,
            self.teams,
            self.daemons,
            self.offered_per_s,
            self.decisions,
            self.tick_p50_us,
            self.tick_p99_us,
            self.tick_max_us,
            self.decision_p50_us,
            self.decision_p99_us,
            self.us_per_decision,
            self.core_part,
            self.messages_per_s,
            self.sent_kb_s,
            self.encoding_part,
            self.resident_mb
        )
    }
}

/// Returns the resident memory of this process, in megabytes.
pub(super) fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1_024.0
}
