//! Applies and heals faults.

use {
    super::{ActiveFault, CallOrigin, NetPlace, SimWorld, TICK_MS, WorldEvent},
    crate::{
        observe::{SeenDisturbance, SeenLeaving, SeenLoss, SeenShutdown},
        script::{FaultKind, FaultTarget, ScriptAction},
    },
    damaskrack_node::NodeInput,
    damaskrack_ownership::{OwnerRecord, PieceName},
    damaskrack_platform::{HostState, WorkerFailure},
    rand::Rng,
};

/// Wall clock at which every run begins, in Unix milliseconds.
const CLOCK_BASE_MS: u64 = 1_796_000_000_000;

/// Largest difference between two nodes' clocks, in milliseconds.
const CLOCK_SKEW_MS: u64 = 2_000;

/// Time after which a restart that has to wait for a shutdown is tried again, in milliseconds.
const RESTART_MS: u64 = 200;

/// Interval at which a node reads the host list for the first time, in milliseconds.
const FIRST_HOSTS_READ_MS: u64 = 20;

impl SimWorld {
    pub(crate) fn do_action(&mut self, action: ScriptAction) {
        match action {
            ScriptAction::Fault { fault, for_ms } => self.begin_fault(&fault, for_ms),
            ScriptAction::Submit(plan) => self.begin_work(&plan),
            ScriptAction::Cancel { tag } => self.begin_cancel(&tag),
            ScriptAction::Operator { edit, via } => {
                let via = via.and_then(|target| self.resolve_nodes(&target).first().copied());
                self.begin_change(edit, via);
            }
        }
    }

    pub(crate) fn resolve_nodes(&mut self, target: &FaultTarget) -> Vec<usize> {
        let places = self.resolve(target);
        let node = |place: NetPlace| match place {
            NetPlace::Node(node) => Some(node),
            NetPlace::Worker(_) | NetPlace::Store => None,
        };
        places.into_iter().filter_map(node).collect()
    }

    fn resolve_workers(&mut self, target: &FaultTarget) -> Vec<usize> {
        let places = self.resolve(target);
        let worker = |place: NetPlace| match place {
            NetPlace::Worker(worker) => Some(worker),
            NetPlace::Node(_) | NetPlace::Store => None,
        };
        places.into_iter().filter_map(worker).collect()
    }

    fn resolve_all(&mut self, targets: &[FaultTarget]) -> Vec<NetPlace> {
        targets.iter().flat_map(|target| self.resolve(target)).collect()
    }

    fn resolve(&mut self, target: &FaultTarget) -> Vec<NetPlace> {
        let (nodes, workers) = (self.nodes.len(), self.fleet.len());
        match target {
            FaultTarget::Node(node) if *node < nodes => vec![NetPlace::Node(*node)],
            FaultTarget::Worker(worker) if *worker < workers => vec![NetPlace::Worker(*worker)],
            FaultTarget::Node(_) | FaultTarget::Worker(_) => Vec::new(),
            FaultTarget::Store => vec![NetPlace::Store],
            FaultTarget::OwnerOf(piece) => {
                self.owner_of(piece).map(|(node, _)| NetPlace::Node(node)).into_iter().collect()
            }
            FaultTarget::AnyNode => {
                let running: Vec<_> = (0..nodes).filter(|&i| self.nodes[i].is_running()).collect();
                let index = usize::try_from(self.draw(running.len() as u64)).unwrap_or(0);
                running.get(index).map(|&node| NetPlace::Node(node)).into_iter().collect()
            }
            FaultTarget::AnyWorker => {
                let index = usize::try_from(self.draw(workers as u64)).unwrap_or(0);
                vec![NetPlace::Worker(index)]
            }
            FaultTarget::AllNodes => (0..nodes).map(NetPlace::Node).collect(),
            FaultTarget::AllWorkers => (0..workers).map(NetPlace::Worker).collect(),
        }
    }

    /// Returns the node that the store names as a piece's owner, and the record.
    pub(crate) fn owner_of(&self, piece: &PieceName) -> Option<(usize, OwnerRecord)> {
        let entry = self.store.table.entry(&piece.store_key())?;
        let record = OwnerRecord::from_json(&entry.value).ok()?;
        let node = self.node_index(record.owner.as_ref()?)?;
        Some((node, record))
    }

    /// Applies a fault and returns the ids by which it is healed.
    pub(crate) fn apply_fault(&mut self, kind: &FaultKind, for_ms: Option<u64>) -> Vec<u64> {
        let until_ms = for_ms.map_or(u64::MAX, |for_ms| self.now_ms + for_ms);
        match kind {
            FaultKind::Kill(target) => self.on_nodes(target, |world, node| {
                world.disturb(Some(node), until_ms);
                world.kill_node(node);
                ActiveFault::NodeDown(node)
            }),
            FaultKind::Restart(target) => {
                for node in self.resolve_nodes(target) {
                    self.record.faults += 1;
                    self.disturb(Some(node), self.now_ms);
                    self.kill_node(node);
                    self.start_node(node);
                }
                Vec::new()
            }
            FaultKind::Pause(target) => self.on_nodes(target, |world, node| {
                world.disturb(Some(node), until_ms);
                world.pause_node(node)
            }),
            FaultKind::Shutdown(target) => self.on_nodes(target, |world, node| {
                world.disturb(Some(node), until_ms);
                world.shut_node_down(node);
                ActiveFault::NodeDown(node)
            }),
            FaultKind::Cut { from, to, is_both } => {
                let (from, to) = (self.resolve_all(from), self.resolve_all(to));
                self.cut(from, to, *is_both, until_ms)
            }
            FaultKind::Silence { from, to } => {
                let (from, to) = (self.resolve_all(from), self.resolve_all(to));
                self.silence(&from, &to);
                Vec::new()
            }
            _ => self.apply_platform_fault(kind, until_ms),
        }
    }

    fn apply_platform_fault(&mut self, kind: &FaultKind, until_ms: u64) -> Vec<u64> {
        match kind {
            FaultKind::Freeze(target) => self.on_workers(target, |world, worker| {
                world.fleet[worker].table.set_frozen(true, world.now_ms);
                ActiveFault::WorkerFrozen(worker)
            }),
            FaultKind::Crash(target) => self.on_workers(target, |world, worker| {
                world.crash_worker(worker);
                ActiveFault::WorkerDown(worker)
            }),
            FaultKind::Spoil(target) => self.on_workers(target, |world, worker| {
                world.fleet[worker].table.set_failing(true);
                ActiveFault::WorkerSpoiled(worker)
            }),
            FaultKind::Leave(target) => self.on_workers(target, |world, worker| {
                world.leave_worker(worker);
                ActiveFault::WorkerLeaving(worker)
            }),
            FaultKind::StoreDown => {
                self.disturb(None, until_ms);
                self.set_store_out();
                vec![self.activate(ActiveFault::StoreDown)]
            }
            FaultKind::StoreSlow(millis) => {
                self.disturb(None, until_ms);
                self.store.slow_ms = *millis;
                vec![self.activate(ActiveFault::StoreSlow)]
            }
            FaultKind::StoreLoses(percent) => {
                self.disturb(None, until_ms);
                self.store.loses_percent = *percent;
                vec![self.activate(ActiveFault::StoreLoses)]
            }
            _ => Vec::new(),
        }
    }

    fn on_nodes(
        &mut self,
        target: &FaultTarget,
        hit: impl Fn(&mut Self, usize) -> ActiveFault,
    ) -> Vec<u64> {
        let mut ids = Vec::new();
        for node in self.resolve_nodes(target) {
            let active = hit(self, node);
            ids.push(self.activate(active));
        }
        ids
    }

    fn on_workers(
        &mut self,
        target: &FaultTarget,
        hit: impl Fn(&mut Self, usize) -> ActiveFault,
    ) -> Vec<u64> {
        let mut ids = Vec::new();
        for worker in self.resolve_workers(target) {
            let active = hit(self, worker);
            ids.push(self.activate(active));
        }
        ids
    }

    fn activate(&mut self, active: ActiveFault) -> u64 {
        self.next_fault += 1;
        self.active.insert(self.next_fault, active);
        self.next_fault
    }

    fn disturb(&mut self, node: Option<usize>, until_ms: u64) {
        let from_ms = self.now_ms;
        self.record.disturbances.push(SeenDisturbance { node, from_ms, until_ms });
    }

    pub(crate) fn heal(&mut self, fault: u64) {
        let Some(active) = self.active.remove(&fault) else { return };
        if let ActiveFault::NodeDown(node) = active
            && self.nodes[node].shutdown_ms.is_some()
        {
            // It has not finished its shutdown; its successor starts when it has.
            self.active.insert(fault, active);
            self.queue.push(self.now_ms + RESTART_MS, WorldEvent::Heal { fault });
            return;
        }
        self.trace.line(self.now_ms, || format!("HEAL {active:?}"));
        match active {
            ActiveFault::NodeDown(node) => self.start_node(node),
            ActiveFault::NodePaused { node, life } => self.resume_node(node, life),
            ActiveFault::WorkerFrozen(worker) => self.wake_worker(worker),
            ActiveFault::WorkerDown(worker) => self.fleet[worker].is_down = false,
            ActiveFault::WorkerSpoiled(worker) => self.fleet[worker].table.set_failing(false),
            ActiveFault::WorkerLeaving(worker) => self.return_worker_to_service(worker),
            ActiveFault::PathCut => self.cuts.heal(fault),
            ActiveFault::StoreDown => {
                let is_still_out =
                    self.active.values().any(|other| matches!(other, ActiveFault::StoreDown));
                self.store.table.set_outage(is_still_out, self.now_ms);
                self.sweep_store();
            }
            ActiveFault::StoreSlow => self.store.slow_ms = 0,
            ActiveFault::StoreLoses => self.store.loses_percent = 0,
        }
    }

    fn note_losses(&mut self, node: usize) {
        let (member, boot) = (self.nodes[node].member.clone(), self.nodes[node].boot);
        let pieces: Vec<PieceName> = self
            .store
            .table
            .history()
            .filter_map(|write| PieceName::from_store_key(&write.key))
            .collect::<std::collections::BTreeSet<_>>()
            .into_iter()
            .collect();
        for piece in pieces {
            let Some((_, record)) = self.owner_of(&piece) else { continue };
            if record.owner.as_ref() == Some(&member) && record.boot == boot {
                self.record.losses.push(SeenLoss {
                    piece,
                    epoch: record.epoch,
                    lost_ms: self.now_ms,
                    replaced_ms: None,
                    returned_ms: None,
                });
            }
        }
    }

    fn kill_node(&mut self, node: usize) {
        if !self.nodes[node].is_alive() {
            return;
        }
        self.note_losses(node);
        for shutdown in &mut self.record.shutdowns {
            if shutdown.node == node && shutdown.ended_ms.is_none() {
                shutdown.is_spoiled = true;
            }
        }
        self.end_process(node);
    }

    fn end_process(&mut self, node: usize) {
        self.record.note_down(node, self.now_ms);
        let waiters = self.nodes[node].stop();
        self.store.drop_watches(Some(node));
        for row in &mut self.fleet {
            row.drop_calls(Some(node));
        }
        self.break_links(node);
        for (_, waiter) in waiters {
            self.break_waiter(waiter);
        }
    }

    pub(crate) fn start_node(&mut self, node: usize) {
        if self.nodes[node].is_alive() {
            return;
        }
        let boot = self.dice.random_range(1..u64::MAX);
        let clock_base_ms = CLOCK_BASE_MS + self.draw(CLOCK_SKEW_MS);
        self.nodes[node].start(boot, clock_base_ms);
        let life = self.nodes[node].life;
        self.record.lives.push((node, life, self.now_ms));
        self.record.note_up(node, self.now_ms);
        self.trace.line(self.now_ms, || format!("START node-{} boot {boot}", node + 1));
        let first_ms = self.draw(TICK_MS);
        self.queue.push(self.now_ms + first_ms, WorldEvent::Tick { node, life });
        let read_ms = self.now_ms + FIRST_HOSTS_READ_MS;
        self.queue.push(read_ms, WorldEvent::HostsRead { node, life });
    }

    fn pause_node(&mut self, node: usize) -> ActiveFault {
        if self.nodes[node].is_running() {
            self.note_losses(node);
            self.nodes[node].is_paused = true;
        }
        ActiveFault::NodePaused { node, life: self.nodes[node].life }
    }

    /// Wakes a stopped process. What arrived meanwhile waits in its sockets, and calls that got no
    /// answer time out; whether its own connections outlived the pause is left to chance.
    fn resume_node(&mut self, node: usize, life: u64) {
        if self.nodes[node].life != life || !self.nodes[node].is_paused {
            return;
        }
        self.nodes[node].is_paused = false;
        let (boot, now_ms) = (self.nodes[node].boot, self.now_ms);
        for loss in &mut self.record.losses {
            if loss.returned_ms.is_none() && loss.lost_ms <= now_ms {
                let is_hers =
                    self.store.table.entry(&loss.piece.store_key()).is_some_and(|entry| {
                        OwnerRecord::from_json(&entry.value).is_ok_and(|record| record.boot == boot)
                    });
                loss.returned_ms = is_hers.then_some(now_ms);
            }
        }
        if self.draws_percent(50) {
            self.break_own_links(node);
        }
        for origin in std::mem::take(&mut self.nodes[node].late) {
            let input = self.lost_input(origin);
            self.finish_call(origin, input);
        }
        self.queue.push(self.now_ms, WorldEvent::Wake { node, life });
    }

    fn break_own_links(&mut self, node: usize) {
        for (from, to) in self.links.pairs() {
            let Some(row) = self.links.get_mut(from, to) else { continue };
            if from == node && row.is_up {
                row.is_up = false;
                let member = self.nodes[to].member.clone();
                self.push_input(node, NodeInput::PeerDown { member });
            }
        }
    }

    fn shut_node_down(&mut self, node: usize) {
        if !self.nodes[node].is_running() {
            return;
        }
        self.nodes[node].shutdown_ms = Some(self.now_ms);
        self.record.shutdowns.push(SeenShutdown {
            node,
            asked_ms: self.now_ms,
            ended_ms: None,
            cut_calls: 0,
            is_spoiled: false,
        });
        self.push_input(node, NodeInput::Shutdown);
    }

    pub(crate) fn on_exit(&mut self, node: usize) {
        self.trace.line(self.now_ms, || format!("EXIT node-{}", node + 1));
        let cut_calls = self.nodes[node].waiters.len();
        let now_ms = self.now_ms;
        let shutdowns = &mut self.record.shutdowns;
        if let Some(shutdown) = shutdowns.iter_mut().rev().find(|shutdown| shutdown.node == node) {
            shutdown.ended_ms.get_or_insert(now_ms);
            shutdown.cut_calls += cut_calls;
        }
        if self.nodes[node].is_alive() {
            self.end_process(node);
        }
    }

    fn cut(
        &mut self,
        from: Vec<NetPlace>,
        to: Vec<NetPlace>,
        is_both: bool,
        until_ms: u64,
    ) -> Vec<u64> {
        let fault = self.activate(ActiveFault::PathCut);
        for place in from.iter().chain(&to) {
            if let NetPlace::Node(node) = place {
                self.disturb(Some(*node), until_ms);
            }
        }
        self.drop_calls_across(&from, &to);
        if is_both {
            self.cuts.add(fault, to.clone(), from.clone());
        }
        self.cuts.add(fault, from, to);
        vec![fault]
    }

    /// Drops the calls that wait at stand-ins across a path: they time out at their nodes.
    fn drop_calls_across(&mut self, from: &[NetPlace], to: &[NetPlace]) {
        for (&a, &b) in from.iter().flat_map(|a| to.iter().map(move |b| (a, b))) {
            match (a, b) {
                (NetPlace::Node(node), NetPlace::Store)
                | (NetPlace::Store, NetPlace::Node(node)) => {
                    self.store.drop_watches(Some(node));
                }
                (NetPlace::Node(node), NetPlace::Worker(worker))
                | (NetPlace::Worker(worker), NetPlace::Node(node)) => {
                    self.fleet[worker].drop_calls(Some(node));
                }
                _ => {}
            }
        }
    }

    fn silence(&mut self, from: &[NetPlace], to: &[NetPlace]) {
        self.record.faults += 1;
        self.drop_calls_across(from, to);
        for (&a, &b) in from.iter().flat_map(|a| to.iter().map(move |b| (a, b))) {
            let (NetPlace::Node(a), NetPlace::Node(b)) = (a, b) else { continue };
            if let Some(row) = self.links.get_mut(a, b) {
                row.is_silent = row.is_up;
            }
        }
    }

    fn crash_worker(&mut self, worker: usize) {
        let boot = self.dice.random_range(1..u64::MAX);
        let row = &mut self.fleet[worker];
        row.table.restart(boot, self.now_ms);
        row.is_down = true;
        for origin in row.drop_calls(None) {
            self.lose_worker_call(origin);
        }
    }

    fn lose_worker_call(&mut self, origin: CallOrigin) {
        let at_ms = self.now_ms + self.draw_latency_ms();
        let result = Err(WorkerFailure::Lost);
        self.queue.push(at_ms, WorldEvent::WorkerReturn { origin, result });
    }

    fn wake_worker(&mut self, worker: usize) {
        self.fleet[worker].table.set_frozen(false, self.now_ms);
        for (origin, call) in self.fleet[worker].take_queued() {
            self.take_worker_call(origin, worker, call);
        }
        self.sweep_worker(worker);
    }

    fn leave_worker(&mut self, worker: usize) {
        let name = self.fleet[worker].worker.clone();
        self.hosts.mark(&name, HostState::Leaving, self.now_ms);
        let shown_ms = self.now_ms + self.script.cell.host_lag_ms;
        self.record.leavings.push(SeenLeaving { worker: name, shown_ms, until_ms: u64::MAX });
    }

    fn return_worker_to_service(&mut self, worker: usize) {
        let name = self.fleet[worker].worker.clone();
        self.hosts.mark(&name, HostState::Live, self.now_ms);
        let mut leavings = self.record.leavings.iter_mut().rev();
        if let Some(leaving) = leavings.find(|leaving| leaving.worker == name) {
            leaving.until_ms = self.now_ms;
        }
    }

    fn set_store_out(&mut self) {
        self.store.table.set_outage(true, self.now_ms);
        self.store.drop_watches(None);
    }
}
