//! Applies and heals faults.

use {
    super::{ActiveFault, SimWorld, WorldEvent},
    crate::{
        observe::SeenDisturbance,
        script::{FaultKind, FaultTarget, ScriptAction},
    },
};

/// Delay before retrying a restart that waits for a shutdown to finish, in milliseconds.
const RESTART_RETRY_MS: u64 = 200;

impl SimWorld {
    /// Performs the action of a script's step.
    pub(crate) fn perform_script_action(&mut self, action: ScriptAction) {
        match action {
            ScriptAction::Fault { fault, for_ms } => self.inject_fault(&fault, for_ms),
            ScriptAction::Submit(plan) => self.begin_work(&plan),
            ScriptAction::Cancel { tag } => self.begin_cancel(&tag),
            ScriptAction::Operator { edit, via } => {
                let via = via.and_then(|target| self.resolve_nodes(&target).first().copied());
                self.submit_change(edit, via);
            }
        }
    }

    /// Applies a fault and returns the ids needed to heal it.
    pub(crate) fn apply_fault(&mut self, kind: &FaultKind, for_ms: Option<u64>) -> Vec<u64> {
        let until_ms = for_ms.map_or(u64::MAX, |for_ms| self.now_ms + for_ms);
        match kind {
            FaultKind::Kill(target) => self.fault_nodes(target, |world, node| {
                world.record_disturbance(Some(node), until_ms);
                world.kill_node(node);
                ActiveFault::NodeDown(node)
            }),
            FaultKind::Restart(target) => {
                for node in self.resolve_nodes(target) {
                    self.record.faults += 1;
                    self.record_disturbance(Some(node), self.now_ms);
                    self.kill_node(node);
                    self.start_node(node);
                }
                Vec::new()
            }
            FaultKind::Pause(target) => self.fault_nodes(target, |world, node| {
                world.record_disturbance(Some(node), until_ms);
                world.pause_node(node)
            }),
            FaultKind::Shutdown(target) => self.fault_nodes(target, |world, node| {
                world.record_disturbance(Some(node), until_ms);
                world.shut_node_down(node);
                ActiveFault::NodeDown(node)
            }),
            FaultKind::Cut { from, to, is_both } => {
                let (from, to) = (self.resolve_all(from), self.resolve_all(to));
                self.cut_paths(from, to, *is_both, until_ms)
            }
            FaultKind::Silence { from, to } => {
                let (from, to) = (self.resolve_all(from), self.resolve_all(to));
                self.silence_links(&from, &to);
                Vec::new()
            }
            _ => self.apply_platform_fault(kind, until_ms),
        }
    }

    /// Applies a fault of workers, host list or store.
    pub(crate) fn apply_platform_fault(&mut self, kind: &FaultKind, until_ms: u64) -> Vec<u64> {
        match kind {
            FaultKind::Freeze(target) => self.fault_workers(target, |world, worker| {
                world.fleet[worker].table.set_frozen(true, world.now_ms);
                ActiveFault::WorkerFrozen(worker)
            }),
            FaultKind::Crash(target) => self.fault_workers(target, |world, worker| {
                world.crash_worker(worker);
                ActiveFault::WorkerDown(worker)
            }),
            FaultKind::Spoil(target) => self.fault_workers(target, |world, worker| {
                world.fleet[worker].table.set_failing(true);
                ActiveFault::WorkerSpoiled(worker)
            }),
            FaultKind::Leave(target) => self.fault_workers(target, |world, worker| {
                world.mark_worker_leaving(worker);
                ActiveFault::WorkerLeaving(worker)
            }),
            FaultKind::SlowWorker { target, millis } => {
                self.fault_workers(target, |world, worker| {
                    world.fleet[worker].added_latency_ms = *millis;
                    ActiveFault::WorkerSlow(worker)
                })
            }
            FaultKind::HostsDown => {
                self.start_hosts_outage(until_ms);
                vec![self.activate(ActiveFault::HostsDown)]
            }
            FaultKind::StoreDown => {
                self.record_disturbance(None, until_ms);
                self.start_store_outage();
                vec![self.activate(ActiveFault::StoreDown)]
            }
            FaultKind::StoreSlow(millis) => {
                self.record_disturbance(None, until_ms);
                self.store.added_latency_ms = *millis;
                vec![self.activate(ActiveFault::StoreSlow)]
            }
            FaultKind::StoreLoses(percent) => {
                self.record_disturbance(None, until_ms);
                self.store.lost_percent = *percent;
                vec![self.activate(ActiveFault::StoreLoses)]
            }
            _ => Vec::new(),
        }
    }

    /// Applies a fault to each node of a target and returns the fault ids.
    pub(crate) fn fault_nodes(
        &mut self,
        target: &FaultTarget,
        apply: impl Fn(&mut Self, usize) -> ActiveFault,
    ) -> Vec<u64> {
        let mut ids = Vec::new();
        for node in self.resolve_nodes(target) {
            let active = apply(self, node);
            ids.push(self.activate(active));
        }
        ids
    }

    /// Applies a fault to each worker of a target and returns the fault ids.
    pub(crate) fn fault_workers(
        &mut self,
        target: &FaultTarget,
        apply: impl Fn(&mut Self, usize) -> ActiveFault,
    ) -> Vec<u64> {
        let mut ids = Vec::new();
        for worker in self.resolve_workers(target) {
            let active = apply(self, worker);
            ids.push(self.activate(active));
        }
        ids
    }

    /// Registers a fault in effect and returns its id.
    pub(crate) fn activate(&mut self, active: ActiveFault) -> u64 {
        self.next_fault += 1;
        self.active_faults.insert(self.next_fault, active);
        self.next_fault
    }

    /// Records a disturbance of a node, or of every node, that begins now.
    pub(crate) fn record_disturbance(&mut self, node: Option<usize>, until_ms: u64) {
        let from_ms = self.now_ms;
        self.record.disturbances.push(SeenDisturbance { node, from_ms, until_ms });
    }

    /// Ends a fault.
    pub(crate) fn heal(&mut self, fault: u64) {
        let Some(active) = self.active_faults.remove(&fault) else { return };
        if let ActiveFault::NodeDown(node) = active
            && self.nodes[node].shutdown_ms.is_some()
        {
            // The node has not finished its shutdown; restart it afterwards.
            self.active_faults.insert(fault, active);
            self.queue.push(self.now_ms + RESTART_RETRY_MS, WorldEvent::Heal { fault });
            return;
        }
        self.trace.line(self.now_ms, || format!("HEAL {active:?}"));
        match active {
            ActiveFault::NodeDown(node) => self.start_node(node),
            ActiveFault::NodePaused { node, life } => self.resume_node(node, life),
            ActiveFault::WorkerFrozen(worker) => self.unfreeze_worker(worker),
            ActiveFault::WorkerDown(worker) => self.fleet[worker].is_down = false,
            ActiveFault::WorkerSpoiled(worker) => self.fleet[worker].table.set_failing(false),
            ActiveFault::WorkerSlow(worker) => self.fleet[worker].added_latency_ms = 0,
            ActiveFault::HostsDown => {
                let is_still_out = self
                    .active_faults
                    .values()
                    .any(|other| matches!(other, ActiveFault::HostsDown));
                self.hosts.set_outage(is_still_out);
            }
            ActiveFault::WorkerLeaving(worker) => self.return_worker_to_service(worker),
            ActiveFault::PathCut => self.cuts.heal(fault),
            ActiveFault::StoreDown => {
                let is_still_out = self
                    .active_faults
                    .values()
                    .any(|other| matches!(other, ActiveFault::StoreDown));
                self.store.table.set_outage(is_still_out, self.now_ms);
                self.poll_store();
            }
            ActiveFault::StoreSlow => self.store.added_latency_ms = 0,
            ActiveFault::StoreLoses => self.store.lost_percent = 0,
        }
    }
}
