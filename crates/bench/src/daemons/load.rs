//! Open-loop load generator.

use {
    super::{
        cell::{DaemonCell, TEAMS},
        client::{CallOutcome, CellClient},
        usage::{UsageFigures, UsageSnapshot},
    },
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tokio::{sync::mpsc, time::sleep_until},
};

/// Time that a caller waits for a response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Upper bound of the latency histogram, in microseconds.
const MAX_RECORDED_US: u64 = 60_000_000;

/// A request with its outcome.
#[derive(Debug, Clone, Copy)]
pub(super) struct FinishedCall {
    pub(super) team: usize,
    /// Scheduled send time, from the start of the load.
    pub(super) due: Duration,
    /// Time of its outcome, from the start of the load.
    pub(super) ended: Duration,
    pub(super) outcome: CallOutcome,
}

/// Results of one load.
#[derive(Debug, Clone, Serialize)]
pub(super) struct LoadFigures {
    pub(super) offered_per_s: u64,
    pub(super) sent: u64,
    pub(super) ends: BTreeMap<CallOutcome, u64>,
    /// Requests done before the end of the load, per second of the load.
    pub(super) goodput_per_s: f64,
    pub(super) p50_ms: f64,
    pub(super) p99_ms: f64,
    pub(super) max_ms: f64,
    pub(super) usage: UsageFigures,
}

/// Sends requests at a fixed rate and returns all with their outcomes.
pub(super) async fn send(client: &CellClient, rate: u64, duration: Duration) -> Vec<FinishedCall> {
    let started = Instant::now();
    let count = rate * duration.as_millis() as u64 / 1_000;
    let (sender, mut receiver) = mpsc::unbounded_channel();
    for serial in 0..count {
        let due = Duration::from_nanos(serial * 1_000_000_000 / rate.max(1));
        sleep_until((started + due).into()).await;
        let (client, sender) = (client.clone(), sender.clone());
        tokio::spawn(async move {
            let team = usize::try_from(serial).unwrap_or(0) % TEAMS;
            let outcome = client.request(team, REQUEST_TIMEOUT).await;
            let _ = sender.send(FinishedCall { team, due, ended: started.elapsed(), outcome });
        });
    }
    drop(sender);
    let mut calls = Vec::with_capacity(usize::try_from(count).unwrap_or(0));
    while let Some(call) = receiver.recv().await {
        calls.push(call);
    }
    calls
}

/// Runs one load and measures latency, goodput and usage.
#[allow(clippy::cast_precision_loss)]
pub(super) async fn run(cell: &DaemonCell, rate: u64, duration: Duration) -> LoadFigures {
    let snapshot = UsageSnapshot::capture(cell);
    let calls = send(&cell.client, rate, duration).await;
    let usage = snapshot.usage_until_now(cell);
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_US, 3).expect("valid bounds");
    let mut ends = BTreeMap::new();
    let mut in_time = 0_u64;
    for call in &calls {
        *ends.entry(call.outcome).or_insert(0) += 1;
        if call.outcome == CallOutcome::Done {
            let micros = call.ended.saturating_sub(call.due).as_micros();
            histogram.saturating_record(u64::try_from(micros).unwrap_or(MAX_RECORDED_US));
            in_time += u64::from(call.ended <= duration);
        }
    }
    let ms = |micros: u64| micros as f64 / 1_000.0;
    LoadFigures {
        offered_per_s: rate,
        sent: calls.len() as u64,
        ends,
        goodput_per_s: in_time as f64 / duration.as_secs_f64(),
        p50_ms: ms(histogram.value_at_quantile(0.5)),
        p99_ms: ms(histogram.value_at_quantile(0.99)),
        max_ms: ms(histogram.max()),
        usage,
    }
}
