//! Injects faults into the worker, host list and store stand-ins.

use {
    super::{CallOrigin, HOSTS_READ_INTERVAL_MS, SimWorld, WorldEvent},
    crate::observe::SeenLeaving,
    damaskrack_outside::{HostState, WorkerError},
    rand::Rng,
};

impl SimWorld {
    /// Crashes a worker: it restarts its table with a new boot number, stays unreachable until
    /// healed, and its waiting calls fail.
    pub(crate) fn crash_worker(&mut self, worker: usize) {
        let boot = self.rng.random_range(1..u64::MAX);
        let sim_worker = &mut self.fleet[worker];
        sim_worker.table.restart(boot, self.now_ms);
        sim_worker.is_down = true;
        for origin in sim_worker.drop_calls(None) {
            self.fail_worker_call(origin);
        }
    }

    /// Reports a lost response to the node that made a call.
    pub(crate) fn fail_worker_call(&mut self, origin: CallOrigin) {
        let at_ms = self.now_ms + self.random_latency_ms();
        let result = Err(WorkerError::Lost);
        self.queue.push(at_ms, WorldEvent::WorkerReturn { origin, result });
    }

    /// Unfreezes a worker, which then handles the calls that arrived meanwhile.
    pub(crate) fn unfreeze_worker(&mut self, worker: usize) {
        self.fleet[worker].table.set_frozen(false, self.now_ms);
        for (origin, call) in self.fleet[worker].take_queued() {
            self.take_worker_call(origin, worker, call);
        }
        self.poll_worker(worker);
    }

    /// Marks a worker as leaving and records when the host list shows it.
    pub(crate) fn mark_worker_leaving(&mut self, worker: usize) {
        let name = self.fleet[worker].worker.clone();
        self.hosts.mark(&name, HostState::Leaving, self.now_ms);
        let lagged_ms = self.now_ms + self.script.cell.host_lag_ms;
        let shown_ms = lagged_ms.max(self.record.hosts_out_until_ms);
        self.record.leavings.push(SeenLeaving { worker: name, shown_ms, until_ms: u64::MAX });
    }

    pub(crate) fn return_worker_to_service(&mut self, worker: usize) {
        let name = self.fleet[worker].worker.clone();
        self.hosts.mark(&name, HostState::Live, self.now_ms);
        let mut leavings = self.record.leavings.iter_mut().rev();
        if let Some(leaving) = leavings.find(|leaving| leaving.worker == name) {
            leaving.until_ms = self.now_ms;
        }
    }

    /// Starts an outage of the host list. Changes that it has not shown to every node yet are shown
    /// after the outage.
    pub(crate) fn start_hosts_outage(&mut self, until_ms: u64) {
        self.hosts.set_outage(true);
        self.record.hosts_out_until_ms = self.record.hosts_out_until_ms.max(until_ms);
        for leaving in &mut self.record.leavings {
            if leaving.shown_ms + HOSTS_READ_INTERVAL_MS >= self.now_ms {
                leaving.shown_ms = leaving.shown_ms.max(until_ms);
            }
        }
    }

    pub(crate) fn start_store_outage(&mut self) {
        self.store.table.set_outage(true, self.now_ms);
        self.store.drop_watches(None);
    }
}
