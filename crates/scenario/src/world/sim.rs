//! The simulated world and its event loop.

use {
    super::{
        CallOrigin, CallerBook, CutTable, EventQueue, LinkTable, ManifestChange, NodeProcess,
        PollSchedule, SimStore, SimWorker, TraceLog, WorldRecord,
    },
    crate::script::{FaultKind, ManifestEdit, ScenarioScript, ScriptStep},
    damaskrack_manifest::ManifestDocument,
    damaskrack_node::NodeInput,
    damaskrack_outside::{StoreCall, StoreError, StoreReply, WorkerCall, WorkerError, WorkerReply},
    damaskrack_standin::HostTable,
    damaskrack_wire::PeerMessage,
    rand::rngs::SmallRng,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Interval at which a node is ticked without input, in milliseconds.
pub(crate) const TICK_INTERVAL_MS: u64 = 50;

/// Event in simulated time.
#[derive(Debug)]
pub(crate) enum WorldEvent {
    Tick { node: usize, life: u64 },
    Wake { node: usize, life: u64 },
    Frame { from: usize, to: usize, generation: u64, boot: u64, message: PeerMessage },
    LinkCheck,
    StoreArrive { origin: CallOrigin, request: StoreCall },
    StoreReturn { origin: CallOrigin, result: Result<StoreReply, StoreError> },
    StorePoll,
    WatchExpire { origin: CallOrigin },
    WorkerArrive { origin: CallOrigin, worker: usize, request: WorkerCall },
    WorkerReturn { origin: CallOrigin, result: Result<WorkerReply, WorkerError> },
    WorkerPoll { worker: usize },
    SyncExpire { origin: CallOrigin, worker: usize },
    CallTimeout { origin: CallOrigin },
    HostsRead { node: usize, life: u64 },
    Step { index: usize },
    Heal { fault: u64 },
    SubmitTry { work: usize },
    QueryJob { work: usize },
    CancelJob { work: usize },
    CallerTimeout { node: usize, life: u64, call: u64 },
    ChangeTry { change: usize },
    ChangeTimeout { change: usize, call: u64 },
}

/// Fault in effect, with what is needed to heal it.
#[derive(Debug, Clone)]
pub(crate) enum ActiveFault {
    NodeDown(usize),
    NodePaused { node: usize, life: u64 },
    WorkerFrozen(usize),
    WorkerDown(usize),
    WorkerSpoiled(usize),
    WorkerSlow(usize),
    HostsDown,
    WorkerLeaving(usize),
    PathCut,
    StoreDown,
    StoreSlow,
    StoreLoses,
}

/// Simulated cell.
#[derive(Debug)]
pub(crate) struct SimWorld {
    pub(crate) script: ScenarioScript,
    pub(crate) steps: Vec<ScriptStep>,
    pub(crate) now_ms: u64,
    pub(crate) queue: EventQueue<WorldEvent>,
    pub(crate) rng: SmallRng,
    pub(crate) nodes: Vec<NodeProcess>,
    pub(crate) links: LinkTable,
    pub(crate) cuts: CutTable,
    pub(crate) store: SimStore,
    pub(crate) fleet: Vec<SimWorker>,
    pub(crate) polls: PollSchedule,
    pub(crate) addresses: BTreeMap<SocketAddr, usize>,
    pub(crate) hosts: HostTable,
    pub(crate) book: CallerBook,
    pub(crate) changes: Vec<ManifestChange>,
    pub(crate) documents: Vec<ManifestDocument>,
    pub(crate) active_faults: BTreeMap<u64, ActiveFault>,
    pub(crate) next_fault: u64,
    pub(crate) next_call: u64,
    pub(crate) record: WorldRecord,
    pub(crate) trace: TraceLog,
}

impl SimWorld {
    /// Processes all events due at or before `until_ms`.
    pub(crate) fn run_until(&mut self, until_ms: u64) {
        while let Some((at_ms, event)) = self.queue.pop(until_ms) {
            self.now_ms = at_ms;
            self.handle(event);
        }
        self.now_ms = until_ms;
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick { node, life } => self.on_tick(node, life),
            WorldEvent::Wake { node, life } => self.on_wake(node, life),
            WorldEvent::Frame { from, to, generation, boot, message } => {
                self.on_frame(from, to, generation, boot, message);
            }
            WorldEvent::LinkCheck => self.on_link_check(),
            WorldEvent::StoreArrive { origin, request } => self.on_store_arrive(origin, request),
            WorldEvent::StoreReturn { origin, result } => {
                let call = origin.call;
                self.finish_call(origin, NodeInput::Store { call, result });
            }
            WorldEvent::StorePoll => self.poll_store(),
            WorldEvent::WatchExpire { origin } => self.on_watch_expire(origin),
            WorldEvent::WorkerArrive { origin, worker, request } => {
                self.on_worker_arrive(origin, worker, request);
            }
            WorldEvent::WorkerReturn { origin, result } => {
                let call = origin.call;
                self.finish_call(origin, NodeInput::Worker { call, result });
            }
            WorldEvent::WorkerPoll { worker } => self.poll_worker(worker),
            WorldEvent::SyncExpire { origin, worker } => self.on_sync_expire(origin, worker),
            WorldEvent::CallTimeout { origin } => self.on_call_timeout(origin),
            WorldEvent::HostsRead { node, life } => self.on_hosts_read(node, life),
            other => self.handle_script(&other),
        }
    }

    /// Handles events of the script, callers and operators.
    fn handle_script(&mut self, event: &WorldEvent) {
        match *event {
            WorldEvent::Step { index } => self.on_step(index),
            WorldEvent::Heal { fault } => self.heal(fault),
            WorldEvent::SubmitTry { work } => self.on_submit_try(work),
            WorldEvent::QueryJob { work } => self.on_query_job(work),
            WorldEvent::CancelJob { work } => self.on_cancel_job(work),
            WorldEvent::CallerTimeout { node, life, call } => {
                self.on_caller_timeout(node, life, call);
            }
            WorldEvent::ChangeTry { change } => self.on_change_try(change),
            WorldEvent::ChangeTimeout { change, call } => self.on_change_timeout(change, call),
            _ => {}
        }
    }

    fn on_tick(&mut self, node: usize, life: u64) {
        if self.nodes[node].life != life || !self.nodes[node].is_alive() {
            return;
        }
        self.queue.push(self.now_ms + TICK_INTERVAL_MS, WorldEvent::Tick { node, life });
        self.run_node(node);
    }

    fn on_wake(&mut self, node: usize, life: u64) {
        if self.nodes[node].life == life {
            self.nodes[node].is_waking = false;
            self.run_node(node);
        }
    }

    /// Queues an input for a node and wakes it; a paused process gets the input when it resumes.
    pub(crate) fn push_input(&mut self, node: usize, input: NodeInput) {
        let process = &mut self.nodes[node];
        if !process.is_alive() {
            return;
        }
        process.inbox.push(input);
        if !process.is_paused && !process.is_waking {
            process.is_waking = true;
            let life = process.life;
            self.queue.push(self.now_ms, WorldEvent::Wake { node, life });
        }
    }

    /// Ticks a node with its queued inputs and performs the resulting actions.
    fn run_node(&mut self, node: usize) {
        let process = &mut self.nodes[node];
        if process.is_paused {
            return;
        }
        let clock = process.clock(self.now_ms);
        let inputs = std::mem::take(&mut process.inbox);
        self.trace_inputs(node, &inputs);
        let Some(core) = self.nodes[node].core.as_mut() else { return };
        for action in core.tick(clock, inputs) {
            self.perform_action(node, action);
        }
    }

    /// Returns a random number below `bound`, or 0 if `bound` is 0.
    pub(crate) fn random_below(&mut self, bound: u64) -> u64 {
        use rand::Rng;
        if bound == 0 { 0 } else { self.rng.random_range(0..bound) }
    }

    /// Returns `true` with a probability of `percent`.
    pub(crate) fn random_chance(&mut self, percent: u64) -> bool {
        self.random_below(100) < percent
    }

    /// Returns a random network latency, in milliseconds.
    pub(crate) fn random_latency_ms(&mut self) -> u64 {
        let jitter_ms = self.random_below(self.script.cell.jitter_ms + 1);
        self.script.cell.latency_ms + jitter_ms
    }

    /// Allocates the id of a caller's or operator's call.
    pub(crate) fn allocate_call(&mut self) -> u64 {
        self.next_call += 1;
        self.next_call
    }

    fn on_step(&mut self, index: usize) {
        let ScriptStep { line, action, .. } = self.steps[index].clone();
        self.trace.line(self.now_ms, || format!("STEP of line {line}"));
        self.perform_script_action(action);
    }

    /// Starts an operator's change of the manifest, through node `via` if given.
    pub(crate) fn submit_change(&mut self, edit: ManifestEdit, via: Option<usize>) {
        let change = self.changes.len();
        self.changes.push(ManifestChange::new(edit, via));
        self.queue.push(self.now_ms, WorldEvent::ChangeTry { change });
    }

    /// Applies a fault and, if `for_ms` is given, schedules its healing after that time.
    pub(crate) fn inject_fault(&mut self, kind: &FaultKind, for_ms: Option<u64>) {
        self.trace.line(self.now_ms, || format!("FAULT {kind:?} for {for_ms:?} ms"));
        for fault in self.apply_fault(kind, for_ms) {
            self.record.faults += 1;
            if let Some(for_ms) = for_ms {
                self.queue.push(self.now_ms + for_ms, WorldEvent::Heal { fault });
            }
        }
    }
}
