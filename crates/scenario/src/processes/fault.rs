//! Injects faults and heals them.

use {
    super::{daemon::node_name, world::ProcessWorld},
    crate::{
        observe::{SeenDisturbance, SeenLeaving, SeenLoss, SeenShutdown},
        script::{FaultKind, FaultTarget},
    },
    damaskrack_outside::HostState,
    damaskrack_standin::{HostFaults, StoreFaults, WorkerFaults},
    nix::sys::signal::Signal,
    rand::Rng,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Interval at which the end of a process is polled.
const EXIT_POLL: Duration = Duration::from_millis(20);

/// Action that ends a fault.
#[derive(Debug)]
enum FaultHeal {
    Start(usize),
    Resume(usize),
    Store(StoreFaults),
    Worker(usize, WorkerFaults),
    Return(usize),
    Path { relays: Vec<(usize, FaultTarget)> },
}

impl ProcessWorld {
    /// Injects a fault and schedules its end.
    pub(crate) fn begin_fault(self: Arc<Self>, fault: &FaultKind, for_ms: Option<u64>) {
        self.lock().record.faults += 1;
        let until_ms = for_ms.map_or(u64::MAX, |for_ms| self.now_ms() + for_ms);
        let heals = self.apply_fault(fault, until_ms);
        let Some(for_ms) = for_ms else { return };
        for heal in heals {
            let world = Arc::clone(&self);
            tokio::spawn(async move {
                sleep(Duration::from_millis(for_ms)).await;
                world.heal(heal).await;
            });
        }
    }

    fn apply_fault(self: &Arc<Self>, fault: &FaultKind, until_ms: u64) -> Vec<FaultHeal> {
        match fault {
            FaultKind::Kill(target) => self.on_nodes(target, until_ms, |node| {
                self.kill_node(node);
                FaultHeal::Start(node)
            }),
            FaultKind::Restart(target) => {
                self.on_nodes(target, self.now_ms(), |node| {
                    self.kill_node(node);
                    tokio::spawn(Arc::clone(self).start_node(node));
                    FaultHeal::Start(node)
                });
                Vec::new()
            }
            FaultKind::Pause(target) => self.on_nodes(target, until_ms, |node| {
                self.pause_node(node);
                FaultHeal::Resume(node)
            }),
            FaultKind::Shutdown(target) => self.on_nodes(target, until_ms, |node| {
                self.shut_node_down(node);
                FaultHeal::Start(node)
            }),
            FaultKind::Cut { from, to, is_both } => self.cut(from, to, *is_both, until_ms),
            FaultKind::Silence { from, to } => {
                self.silence(from, to);
                Vec::new()
            }
            _ => self.apply_platform_fault(fault, until_ms),
        }
    }

    fn on_nodes(
        &self,
        target: &FaultTarget,
        until_ms: u64,
        apply: impl Fn(usize) -> FaultHeal,
    ) -> Vec<FaultHeal> {
        let nodes = self.resolve_nodes(target);
        nodes
            .into_iter()
            .map(|node| {
                self.record_disturbance(Some(node), until_ms);
                apply(node)
            })
            .collect()
    }

    fn record_disturbance(&self, node: Option<usize>, until_ms: u64) {
        let from_ms = self.now_ms();
        self.lock().record.disturbances.push(SeenDisturbance { node, from_ms, until_ms });
    }

    fn apply_platform_fault(&self, fault: &FaultKind, until_ms: u64) -> Vec<FaultHeal> {
        let is_store_fault = matches!(
            fault,
            FaultKind::StoreDown | FaultKind::StoreSlow(_) | FaultKind::StoreLoses(_)
        );
        if is_store_fault {
            self.record_disturbance(None, until_ms);
            let (faults, heal) = store_faults(fault);
            self.platform.store.change_faults(&faults);
            return vec![FaultHeal::Store(heal)];
        }
        let (FaultKind::Freeze(target)
        | FaultKind::Crash(target)
        | FaultKind::Spoil(target)
        | FaultKind::Leave(target)) = fault
        else {
            return Vec::new();
        };
        self.resolve_workers(target)
            .into_iter()
            .map(|worker| self.apply_worker_fault(fault, worker))
            .collect()
    }

    fn apply_worker_fault(&self, fault: &FaultKind, worker: usize) -> FaultHeal {
        let none = WorkerFaults::default;
        let (faults, heal) = match fault {
            FaultKind::Freeze(_) => (
                WorkerFaults { freeze: Some(true), ..none() },
                WorkerFaults { freeze: Some(false), ..none() },
            ),
            FaultKind::Crash(_) => (
                WorkerFaults {
                    restart: Some(self.lock().rng.random_range(1..u64::MAX)),
                    cut: Some(true),
                    ..none()
                },
                WorkerFaults { cut: Some(false), ..none() },
            ),
            FaultKind::Spoil(_) => (
                WorkerFaults { fail_everything: Some(true), ..none() },
                WorkerFaults { fail_everything: Some(false), ..none() },
            ),
            _ => {
                self.set_host_state(worker, HostState::Leaving);
                return FaultHeal::Return(worker);
            }
        };
        self.platform.workers[worker].1.change_faults(&faults);
        FaultHeal::Worker(worker, heal)
    }

    fn set_host_state(&self, worker: usize, host_state: HostState) {
        let name = self.platform.workers[worker].0.clone();
        let mark = BTreeMap::from([(name.clone(), host_state)]);
        self.platform.hosts.change_faults(&HostFaults { mark, ..HostFaults::default() });
        let now_ms = self.now_ms();
        let leavings = &mut self.lock().record.leavings;
        if host_state == HostState::Leaving {
            let shown_ms = now_ms + self.script.cell.host_lag_ms;
            leavings.push(SeenLeaving { worker: name, shown_ms, until_ms: u64::MAX });
        } else if let Some(leaving) = leavings.iter_mut().rev().find(|row| row.worker == name) {
            leaving.until_ms = now_ms;
        }
    }

    fn resolve_workers(&self, target: &FaultTarget) -> Vec<usize> {
        let count = self.platform.workers.len();
        match target {
            FaultTarget::Worker(worker) if *worker < count => vec![*worker],
            FaultTarget::AllWorkers => (0..count).collect(),
            FaultTarget::AnyWorker => vec![self.lock().rng.random_range(0..count)],
            _ => Vec::new(),
        }
    }

    async fn heal(self: Arc<Self>, heal: FaultHeal) {
        match heal {
            FaultHeal::Start(node) => {
                // The former process must have ended before the next one starts.
                while self.lock().nodes[node].process.is_some() {
                    sleep(EXIT_POLL).await;
                }
                self.start_node(node).await;
            }
            FaultHeal::Resume(node) => self.resume_node(node),
            FaultHeal::Store(faults) => self.platform.store.change_faults(&faults),
            FaultHeal::Worker(worker, faults) => {
                self.platform.workers[worker].1.change_faults(&faults);
            }
            FaultHeal::Return(worker) => self.set_host_state(worker, HostState::Live),
            FaultHeal::Path { relays } => {
                for (from, to) in &relays {
                    self.set_cut(*from, to, false);
                }
            }
        }
    }

    fn record_losses(&self, node: usize) {
        let owners = self.platform.owners();
        let lost_ms = self.now_ms();
        for (piece, record) in owners {
            if record.owner.is_some_and(|owner| owner.as_str() == node_name(node)) {
                let (replaced_ms, returned_ms) = (None, None);
                let epoch = record.epoch;
                let loss = SeenLoss { piece, epoch, lost_ms, replaced_ms, returned_ms };
                self.lock().record.losses.push(loss);
            }
        }
    }

    fn kill_node(&self, node: usize) {
        self.record_losses(node);
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let Some(process) = state.nodes[node].process.take() else { return };
        state.nodes[node].is_ready = false;
        state.record.note_down(node, now_ms);
        for shutdown in &mut state.record.shutdowns {
            shutdown.is_spoiled |= shutdown.node == node && shutdown.ended_ms.is_none();
        }
        drop(state);
        drop(process);
    }

    /// Starts the node's process unless one is running.
    pub(crate) async fn start_node(self: Arc<Self>, node: usize) {
        let launcher = {
            let state = self.lock();
            let slot = &state.nodes[node];
            slot.process.is_none().then(|| slot.launcher.clone())
        };
        let Some(launcher) = launcher else { return };
        let started = launcher.start().await;
        let now_ms = self.now_ms();
        let mut state = self.lock();
        match started {
            Ok(process) => {
                let slot = &mut state.nodes[node];
                slot.process = Some(process);
                slot.life += 1;
                (slot.is_paused, slot.is_shutting_down) = (false, false);
                let life = slot.life;
                state.record.lives.push((node, life, now_ms));
                state.record.note_up(node, now_ms);
            }
            Err(error) => state.run_errors.push(format!("{}: {error:#}", node_name(node))),
        }
    }

    fn pause_node(&self, node: usize) {
        self.record_losses(node);
        let mut state = self.lock();
        let slot = &mut state.nodes[node];
        slot.is_paused = true;
        slot.is_ready = false;
        if let Some(process) = &slot.process {
            process.signal(Signal::SIGSTOP);
        }
    }

    fn resume_node(&self, node: usize) {
        let owners = self.platform.owners();
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let slot = &mut state.nodes[node];
        slot.is_paused = false;
        if let Some(process) = &slot.process {
            process.signal(Signal::SIGCONT);
        }
        for loss in &mut state.record.losses {
            let record = owners.get(&loss.piece);
            let is_unchanged = record.is_some_and(|record| {
                record.epoch == loss.epoch
                    && record.owner.as_ref().is_some_and(|owner| owner.as_str() == node_name(node))
            });
            if is_unchanged && loss.returned_ms.is_none() {
                loss.returned_ms = Some(now_ms);
            }
        }
    }

    fn shut_node_down(self: &Arc<Self>, node: usize) {
        let asked_ms = self.now_ms();
        let mut state = self.lock();
        let slot = &mut state.nodes[node];
        let Some(process) = &slot.process else { return };
        process.signal(Signal::SIGTERM);
        slot.is_shutting_down = true;
        let life = slot.life;
        state.record.shutdowns.push(SeenShutdown {
            node,
            asked_ms,
            ended_ms: None,
            cut_calls: 0,
            is_spoiled: false,
        });
        tokio::spawn(Arc::clone(self).await_exit(node, life));
    }

    async fn await_exit(self: Arc<Self>, node: usize, life: u64) {
        loop {
            sleep(EXIT_POLL).await;
            let now_ms = self.now_ms();
            let mut state = self.lock();
            let slot = &mut state.nodes[node];
            if slot.life != life {
                return;
            }
            let Some(process) = &mut slot.process else { return };
            let Some(code) = process.exit_code() else { continue };
            slot.process = None;
            slot.is_ready = false;
            state.record.note_down(node, now_ms);
            if code != 0 {
                state.run_errors.push(format!("{} ended with code {code}", node_name(node)));
            }
            let mut shutdowns = state.record.shutdowns.iter_mut().rev();
            if let Some(shutdown) = shutdowns.find(|shutdown| shutdown.node == node) {
                shutdown.ended_ms.get_or_insert(now_ms);
            }
            return;
        }
    }

    fn cut(
        &self,
        from: &[FaultTarget],
        to: &[FaultTarget],
        is_both: bool,
        until_ms: u64,
    ) -> Vec<FaultHeal> {
        let mut relays = self.paths(from, to);
        if is_both {
            relays.extend(self.paths(to, from));
        }
        for (from, to) in &relays {
            self.record_disturbance(Some(*from), until_ms);
            if let FaultTarget::Node(to) = to {
                self.record_disturbance(Some(*to), until_ms);
            }
            self.set_cut(*from, to, true);
        }
        vec![FaultHeal::Path { relays }]
    }

    fn silence(&self, from: &[FaultTarget], to: &[FaultTarget]) {
        for (from, to) in self.paths(from, to) {
            let state = self.lock();
            match to {
                FaultTarget::Node(to) => {
                    state.nodes[to].launcher.peer_relay.silence(&node_name(from));
                }
                _ => state.nodes[from].launcher.store_relay.silence(&node_name(from)),
            }
        }
    }

    fn set_cut(&self, from: usize, to: &FaultTarget, is_cut: bool) {
        let state = self.lock();
        match to {
            FaultTarget::Node(to) => {
                state.nodes[*to].launcher.peer_relay.set_cut(&node_name(from), is_cut);
            }
            _ => state.nodes[from].launcher.store_relay.set_cut(&node_name(from), is_cut),
        }
    }

    /// Returns the paths from daemons to daemons and to the store. Other traffic, such as calls to
    /// workers, passes no relay.
    fn paths(&self, from: &[FaultTarget], to: &[FaultTarget]) -> Vec<(usize, FaultTarget)> {
        if from.iter().chain(to).any(is_worker) {
            self.lock().run_errors.push("there is no relay between daemons and workers".to_owned());
        }
        let sources: Vec<usize> =
            from.iter().flat_map(|target| self.resolve_nodes(target)).collect();
        let mut paths = Vec::new();
        for target in to {
            if *target == FaultTarget::Store {
                paths.extend(sources.iter().map(|&source| (source, FaultTarget::Store)));
            }
            for node in self.resolve_nodes(target) {
                let others = sources.iter().filter(|&&source| source != node);
                paths.extend(others.map(|&source| (source, FaultTarget::Node(node))));
            }
        }
        paths
    }
}

fn store_faults(fault: &FaultKind) -> (StoreFaults, StoreFaults) {
    let none = StoreFaults::default;
    match fault {
        FaultKind::StoreSlow(millis) => (
            StoreFaults { delay_ms: Some(*millis), ..none() },
            StoreFaults { delay_ms: Some(0), ..none() },
        ),
        FaultKind::StoreLoses(percent) => (
            StoreFaults { lose_answers: Some(f64::from(*percent) / 100.0), ..none() },
            StoreFaults { lose_answers: Some(0.0), ..none() },
        ),
        _ => (
            StoreFaults { outage: Some(true), ..none() },
            StoreFaults { outage: Some(false), ..none() },
        ),
    }
}

fn is_worker(target: &FaultTarget) -> bool {
    matches!(target, FaultTarget::Worker(_) | FaultTarget::AnyWorker | FaultTarget::AllWorkers)
}
