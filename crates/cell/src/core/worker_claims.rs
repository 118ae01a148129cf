//! Entries of the list of workers that disagree with what a worker says of itself.
//!
//! An entry may come from another writer, or be older than the worker's last response. So it is only a
//! claim: a worker that responds is the incarnation that it says it is, at the address where it
//! responds. The claim counts once the worker no longer responds there, and even then it proves nothing
//! of what the former incarnation runs.

use {
    super::{CellCore, losses::LossCause},
    crate::{AttemptKey, WorkerKey, WorkerReport, table::WorkerEntry},
};

/// What to do with an entry of a known worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimStep {
    /// It describes the worker.
    Adopt,
    /// It is of a former incarnation, or of a next one on a host whose clock has jumped back.
    Remember,
    /// The worker responds, so it is asked.
    Ask,
}

impl WorkerEntry {
    fn claim_step(&self, report: &WorkerReport) -> ClaimStep {
        let is_same =
            report.incarnation == self.report.incarnation && report.address == self.report.address;
        if is_same || !self.has_responded {
            return ClaimStep::Adopt;
        }
        if report.incarnation < self.report.incarnation {
            return match self.is_silent {
                true => ClaimStep::Adopt,
                false => ClaimStep::Remember,
            };
        }
        if self.is_busy() && !self.is_silent { ClaimStep::Ask } else { ClaimStep::Adopt }
    }
}

impl CellCore {
    /// Applies an entry of the list to a known worker.
    pub(super) fn update_known_worker(&mut self, key: WorkerKey, report: WorkerReport) {
        match self.workers[key].claim_step(&report) {
            ClaimStep::Adopt => self.adopt_report(key, report),
            ClaimStep::Remember => self.workers[key].claim = Some(report),
            ClaimStep::Ask => self.ask_for_claim(key, report),
        }
    }

    /// Adopts the claim of an entry about a worker that no longer responds.
    pub(super) fn adopt_claim(&mut self, key: WorkerKey) {
        if let Some(claim) = self.workers[key].claim.take() {
            self.adopt_report(key, claim);
        }
    }

    /// Adopts the claim of an entry that the worker has confirmed.
    pub(super) fn adopt_confirmed_claim(&mut self, key: WorkerKey) {
        let worker = &self.workers[key];
        let (incarnation, address) = (worker.report.incarnation, &worker.report.address);
        let is_confirmed = worker
            .claim
            .as_ref()
            .is_some_and(|claim| claim.incarnation == incarnation && claim.address == *address);
        if is_confirmed {
            self.adopt_claim(key);
        }
    }

    fn ask_for_claim(&mut self, key: WorkerKey, report: WorkerReport) {
        let worker = &mut self.workers[key];
        if worker.claim.as_ref() == Some(&report) {
            return;
        }
        let detail = format!("incarnation={} address={}", report.incarnation, report.address);
        worker.is_listed = false;
        worker.claim = Some(report);
        worker.ask_for_incarnation(self.time.now_ms);
        let id = worker.report.id.clone();
        self.log("worker_contradicted", id, detail);
    }

    /// Logs that a worker reports another capacity than before.
    fn log_resize(&mut self, key: WorkerKey, report: &WorkerReport) {
        let worker = &self.workers[key];
        let (before, after) = (worker.report.capacity, report.capacity);
        if before == after {
            return;
        }
        let detail = format!(
            "cpu={}>{} memory_mb={}>{} used_cpu={} used_memory_mb={}",
            before.cpu_millis,
            after.cpu_millis,
            before.memory_mb,
            after.memory_mb,
            worker.used.cpu_millis,
            worker.used.memory_mb
        );
        self.log("worker_resized", report.id.clone(), detail);
    }

    /// Records that an entry shows the crash of the known incarnation. While the one that the entry names may have
    /// carried out a start, the crash counts once that has listed what it runs.
    fn record_crash_by_entry(&mut self, key: WorkerKey) {
        let worker = &self.workers[key];
        let is_open = !self.unidentified_attempts(key).is_empty();
        match is_open && worker.was_reached_until_loss() {
            true => self.workers[key].postpone_crash(self.time.now_ms),
            false => self.record_losses(key, LossCause::Crash),
        }
    }

    /// Returns the attempts on a worker that an incarnation may have begun which is not known.
    fn unidentified_attempts(&self, key: WorkerKey) -> Vec<AttemptKey> {
        let worker = &self.workers[key];
        let is_unidentified = |attempt: &AttemptKey| {
            worker.unidentified_until_ms(&self.attempts[*attempt].start).is_some()
        };
        worker.attempts.values().copied().filter(is_unidentified).collect()
    }

    /// Counts a crash that was postponed until the next incarnation has listed what it runs, and which will not do that
    /// before the leases expire.
    pub(super) fn count_postponed_crash(&mut self, key: WorkerKey) {
        let present = self.workers[key].loss();
        if self.workers[key].resume_crash() {
            let unidentified = self.unidentified_attempts(key);
            self.record_losses_except(key, LossCause::Crash, &unidentified);
            self.workers[key].restore_loss(present);
        }
    }

    fn adopt_report(&mut self, key: WorkerKey, report: WorkerReport) {
        if report.incarnation != self.workers[key].report.incarnation {
            if report.incarnation > self.workers[key].report.incarnation {
                self.record_crash_by_entry(key);
            }
            self.switch_incarnation(key, report.incarnation);
            self.workers[key].ask_for_incarnation(0);
        }
        self.log_resize(key, &report);
        let worker = &mut self.workers[key];
        worker.is_listed = true;
        worker.claim = None;
        worker.report = report;
    }
}
