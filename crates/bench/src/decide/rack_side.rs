//! A node that owns racks: it admits what queue owners place, starts it and reports its end.

use {
    super::{
        cell::{CellPlan, CellSize, OwnedPart, WORKER},
        meter::TickCost,
        rig::{CellMood, NodeRig},
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

/// Slots of a fake worker, more than a real one has so that one rack can take the whole load.
const SLOTS: u32 = 256;

/// Longest time until the node serves its racks, in simulated milliseconds.
const READY_MS: u64 = 60_000;

#[derive(Debug)]
struct FakeWorker {
    table: WorkerTable,
    sync: Option<(u64, WorkerCall, u64)>,
}

/// A rack owner among fake queue owners and workers.
#[derive(Debug)]
pub(super) struct RackSide {
    rig: NodeRig,
    dice: SmallRng,
    workers: Vec<FakeWorker>,
    places: HashMap<SocketAddr, usize>,
    racks: Vec<RackName>,
    teams: Vec<(TeamName, usize)>,
    serial: u64,
    started: u64,
}

impl RackSide {
    /// Lets a node take its racks over.
    pub(super) fn start(size: CellSize, seed: u64) -> Result<Self> {
        let plan = CellPlan::new(size, OwnedPart::Racks)?;
        let rig = NodeRig::new(&plan)?;
        let owned = plan.racks.iter().filter(|row| row.owner == 0);
        let racks: Vec<RackName> = owned.map(|row| row.name.clone()).collect();
        let (mut workers, mut places) = (Vec::new(), HashMap::new());
        for row in plan.hosts()?.into_iter().filter(|row| racks.contains(&row.rack)) {
            let mut plan = WorkerPlan::new(row.worker, row.zone, WORKER, 5);
            plan.slots = SLOTS;
            places.insert(row.address, workers.len());
            let table = WorkerTable::new(plan, CheckpointPlace::default());
            workers.push(FakeWorker { table, sync: None });
        }
        let teams = plan.teams.iter().map(|row| (row.name.clone(), row.owner)).collect();
        let dice = SmallRng::seed_from_u64(seed);
        let mut side = Self { rig, dice, workers, places, racks, teams, serial: 0, started: 0 };
        side.warm_up()?;
        Ok(side)
    }

    fn warm_up(&mut self) -> Result<()> {
        for _ in 0..READY_MS {
            self.step(CellMood::Idle, 0);
            if self.rig.now_ms.is_multiple_of(1_000) {
                self.place();
            }
            if self.started > 3 {
                return Ok(());
            }
        }
        bail!("the node has not taken its racks over")
    }

    /// Measures a quiet cell.
    pub(super) fn idle(&mut self, run_ms: u64) -> TickCost {
        (0..500).for_each(|_| self.step(CellMood::Idle, 0));
        self.rig.reset_meter();
        for _ in 0..run_ms {
            self.step(CellMood::Idle, 0);
        }
        self.rig.cost("rack", 0, run_ms)
    }

    /// Measures while attempts come in at a fixed rate.
    pub(super) fn load(&mut self, rate: u64, run_ms: u64) -> TickCost {
        (0..500).for_each(|_| self.load_step(rate));
        self.rig.reset_meter();
        let before = self.started;
        for _ in 0..run_ms {
            self.load_step(rate);
        }
        let cost = self.rig.cost("rack", rate, run_ms);
        TickCost { decisions: self.started - before, ..cost }
    }

    fn load_step(&mut self, rate: u64) {
        let (before, now_ms) = (self.serial, self.rig.now_ms);
        let due = rate * (now_ms + 1) / 1_000 - rate * now_ms / 1_000;
        for _ in 0..due {
            self.place();
        }
        self.step(CellMood::Busy, self.serial - before);
    }

    fn place(&mut self) {
        self.serial += 1;
        let rack = self.racks[self.dice.random_range(0..self.racks.len())].clone();
        let (team, peer) = self.teams[self.dice.random_range(0..self.teams.len())].clone();
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
        self.rig.push_peer(peer, message);
    }

    fn step(&mut self, mood: CellMood, decisions: u64) {
        self.answer_syncs();
        for action in self.rig.step(mood, decisions) {
            match action {
                NodeAction::Worker { call, address, request, .. } => {
                    self.take_call(call, address, request);
                }
                NodeAction::Peer { member, message: PeerMessage::Ended { rack, notices } } => {
                    let attempts = notices.into_iter().map(|notice| notice.attempt).collect();
                    let peer = member.as_str().trim_start_matches("node-").parse().unwrap_or(1);
                    self.rig.push_peer(peer, PeerMessage::EndedAck { rack, attempts });
                }
                _ => {}
            }
        }
    }

    fn take_call(&mut self, call: u64, address: SocketAddr, request: WorkerCall) {
        let Some(&index) = self.places.get(&address) else { return };
        let now_ms = self.rig.now_ms;
        let worker = &mut self.workers[index];
        let reply = worker.table.handle(&request, now_ms);
        if let WorkerCall::Start { orders, .. } = &request {
            self.started += orders.len() as u64;
        }
        if let WorkerCall::Sync { wait_ms: wait_ms @ 1.., .. } = request {
            match worker.table.poll(&request, now_ms) {
                Some(reply) => self.rig.inputs.push(NodeInput::Worker { call, result: Ok(reply) }),
                None => worker.sync = Some((call, request, now_ms + wait_ms)),
            }
        } else {
            self.rig.inputs.push(NodeInput::Worker { call, result: Ok(reply) });
        }
    }

    fn answer_syncs(&mut self) {
        let now_ms = self.rig.now_ms;
        for worker in &mut self.workers {
            if worker.table.next_event_ms().is_some_and(|at_ms| at_ms <= now_ms) {
                worker.table.advance(now_ms);
            }
            let Some((call, request, until_ms)) = &worker.sync else { continue };
            let reply = worker
                .table
                .poll(request, now_ms)
                .or_else(|| (now_ms >= *until_ms).then(|| worker.table.answer(request, now_ms)));
            if let Some(reply) = reply {
                self.rig.inputs.push(NodeInput::Worker { call: *call, result: Ok(reply) });
                worker.sync = None;
            }
        }
    }
}
