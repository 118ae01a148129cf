//! Until when the workers' reports may be relied on.
//!
//! A worker starts whatever it is asked to start, so only its report keeps it within its capacity.
//! While the leader cannot follow the reports, a worker may shrink unnoticed, so nothing is started.

use {
    super::CellCore,
    crate::{WorkerKey, WorkerReport},
};

impl CellCore {
    /// Returns whether starts may rely on the workers' reports now.
    pub(super) fn are_reports_valid(&self) -> bool {
        self.time.now_ms <= self.reports_valid_until_ms
    }

    /// Extends the time until which starts may rely on the workers' reports.
    pub(super) fn confirm_reports(&mut self, valid_until_ms: u64) {
        let (now_ms, last_ms) = (self.time.now_ms, self.reports_valid_until_ms);
        self.reports_valid_until_ms = last_ms.max(valid_until_ms);
        if last_ms < now_ms && self.are_reports_valid() {
            let outdated_ms = now_ms - last_ms.max(self.started_ms);
            self.log("reports_valid", "", format!("outdated_ms={outdated_ms}"));
        }
    }

    /// Logs that a worker reports another capacity than before.
    pub(super) fn log_resize(&mut self, key: WorkerKey, report: &WorkerReport) {
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
}
