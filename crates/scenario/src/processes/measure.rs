//! Measures the resource usage and latency of a cell of real daemons.
//!
//! Callers, stand-ins and daemons share the machine, so the figures are a lower bound of what a
//! daemon achieves on a dedicated host.

use {
    super::{
        ProcessOptions,
        caller::request_body,
        client::{ApiCall, ApiClient, CallOutcome},
        world::ProcessWorld,
    },
    crate::script::{FaultTarget, ManifestEdit, ScenarioScript},
    anyhow::Context,
    damaskrack_model::{OutcomeKind, WorkAnswer},
    http::Method,
    serde::Serialize,
    std::{
        fs,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
};

/// Cell of the size of one user's deployment: about 50 workers of 8 slots, 8 to a rack.
const CELL: &str = "cell nodes=3 zones=3 racks=6 workers-per-rack=8
team harbour share=1 tasks=10000
key harbour-key team=harbour
queue checks team=harbour
run 1m
processes
";

/// Team whose owner is called directly and through another daemon.
const TEAM_PIECE: &str = "team/harbour";

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Page size in bytes, the unit of `/proc/PID/statm`.
const PAGE_BYTES: u64 = 4_096;

/// Time for the cell to start and its load to settle.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Duration of the idle measurement and of each measurement under load.
const MEASURE_TIME: Duration = Duration::from_secs(8);

/// Number of sequential requests to each measured daemon.
const SEQUENTIAL_REQUESTS: usize = 60;

/// Pause between sequential requests, so that none waits for pending reports of the one before.
const SEQUENTIAL_REQUEST_INTERVAL: Duration = Duration::from_millis(120);

/// Run time of the tasks, in milliseconds.
const TASK_RUN_MS: u64 = 1;

/// Resource usage of the daemons over a measurement.
#[derive(Debug, Clone, Serialize)]
pub struct UsageFigures {
    /// CPU time of each daemon, in percent of one CPU.
    pub cpu_percent: Vec<f64>,
    /// Resident memory of each daemon at the end, in megabytes.
    pub memory_mb: Vec<u64>,
    /// Reads of the store per second, watches included.
    pub store_reads_per_s: f64,
    /// Writes to the store per second.
    pub store_writes_per_s: f64,
}

/// Latency and throughput of callers, in microseconds and per second.
#[derive(Debug, Clone, Serialize)]
pub struct WaitFigures {
    /// Concurrent callers, each with one request in flight.
    pub callers: usize,
    /// Requests that ended, with an answer or not.
    pub answers: usize,
    /// Answers other than the expected `done`, and failed calls.
    pub bad: usize,
    /// Requests that ended per second.
    pub per_s: f64,
    /// Median latency.
    pub p50_us: u64,
    /// 99th percentile of the latency.
    pub p99_us: u64,
}

/// All figures of a measurement.
#[derive(Debug, Clone, Serialize)]
pub struct ProcessFigures {
    /// Usage without work.
    pub idle: UsageFigures,
    /// Sequential requests to the daemon that owns the team.
    pub at_owner: WaitFigures,
    /// Sequential requests to another daemon.
    pub at_other: WaitFigures,
    /// Concurrent callers, with the usage of the daemons.
    pub loaded: Vec<(WaitFigures, UsageFigures)>,
}

/// Measures a cell of three daemons and 48 workers.
///
/// # Errors
///
/// Returns an error if the cell does not start or its usage cannot be read.
pub fn measure_processes(
    options: &ProcessOptions,
    callers: &[usize],
) -> anyhow::Result<ProcessFigures> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(super::WORKER_THREADS).enable_all().build()?;
    let figures = runtime.block_on(measure_cell(options, callers));
    runtime.shutdown_background();
    figures
}

async fn measure_cell(
    options: &ProcessOptions,
    callers: &[usize],
) -> anyhow::Result<ProcessFigures> {
    let script = ScenarioScript::parse(CELL)?;
    let world = Arc::new(ProcessWorld::new(&script, 1, options).await?);
    for node in 0..script.cell.nodes {
        Arc::clone(&world).start_node(node).await;
    }
    tokio::spawn(Arc::clone(&world).run_change(ManifestEdit::Whole, None));
    sleep(SETTLE_TIME).await;
    let snapshot = UsageSnapshot::take(&world)?;
    sleep(MEASURE_TIME).await;
    let idle = snapshot.finish(&world)?;
    let owners = world.resolve_nodes(&FaultTarget::OwnerOf(TEAM_PIECE.parse()?));
    let owner = *owners.first().context("nobody owns the team")?;
    let entries = caller_addresses(&world);
    let at_owner =
        run_callers(&[entries[owner]], 1, StopCondition::Count(SEQUENTIAL_REQUESTS)).await;
    let other = entries[(owner + 1) % entries.len()];
    let at_other = run_callers(&[other], 1, StopCondition::Count(SEQUENTIAL_REQUESTS)).await;
    let mut loaded = Vec::new();
    for &count in callers {
        let snapshot = UsageSnapshot::take(&world)?;
        let waits = run_callers(&entries, count, StopCondition::Elapsed(MEASURE_TIME)).await;
        loaded.push((waits, snapshot.finish(&world)?));
    }
    Ok(ProcessFigures { idle, at_owner, at_other, loaded })
}

fn caller_addresses(world: &ProcessWorld) -> Vec<SocketAddr> {
    let state = world.lock();
    state.nodes.iter().filter_map(|slot| Some(slot.process.as_ref()?.caller_address)).collect()
}

#[derive(Debug)]
struct UsageSnapshot {
    at: Instant,
    ticks: Vec<u64>,
    reads: u64,
    writes: u64,
}

impl UsageSnapshot {
    fn take(world: &ProcessWorld) -> anyhow::Result<Self> {
        let stats = world.platform.store.stats();
        let (reads, writes) = (stats.reads(), stats.writes());
        Ok(Self { at: Instant::now(), ticks: read_cpu_ticks(world)?, reads, writes })
    }

    #[allow(clippy::cast_precision_loss)] // The counts are far below 2^52.
    fn finish(&self, world: &ProcessWorld) -> anyhow::Result<UsageFigures> {
        let seconds = self.at.elapsed().as_secs_f64();
        let ticks = read_cpu_ticks(world)?;
        let used = ticks.iter().zip(&self.ticks).map(|(now, before)| now.saturating_sub(*before));
        let stats = world.platform.store.stats();
        Ok(UsageFigures {
            cpu_percent: used.map(|used| used as f64 / TICKS_PER_S / seconds * 100.0).collect(),
            memory_mb: read_memory_mb(world)?,
            store_reads_per_s: (stats.reads() - self.reads) as f64 / seconds,
            store_writes_per_s: (stats.writes() - self.writes) as f64 / seconds,
        })
    }
}

fn process_ids(world: &ProcessWorld) -> Vec<u32> {
    let state = world.lock();
    state.nodes.iter().filter_map(|slot| Some(slot.process.as_ref()?.id())).collect()
}

/// User and system time are fields 14 and 15; field 2, the command name, may contain spaces.
fn read_cpu_ticks(world: &ProcessWorld) -> anyhow::Result<Vec<u64>> {
    let ticks = |id: u32| {
        let text = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let (_, rest) = text.rsplit_once(')').context("no name")?;
        let fields: Vec<u64> =
            rest.split_whitespace().skip(11).take(2).filter_map(|it| it.parse().ok()).collect();
        Ok(fields.iter().sum())
    };
    process_ids(world).into_iter().map(ticks).collect()
}

fn read_memory_mb(world: &ProcessWorld) -> anyhow::Result<Vec<u64>> {
    let memory = |id: u32| {
        let text = fs::read_to_string(format!("/proc/{id}/statm"))?;
        let pages: u64 = text.split_whitespace().nth(1).context("no resident size")?.parse()?;
        Ok((pages * PAGE_BYTES) >> 20)
    };
    process_ids(world).into_iter().map(memory).collect()
}

/// Condition on which a caller stops.
#[derive(Debug, Clone, Copy)]
enum StopCondition {
    Count(usize),
    Elapsed(Duration),
}

#[allow(clippy::cast_precision_loss)] // The counts are far below 2^52.
async fn run_callers(
    entries: &[SocketAddr],
    callers: usize,
    stop_condition: StopCondition,
) -> WaitFigures {
    let client = ApiClient::with_idle(callers);
    let started_at = Instant::now();
    let mut tasks = JoinSet::new();
    for caller in 0..callers {
        let entry = entries[caller % entries.len()];
        tasks.spawn(run_caller(client.clone(), entry, caller, stop_condition));
    }
    let (mut waits, mut bad) = (Vec::new(), 0);
    while let Some(done) = tasks.join_next().await {
        let (more, more_bad) = done.unwrap_or_default();
        waits.extend(more);
        bad += more_bad;
    }
    let seconds = started_at.elapsed().as_secs_f64();
    waits.sort_unstable();
    let percentile = |part: usize| waits.get(waits.len() * part / 100).copied().unwrap_or(0);
    let answers = waits.len();
    let per_s = answers as f64 / seconds;
    WaitFigures { callers, answers, bad, per_s, p50_us: percentile(50), p99_us: percentile(99) }
}

async fn run_caller(
    client: ApiClient,
    entry: SocketAddr,
    caller: usize,
    stop_condition: StopCondition,
) -> (Vec<u64>, usize) {
    let started_at = Instant::now();
    let (mut waits, mut bad) = (Vec::new(), 0);
    loop {
        let is_over = match stop_condition {
            StopCondition::Count(count) => waits.len() >= count,
            StopCondition::Elapsed(limit) => started_at.elapsed() >= limit,
        };
        if is_over {
            return (waits, bad);
        }
        let token = format!("c{caller}r{}", waits.len());
        let call = ApiCall {
            method: Method::POST,
            path: "/v1/requests",
            key: Some("harbour-key.secret-of-harbour-key"),
            idempotency_key: None,
            body: request_body("checks", &token, TASK_RUN_MS),
        };
        let sent_at = Instant::now();
        let outcome = client.call::<WorkAnswer>(entry, &call).await;
        waits.push(u64::try_from(sent_at.elapsed().as_micros()).unwrap_or(u64::MAX));
        let is_correct = matches!(outcome, CallOutcome::Answered(answer)
            if answer.outcome == OutcomeKind::Done && answer.detail == token);
        bad += usize::from(!is_correct);
        if matches!(stop_condition, StopCondition::Count(_)) {
            sleep(SEQUENTIAL_REQUEST_INTERVAL).await;
        }
    }
}
