//! A fake worker, and what it keeps of requests and runs.

use {
    super::{MAX_LEASE_MS, former::StoredBounds, load_model::RunWork},
    damaskrack_cell::{
        EndKind, EndedAttempt, RenewRequest, ResourceSet, StartRequest, WorkerReport,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Number of incarnations whose clocks begin at different readings.
const CLOCK_STEPS: u64 = 100;
/// Difference between these readings, in milliseconds; longer than any test.
const CLOCK_STEP_MS: u64 = 10_000_000;

/// A task that runs on a fake worker.
#[derive(Debug, Clone)]
pub(crate) struct FakeRun {
    pub(crate) task: String,
    pub(crate) attempt: u32,
    pub(crate) ends_ms: u64,
    pub(crate) is_stopped: bool,
    pub(crate) resources: ResourceSet,
}

/// A request that had no response and is carried out late.
#[derive(Debug)]
pub(crate) struct LateRequest<R> {
    pub(super) sent_ms: u64,
    /// The fencing token that it was sent with.
    pub(super) token: u64,
    pub(crate) request: R,
}

/// A fake worker, with one incarnation at a time.
#[derive(Debug, Default)]
pub(crate) struct FakeWorker {
    pub(crate) report: WorkerReport,
    pub(super) started_ms: u64,
    /// Reading of the worker's clock when it started.
    pub(super) first_clock_ms: u64,
    /// Share of the time by which the worker's clock is slow, in percent.
    pub(crate) lost_clock_percent: u64,
    pub(crate) token: u64,
    pub(crate) runs: Vec<FakeRun>,
    pub(crate) ended: Vec<EndedAttempt>,
    pub(crate) last_end: u64,
    pub(crate) lease_expiry_ms: u64,
    /// Attempts that were stopped or have ended on this worker, which can never start again.
    pub(crate) fenced: BTreeSet<(String, u32)>,
    /// The worker does not respond.
    pub(crate) is_silent: bool,
    /// Another worker responds on its address.
    pub(crate) is_replaced: bool,
    /// Start requests get no response and wait in `deferred_starts`.
    pub(crate) defers_starts: bool,
    pub(crate) deferred_starts: Vec<LateRequest<StartRequest>>,
    /// Number of the next start requests that are treated so.
    pub(crate) defers_next_starts: usize,
    /// Stop requests get no response and are not carried out.
    pub(crate) drops_stops: bool,
    /// All start requests after a deferred one are refused.
    pub(crate) refuses_starts: bool,
    /// Renewals get no response and wait in `deferred_renewals`.
    pub(crate) defers_renewals: bool,
    pub(crate) deferred_renewals: Vec<LateRequest<RenewRequest>>,
    /// Maximum number of ends in a response; 0 for no maximum.
    pub(crate) max_listed_ends: usize,
    /// Last end before the leases expired.
    pub(super) last_expired_end: u64,
    /// The worker's registration has expired.
    pub(crate) is_unlisted: bool,
    /// The worker's entry, if it is still that of a former incarnation.
    pub(crate) former_entry: Option<WorkerReport>,
    /// All tasks fail.
    pub(crate) fails: bool,
    /// Starts without a valid ticket are refused.
    pub(crate) needs_tickets: bool,
    /// Number of starts that were refused for their tickets.
    pub(crate) refused_tickets: usize,
    /// Time that a stop takes, in milliseconds.
    pub(crate) stop_ms: u64,
    /// Factor by which tasks take longer than usual; 0 counts as 1.
    pub(super) slowness: f64,
    /// Times at which tasks were started.
    pub(super) task_starts_ms: BTreeMap<String, u64>,
    /// Work of the runs, if a model says how long they take.
    pub(crate) work: BTreeMap<(String, u32), RunWork>,
    /// Progress is reported as 0 % until a task ends, and not as 50 %.
    pub(crate) hides_progress: bool,
    /// Time by which tasks run longer than elsewhere, in milliseconds.
    pub(crate) extra_run_ms: u64,
}

impl FakeWorker {
    /// Starts an incarnation, whose clock begins below those of the former ones. So a deadline for one of them is
    /// far away for this one, which carries out their late requests.
    pub(super) fn new(report: WorkerReport, now_ms: u64) -> Self {
        let former_steps = report.incarnation % CLOCK_STEPS;
        let first_clock_ms = (CLOCK_STEPS - former_steps) * CLOCK_STEP_MS;
        Self { report, started_ms: now_ms, first_clock_ms, ..Self::default() }
    }

    /// Starts the next incarnation, with nothing known of before.
    pub(super) fn restarted(&self, now_ms: u64) -> Self {
        let mut report = self.report.clone();
        report.incarnation += 1;
        Self { needs_tickets: self.needs_tickets, ..Self::new(report, now_ms) }
    }

    /// Returns the worker's entry in the list of workers.
    pub(super) fn entry(&self) -> &WorkerReport {
        self.former_entry.as_ref().unwrap_or(&self.report)
    }

    pub(super) fn clock_ms(&self, now_ms: u64) -> u64 {
        let age_ms = now_ms - self.started_ms;
        self.first_clock_ms + age_ms * (100 - self.lost_clock_percent) / 100
    }

    pub(super) fn extend(&mut self, deadline_ms: Option<u64>, now_ms: u64) {
        let deadline_ms = deadline_ms.unwrap_or(0).min(self.clock_ms(now_ms) + MAX_LEASE_MS);
        self.lease_expiry_ms = self.lease_expiry_ms.max(deadline_ms);
    }

    /// Checks that the leases do not outlast the worker's bound in the store.
    pub(super) fn check_bound(&self, bounds: &StoredBounds) {
        let lease_ms = self.lease_expiry_ms.saturating_sub(self.first_clock_ms);
        let expiry_ms = self.started_ms + lease_ms;
        bounds.check(&self.report.id, self.report.incarnation, expiry_ms);
    }

    pub(super) fn end(&mut self, index: usize, kind: EndKind, now_ms: u64) {
        let run = self.runs.remove(index);
        let work = self.work.remove(&(run.task.clone(), run.attempt));
        let checkpoint = work.map_or_else(String::new, |work| work.checkpoint(now_ms));
        self.last_end += 1;
        self.fenced.insert((run.task.clone(), run.attempt));
        self.ended.push(EndedAttempt {
            number: self.last_end,
            task: run.task,
            attempt: run.attempt,
            kind,
            checkpoint,
        });
    }
}
