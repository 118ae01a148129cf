//! Changes of the workers' reports.

use {
    super::CellCore,
    crate::{WorkerKey, WorkerReport},
};

impl CellCore {
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
