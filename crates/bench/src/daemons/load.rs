//! Open-loop load.

use {
    super::{
        cell::{DaemonCell, TEAMS},
        client::{CallEnd, CellClient},
        usage::{UsageFigures, UsageMark},
    },
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tokio::{sync::mpsc, time::sleep_until},
};

/// Time that a caller waits for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Longest latency that is told apart, in microseconds.
const MAX_US: u64 = 60_000_000;

/// A request that has ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndedCall {
    pub(super) team: usize,
    /// When it was due, from the start of the load.
    pub(super) due: Duration,
    /// When it ended, from the start of the load.
    pub(super) ended: Duration,
    pub(super) end: CallEnd,
}

/// What one load amounted to.
#[derive(Debug, Clone, Serialize)]
pub(super) struct LoadFigures {
    pub(super) offered_per_s: u64,
    pub(super) sent: u64,
    pub(super) ends: BTreeMap<CallEnd, u64>,
    /// Requests done within the time of the load, per second.
    pub(super) goodput_per_s: f64,
    pub(super) p50_ms: f64,
    pub(super) p99_ms: f64,
    pub(super) max_ms: f64,
    pub(super) usage: UsageFigures,
}

/// Sends requests at a fixed rate and returns how each ended.
pub(super) async fn send(client: &CellClient, rate: u64, length: Duration) -> Vec<EndedCall> {
    let started = Instant::now();
    let count = rate * length.as_millis() as u64 / 1_000;
    let (sender, mut receiver) = mpsc::unbounded_channel();
    for serial in 0..count {
        let due = Duration::from_nanos(serial * 1_000_000_000 / rate.max(1));
        sleep_until((started + due).into()).await;
        let (client, sender) = (client.clone(), sender.clone());
        tokio::spawn(async move {
            let team = usize::try_from(serial).unwrap_or(0) % TEAMS;
            let end = client.request(team, CALL_LIMIT).await;
            let _ = sender.send(EndedCall { team, due, ended: started.elapsed(), end });
        });
    }
    drop(sender);
    let mut calls = Vec::with_capacity(usize::try_from(count).unwrap_or(0));
    while let Some(call) = receiver.recv().await {
        calls.push(call);
    }
    calls
}

/// Measures one load.
#[allow(clippy::cast_precision_loss)]
pub(super) async fn run(cell: &DaemonCell, rate: u64, length: Duration) -> LoadFigures {
    let mark = UsageMark::take(cell);
    let calls = send(&cell.client, rate, length).await;
    let usage = mark.until_now(cell);
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_US, 3).expect("valid bounds");
    let mut ends = BTreeMap::new();
    let mut in_time = 0_u64;
    for call in &calls {
        *ends.entry(call.end).or_insert(0) += 1;
        if call.end == CallEnd::Done {
            let micros = call.ended.saturating_sub(call.due).as_micros();
            histogram.saturating_record(u64::try_from(micros).unwrap_or(MAX_US));
            in_time += u64::from(call.ended <= length);
        }
    }
    let ms = |micros: u64| micros as f64 / 1_000.0;
    LoadFigures {
        offered_per_s: rate,
        sent: calls.len() as u64,
        ends,
        goodput_per_s: in_time as f64 / length.as_secs_f64(),
        p50_ms: ms(histogram.value_at_quantile(0.5)),
        p99_ms: ms(histogram.value_at_quantile(0.99)),
        max_ms: ms(histogram.max()),
        usage,
    }
}
