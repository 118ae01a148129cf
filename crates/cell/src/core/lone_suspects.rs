//! Suspects that were accused alone, and the workers on which they are tested together.
//!
//! A job whose tasks alone had just been started on a worker that crashed is nearly always to blame, and
//! each proof takes a worker for as long as it is down. Once several of these jobs in a row have crashed the
//! worker on which they were tested alone, further ones are tested together, and are all given up if
//! the worker crashes: two workers have then crashed under each of them, both times just after its start.
//! The first one that does not crash its worker ends this.

use crate::WorkerKey;

/// Number of jobs in a row that were accused alone and crashed their test's worker, from which others are
/// tested together.
const MIN_PROOFS: u32 = 4;
/// Maximum number of jobs that are tested together.
const MAX_JOBS: usize = 4;
/// Maximum number of steps that get tickets while they wait to be tested together.
const MAX_GATHERED: usize = 64;
/// Time between placements in which shared tests begin, in milliseconds.
const ROUND_MS: u64 = 100;

/// Jobs that are started on a worker together.
#[derive(Debug)]
struct TestGroup {
    worker: WorkerKey,
    jobs: usize,
}

/// What is known of suspects that were accused alone.
#[derive(Debug, Default)]
pub(super) struct LoneSuspects {
    /// Number of jobs that crashed the worker on which they were tested, since the last that did not.
    proofs: u32,
    /// Groups of the present placement.
    groups: Vec<TestGroup>,
    /// Number of steps that got tickets in the present placement.
    gathered: usize,
    /// Shared tests may begin in the present placement.
    is_round: bool,
    next_round_ms: u64,
}

impl LoneSuspects {
    /// Begins a placement. Shared tests begin in some placements only, so that steps meet that got tickets
    /// one after the other.
    pub(super) fn begin(&mut self, now_ms: u64) {
        self.groups.clear();
        self.gathered = 0;
        self.is_round = now_ms >= self.next_round_ms;
        if self.is_round {
            self.next_round_ms = now_ms + ROUND_MS;
        }
    }

    /// Returns whether shared tests may begin in the present placement.
    pub(super) fn is_round(&self) -> bool {
        self.is_round
    }

    /// Records that a job that was tested alone crashed its worker.
    pub(super) fn record_crash(&mut self) {
        self.proofs = self.proofs.saturating_add(1);
    }

    /// Records that a job that was accused alone did not crash the worker on which it was tested.
    pub(super) fn record_survival(&mut self) {
        self.proofs = 0;
    }

    /// Returns whether several jobs may be tested together.
    pub(super) fn may_share(&self) -> bool {
        self.proofs >= MIN_PROOFS
    }

    /// Returns the workers on which other jobs may join a test.
    pub(super) fn open_groups(&self) -> impl Iterator<Item = WorkerKey> {
        self.groups.iter().filter(|group| group.jobs < MAX_JOBS).map(|group| group.worker)
    }

    /// Adds a job to the test on a worker.
    pub(super) fn join(&mut self, worker: WorkerKey) {
        match self.groups.iter_mut().find(|group| group.worker == worker) {
            Some(group) => group.jobs += 1,
            None => self.groups.push(TestGroup { worker, jobs: 1 }),
        }
    }

    /// Returns whether another step may get tickets while it waits.
    pub(super) fn gather(&mut self) -> bool {
        self.gathered += 1;
        self.gathered <= MAX_GATHERED
    }
}
