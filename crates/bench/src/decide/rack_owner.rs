//! Benchmark of a node that owns racks: it admits attempts that queue owners place, starts them on
//! workers and reports their end.

use {
    super::{
        cell::{CellPlan, CellSize, OwnedPieces, WORKER},
        meter::TickCost,
        node_harness::{CellActivity, NodeHarness},
    },
    anyhow::{Result, bail},
    damaskrack_model::{
        AttemptId, Epoch, JobId, PriorityClass, RackName, Resources, TeamName, WorkKind,
    },
    damaskrack_node::{NodeAction, NodeInput},
    damaskrack_outside::WorkerCall,
    damaskrack_standin::{CheckpointPlace, WorkerPlan, WorkerTable},
    damaskrack_wire::{PeerMessage, PlaceMode, PlaceOrder},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::HashMap, net::SocketAddr},
};

/// Slots of a simulated worker, more than a real one has so that one rack can take the whole load.
const SLOTS_PER_WORKER: u32 = 256;

/// Longest time for the node to take over its racks, in simulated milliseconds.
const READY_TIMEOUT_MS: u64 = 60_000;

/// A simulated worker and the sync call that it holds open, with the time at which that ends.
#[derive(Debug)]
struct SimulatedWorker {
    table: WorkerTable,
    pending_sync: Option<(u64, WorkerCall, u64)>,
}

/// Drives a rack owner against simulated queue owners and workers.
#[derive(Debug)]
pub(super) struct RackOwnerBench {
    harness: NodeHarness,
    rng: SmallRng,
    workers: Vec<SimulatedWorker>,
    worker_by_address: HashMap<SocketAddr, usize>,
    racks: Vec<RackName>,
    teams: Vec<(TeamName, usize)>,
    serial: u64,
    started_attempts: u64,
}

impl RackOwnerBench {
    /// Starts a node and waits until it has taken over its racks.
    ///
    /// # Errors
    ///
    /// Returns an error if the takeover does not complete in time.
    pub(super) fn start(size: CellSize, seed: u64) -> Result<Self> {
        let plan = CellPlan::new(size, OwnedPieces::Racks)?;
        let harness = NodeHarness::new(&plan)?;
        let owned = plan.racks.iter().filter(|rack| rack.owner == 0);
        let racks: Vec<RackName> = owned.map(|rack| rack.name.clone()).collect();
        let (mut workers, mut worker_by_address) = (Vec::new(), HashMap::new());
        for host in plan.hosts()?.into_iter().filter(|host| racks.contains(&host.rack)) {
            let mut plan = WorkerPlan::new(host.worker, host.zone, WORKER, 5);
            plan.slots = SLOTS_PER_WORKER;
            worker_by_address.insert(host.address, workers.len());
            let table = WorkerTable::new(plan, CheckpointPlace::default());
            workers.push(SimulatedWorker { table, pending_sync: None });
        }
        let teams = plan.teams.iter().map(|team| (team.name.clone(), team.owner)).collect();
        let rng = SmallRng::seed_from_u64(seed);
        let mut bench = Self {
            harness,
            rng,
            workers,
            worker_by_address,
            racks,
            teams,
            serial: 0,
            started_attempts: 0,
        };
        bench.warm_up()?;
        Ok(bench)
    }

    /// Places an attempt every second until more than three have started.
    fn warm_up(&mut self) -> Result<()> {
        for _ in 0..READY_TIMEOUT_MS {
            self.step(CellActivity::Idle, 0);
            if self.harness.now_ms.is_multiple_of(1_000) {
                self.place_attempt();
            }
            if self.started_attempts > 3 {
                return Ok(());
            }
        }
        bail!("the node has not taken over its racks")
    }

    /// Measures the node without load.
    pub(super) fn idle(&mut self, run_ms: u64) -> TickCost {
        (0..500).for_each(|_| self.step(CellActivity::Idle, 0));
        self.harness.reset_meter();
        for _ in 0..run_ms {
            self.step(CellActivity::Idle, 0);
        }
        self.harness.cost("rack", 0, run_ms)
    }

    /// Measures the node while attempts arrive at a fixed rate, after 500 ms of warm-up.
    pub(super) fn load(&mut self, rate: u64, run_ms: u64) -> TickCost {
        (0..500).for_each(|_| self.load_step(rate));
        self.harness.reset_meter();
        let before = self.started_attempts;
        for _ in 0..run_ms {
            self.load_step(rate);
        }
        let cost = self.harness.cost("rack", rate, run_ms);
        TickCost { decisions: self.started_attempts - before, ..cost }
    }

    fn load_step(&mut self, rate: u64) {
        let (before, now_ms) = (self.serial, self.harness.now_ms);
        let due = rate * (now_ms + 1) / 1_000 - rate * now_ms / 1_000;
        for _ in 0..due {
            self.place_attempt();
        }
        self.step(CellActivity::Busy, self.serial - before);
    }

    fn place_attempt(&mut self) {
        self.serial += 1;
        let rack = self.racks[self.rng.random_range(0..self.racks.len())].clone();
        let (team, peer) = self.teams[self.rng.random_range(0..self.teams.len())].clone();
        let Ok(queue) = "queue-0".parse() else { return };
        let job = JobId { team: team.clone(), queue, nonce: self.serial };
        let order = PlaceOrder {
            attempt: AttemptId { job, task: 0, epoch: Epoch(1), number: 1 },
            resources: Resources { millicores: 50, memory_bytes: 64 << 20, accelerators: 0 },
            kind: WorkKind::Request,
            priority: PriorityClass::Normal,
            is_entitled: true,
            idempotent: true,
            expected_ms: 50,
            payload: r#"{"run_ms":50,"output":"clear"}"#.to_owned(),
            mode: PlaceMode::Start,
        };
        let message = PeerMessage::Place { team, epoch: Epoch(1), rack, orders: vec![order] };
        self.harness.push_peer_message(peer, message);
    }

    fn step(&mut self, activity: CellActivity, decisions: u64) {
        self.complete_due_syncs();
        for action in self.harness.step(activity, decisions) {
            match action {
                NodeAction::Worker { call, address, request, .. } => {
                    self.handle_worker_call(call, address, request);
                }
                NodeAction::Peer { member, message: PeerMessage::Ended { rack, notices } } => {
                    let attempts = notices.into_iter().map(|notice| notice.attempt).collect();
                    let peer = member.as_str().trim_start_matches("node-").parse().unwrap_or(1);
                    self.harness.push_peer_message(peer, PeerMessage::EndedAck { rack, attempts });
                }
                _ => {}
            }
        }
    }

    fn handle_worker_call(&mut self, call: u64, address: SocketAddr, request: WorkerCall) {
        let Some(&index) = self.worker_by_address.get(&address) else { return };
        let now_ms = self.harness.now_ms;
        let worker = &mut self.workers[index];
        let reply = worker.table.handle(&request, now_ms);
        if let WorkerCall::Start { orders, .. } = &request {
            self.started_attempts += orders.len() as u64;
        }
        if let WorkerCall::Sync { wait_ms: wait_ms @ 1.., .. } = request {
            match worker.table.poll(&request, now_ms) {
                Some(reply) => {
                    self.harness.inputs.push(NodeInput::Worker { call, result: Ok(reply) });
                }
                None => worker.pending_sync = Some((call, request, now_ms + wait_ms)),
            }
        } else {
            self.harness.inputs.push(NodeInput::Worker { call, result: Ok(reply) });
        }
    }

    fn complete_due_syncs(&mut self) {
        let now_ms = self.harness.now_ms;
        for worker in &mut self.workers {
            if worker.table.next_event_ms().is_some_and(|at_ms| at_ms <= now_ms) {
                worker.table.advance(now_ms);
            }
            let Some((call, request, until_ms)) = &worker.pending_sync else { continue };
            let reply = worker
                .table
                .poll(request, now_ms)
                .or_else(|| (now_ms >= *until_ms).then(|| worker.table.answer(request, now_ms)));
            if let Some(reply) = reply {
                self.harness.inputs.push(NodeInput::Worker { call: *call, result: Ok(reply) });
                worker.pending_sync = None;
            }
        }
    }
}
