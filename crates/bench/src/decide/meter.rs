//! Records the times of ticks and summarizes them.

use {
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{fmt, time::Duration},
};

/// Upper bound of the histograms, in nanoseconds.
const MAX_RECORDED_NS: u64 = 100_000_000_000;

/// Collects tick times, peer messages and decisions of one run.
#[derive(Debug)]
pub(super) struct TickMeter {
    tick_times: Histogram<u64>,
    decision_times: Histogram<u64>,
    tick_total: Duration,
    decisions: u64,
    messages: u64,
    bytes: u64,
    encoding_total: Duration,
    /// Time at which a node that runs in real time would have processed every tick so far.
    busy_until: Duration,
}

/// Cost of the ticks of one run: a row of the report.
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
    /// Fraction of a core that their encoding takes.
    pub(super) encoding_part: f64,
    pub(super) resident_mb: f64,
}

/// Parameters of a run that its row of the report names.
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
        let histogram =
            || Histogram::new_with_bounds(1, MAX_RECORDED_NS, 3).expect("the bounds are valid");
        Self {
            tick_times: histogram(),
            decision_times: histogram(),
            tick_total: Duration::ZERO,
            decisions: 0,
            messages: 0,
            bytes: 0,
            encoding_total: Duration::ZERO,
            busy_until: Duration::ZERO,
        }
    }

    /// Records a tick at simulated time `at` that took `spent` and made `decisions` decisions.
    ///
    /// The time of a decision counts from the arrival of its request, which waits while the node is
    /// busy with earlier ticks.
    pub(super) fn record_tick(&mut self, at: Duration, spent: Duration, decisions: u64) {
        self.tick_times.saturating_record(to_nanos(spent));
        self.busy_until = self.busy_until.max(at) + spent;
        self.decision_times.saturating_record_n(to_nanos(self.busy_until - at), decisions);
        self.tick_total += spent;
        self.decisions += decisions;
    }

    /// Records a message to a peer with its encoded length and the time of encoding it.
    pub(super) fn record_message(&mut self, bytes: u64, spent: Duration) {
        self.messages += 1;
        self.bytes += bytes;
        self.encoding_total += spent;
    }

    #[allow(clippy::cast_precision_loss)]
    pub(super) fn cost(&self, label: MeterLabel) -> TickCost {
        let us = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        let seconds = label.run_ms as f64 / 1_000.0;
        let total_us = self.tick_total.as_secs_f64() * 1e6;
        let per_decision = if self.decisions == 0 { 0.0 } else { total_us / self.decisions as f64 };
        TickCost {
            side: label.side,
            workers: label.size.workers,
            teams: label.size.teams,
            daemons: label.size.daemons(),
            offered_per_s: label.offered_per_s,
            decisions: self.decisions,
            tick_p50_us: us(&self.tick_times, 0.5),
            tick_p99_us: us(&self.tick_times, 0.99),
            tick_max_us: self.tick_times.max() as f64 / 1_000.0,
            decision_p50_us: us(&self.decision_times, 0.5),
            decision_p99_us: us(&self.decision_times, 0.99),
            us_per_decision: per_decision,
            core_part: self.tick_total.as_secs_f64() / seconds,
            messages_per_s: self.messages as f64 / seconds,
            sent_kb_s: self.bytes as f64 / 1_000.0 / seconds,
            encoding_part: self.encoding_total.as_secs_f64() / seconds,
            resident_mb: label.resident_mb,
        }
    }
}

fn to_nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(MAX_RECORDED_NS).clamp(1, MAX_RECORDED_NS)
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
