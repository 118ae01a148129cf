//! Measures processor time, memory, network traffic and store calls of the daemons.

use {
    super::cell::{DaemonCell, DaemonPorts},
    damaskrack_standin::StoreStats,
    serde::Serialize,
    std::{
        collections::HashMap,
        fs,
        process::Command,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Clock ticks a second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Resource usage of the daemons over an interval.
#[derive(Debug, Clone, Serialize)]
pub(super) struct UsageFigures {
    pub(super) seconds: f64,
    /// Fraction of a core that a daemon used, averaged over the daemons.
    pub(super) core_mean: f64,
    /// Fraction of a core of the daemon that used the most.
    pub(super) core_max: f64,
    /// Fraction of a core that this process used for the callers, the store and the workers.
    pub(super) bench_core: f64,
    /// Largest resident size of a daemon, in megabytes.
    pub(super) resident_max_mb: f64,
    /// Kilobytes a second that a daemon sent on average, on long-lived connections;
    /// `None` if the counters could not be read.
    pub(super) sent_kb_s: Option<f64>,
    /// Kilobytes a second that a daemon received on average, with the same limits.
    pub(super) received_kb_s: Option<f64>,
    /// Store writes a second of all daemons together.
    pub(super) store_writes_s: f64,
    /// Store reads a second of all daemons together, watches included.
    pub(super) store_reads_s: f64,
    /// Watches a second of all daemons together.
    pub(super) store_watches_s: f64,
    /// Store calls that were refused.
    pub(super) store_refused: u64,
}

/// Usage counters at one time.
#[derive(Debug)]
pub(super) struct UsageSnapshot {
    captured_at: Instant,
    ticks: Vec<Option<u64>>,
    own_ticks: u64,
    bytes: Option<HashMap<u32, (u64, u64)>>,
    store: StoreStats,
}

/// Measures the usage of an idle cell.
pub(super) async fn measure_idle(cell: &DaemonCell, duration: Duration) -> UsageFigures {
    let snapshot = UsageSnapshot::capture(cell);
    sleep(duration).await;
    snapshot.usage_until_now(cell)
}

impl UsageSnapshot {
    /// Reads the counters.
    pub(super) fn capture(cell: &DaemonCell) -> Self {
        Self {
            captured_at: Instant::now(),
            ticks: (0..cell.daemons()).map(|index| read_ticks(cell.process_id(index)?)).collect(),
            own_ticks: read_ticks(std::process::id()).unwrap_or(0),
            bytes: read_bytes(cell),
            store: cell.platform.store_stats(),
        }
    }

    /// Returns the usage since the snapshot was taken.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn usage_until_now(&self, cell: &DaemonCell) -> UsageFigures {
        let now = Self::capture(cell);
        let seconds = (now.captured_at - self.captured_at).as_secs_f64();
        let tick_pairs = self.ticks.iter().zip(&now.ticks);
        let cores: Vec<f64> = tick_pairs
            .filter_map(|(before, after)| Some(after.as_ref()?.saturating_sub((*before)?)))
            .map(|ticks| ticks as f64 / TICKS_PER_S / seconds)
            .collect();
        let resident = (0..cell.daemons())
            .filter_map(|index| resident_mb(cell.process_id(index)?))
            .fold(0.0, f64::max);
        let (sent, received) = self.bytes_since(&now, cell, seconds);
        let per_s = |before: u64, after: u64| (after - before) as f64 / seconds;
        UsageFigures {
            seconds,
            core_mean: cores.iter().sum::<f64>() / cores.len().max(1) as f64,
            core_max: cores.iter().copied().fold(0.0, f64::max),
            bench_core: (now.own_ticks - self.own_ticks) as f64 / TICKS_PER_S / seconds,
            resident_max_mb: resident,
            sent_kb_s: sent,
            received_kb_s: received,
            store_writes_s: per_s(self.store.writes(), now.store.writes()),
            store_reads_s: per_s(self.store.reads(), now.store.reads()),
            store_watches_s: per_s(self.store.watch, now.store.watch),
            store_refused: now.store.refused - self.store.refused,
        }
    }

    #[allow(clippy::cast_precision_loss)]
    /// Returns the kilobytes a second sent and received by a daemon on average.
    fn bytes_since(
        &self,
        now: &Self,
        cell: &DaemonCell,
        seconds: f64,
    ) -> (Option<f64>, Option<f64>) {
        let (Some(before), Some(after)) = (&self.bytes, &now.bytes) else { return (None, None) };
        let count = cell.daemons().max(1) as f64;
        let sum = |part: fn(&(u64, u64)) -> u64| {
            let increases = after
                .iter()
                .map(|(id, row)| part(row).saturating_sub(before.get(id).map_or(0, part)));
            increases.sum::<u64>() as f64 / 1_000.0 / seconds / count
        };
        (Some(sum(|row| row.0)), Some(sum(|row| row.1)))
    }
}

/// Reads the user and system time of a process, in clock ticks.
fn read_ticks(id: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
}

/// Reads the resident memory of a process, in megabytes.
fn resident_mb(id: u32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    Some(line.split_whitespace().next()?.parse::<f64>().ok()? / 1_024.0)
}

/// Reads with `ss` the bytes sent and received on the open connections of each daemon, by process id.
fn read_bytes(cell: &DaemonCell) -> Option<HashMap<u32, (u64, u64)>> {
    let addresses = cell.platform.addresses();
    let daemons = cell.ports.iter().flat_map(DaemonPorts::addresses);
    let workers = addresses.workers.iter().map(|row| row.address);
    let others = addresses.store.into_iter().chain(addresses.hosts);
    let ports = daemons.chain(workers).chain(others).map(|address| address.port());
    let clauses: Vec<String> =
        ports.map(|port| format!("sport = :{port} or dport = :{port}")).collect();
    let output = Command::new("ss").args(["-tinpHO", &clauses.join(" or ")]).output().ok()?;
    let own: Vec<u32> = (0..cell.daemons()).filter_map(|index| cell.process_id(index)).collect();
    let mut bytes: HashMap<u32, (u64, u64)> = HashMap::new();
    for line in String::from_utf8_lossy(&output.stdout).lines() {
        let Some(id) = number_after(line, "pid=").and_then(|id| u32::try_from(id).ok()) else {
            continue;
        };
        if own.contains(&id) {
            let row = bytes.entry(id).or_default();
            row.0 += number_after(line, "bytes_sent:").unwrap_or(0);
            row.1 += number_after(line, "bytes_received:").unwrap_or(0);
        }
    }
    (!bytes.is_empty()).then_some(bytes)
}

fn number_after(line: &str, label: &str) -> Option<u64> {
    let rest = line.split_once(label)?.1;
    let digits = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..digits].parse().ok()
}
