//! A node that owns teams: it takes requests, chooses racks and settles what has ended.

use {
    super::{
        cell::{CellPlan, CellSize, OwnedPart, PEER_BOOT},
        meter::TickCost,
        rig::{CellMood, NodeRig},
    },
    anyhow::{Result, bail},
    damaskrack_model::{
        AttemptId, CallId, Epoch, PriorityClass, QueueName, RackName, Resources, TaskResult,
        TeamName, WorkKind, WorkSpec, WorkerName,
    },
    damaskrack_node::NodeAction,
    damaskrack_wire::{EndedNotice, PeerMessage, PlaceOutcome, SubmitOrder},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::{BTreeMap, HashMap},
};

/// Run time of a request, in milliseconds.
const RUN_MS: u64 = 50;

/// Longest time until the node serves its teams, in simulated milliseconds.
const READY_MS: u64 = 60_000;

/// A queue owner among fake racks.
#[derive(Debug)]
pub(super) struct QueueSide {
    rig: NodeRig,
    dice: SmallRng,
    rolls_left: usize,
    ends: BTreeMap<u64, Vec<(RackName, AttemptId)>>,
    peers: HashMap<RackName, usize>,
    queues: Vec<(TeamName, QueueName)>,
    worker: WorkerName,
    serial: u64,
    answers: u64,
}

impl QueueSide {
    /// Lets a node take its teams over.
    pub(super) fn start(size: CellSize, seed: u64) -> Result<Self> {
        let plan = CellPlan::new(size, OwnedPart::Teams)?;
        let rig = NodeRig::new(&plan)?;
        let peers = plan.racks.iter().map(|row| (row.name.clone(), row.owner)).collect();
        let mut queues = Vec::new();
        for row in plan.teams.iter().filter(|row| row.owner == 0) {
            queues.push((row.name.clone(), CellPlan::queue(&row.name)?));
        }
        let mut side = Self {
            rig,
            dice: SmallRng::seed_from_u64(seed),
            rolls_left: size.owned_teams() * size.racks(),
            ends: BTreeMap::new(),
            peers,
            queues,
            worker: "worker-0".parse()?,
            serial: 0,
            answers: 0,
        };
        for _ in 0..READY_MS {
            if side.rolls_left == 0 {
                side.settle();
                return Ok(side);
            }
            side.step(CellMood::Idle, 0);
        }
        bail!("the node has not taken its teams over: {} roll answers left", side.rolls_left)
    }

    fn settle(&mut self) {
        for _ in 0..3_000 {
            self.step(CellMood::Idle, 0);
        }
    }

    /// Measures a quiet cell.
    pub(super) fn idle(&mut self, run_ms: u64) -> TickCost {
        self.rig.reset_meter();
        for _ in 0..run_ms {
            self.step(CellMood::Idle, 0);
        }
        self.rig.cost("queue", 0, run_ms)
    }

    /// Measures while requests come in at a fixed rate.
    pub(super) fn load(&mut self, rate: u64, run_ms: u64) -> TickCost {
        for _ in 0..500 {
            self.load_step(rate);
        }
        self.rig.reset_meter();
        let before = self.answers;
        for _ in 0..run_ms {
            self.load_step(rate);
        }
        let cost = self.rig.cost("queue", rate, run_ms);
        TickCost { decisions: self.answers - before, ..cost }
    }

    fn load_step(&mut self, rate: u64) {
        let (before, now_ms) = (self.serial, self.rig.now_ms);
        let due = rate * (now_ms + 1) / 1_000 - rate * now_ms / 1_000;
        for _ in 0..due {
            self.submit();
        }
        self.step(CellMood::Busy, self.serial - before);
    }

    fn submit(&mut self) {
        self.serial += 1;
        let index = usize::try_from(self.serial).unwrap_or(0) % self.queues.len();
        let (team, queue) = self.queues[index].clone();
        let order = SubmitOrder {
            queue,
            nonce: self.dice.random(),
            first_epoch: None,
            age_ms: 0,
            copy: 1,
            key: None,
            idempotency_key: None,
            is_waiting: true,
            version: 1,
            spec: WorkSpec {
                kind: WorkKind::Request,
                tasks: 1,
                resources: Resources { millicores: 100, memory_bytes: 64 << 20, accelerators: 0 },
                idempotent: true,
                priority: PriorityClass::Normal,
                expected_ms: RUN_MS,
                deadline_ms: 0,
                payload: "vessel Galeb".to_owned(),
            },
        };
        let call = CallId { boot: PEER_BOOT, serial: self.serial };
        self.rig.push_peer(1, PeerMessage::Submit { call, team, order });
    }

    fn step(&mut self, mood: CellMood, decisions: u64) {
        let now_ms = self.rig.now_ms;
        while let Some(entry) = self.ends.first_entry()
            && *entry.key() <= now_ms
        {
            for (rack, attempt) in entry.remove() {
                self.end(rack, attempt);
            }
        }
        for action in self.rig.step(mood, decisions) {
            if let NodeAction::Peer { message, .. } = action {
                self.take(message);
            }
        }
    }

    fn end(&mut self, rack: RackName, attempt: AttemptId) {
        let peer = self.peers.get(&rack).copied().unwrap_or(1);
        let notice = EndedNotice {
            attempt,
            result: TaskResult::Succeeded,
            output: "clear".to_owned(),
            is_displaced: false,
        };
        self.rig.push_peer(peer, PeerMessage::Ended { rack, notices: vec![notice] });
    }

    fn take(&mut self, message: PeerMessage) {
        match message {
            PeerMessage::RollCall { team, epoch, racks } => {
                racks.into_iter().for_each(|rack| self.answer_roll(&team, epoch, rack));
            }
            PeerMessage::Place { rack, orders, .. } => {
                let peer = self.peers.get(&rack).copied().unwrap_or(1);
                let mut verdicts = Vec::with_capacity(orders.len());
                for order in orders {
                    let ends = self.ends.entry(self.rig.now_ms + RUN_MS).or_default();
                    ends.push((rack.clone(), order.attempt.clone()));
                    let verdict = PlaceOutcome::Started(self.worker.clone());
                    verdicts.push((order.attempt, verdict));
                }
                self.rig.push_peer(peer, PeerMessage::Placed { rack, verdicts });
            }
            PeerMessage::Answer { call, .. } => {
                self.answers += 1;
                self.rig.push_peer(1, PeerMessage::AnswerAck { calls: vec![call] });
            }
            _ => {}
        }
    }

    fn answer_roll(&mut self, team: &TeamName, epoch: Epoch, rack: RackName) {
        let peer = self.peers.get(&rack).copied().unwrap_or(1);
        let team = team.clone();
        self.rolls_left = self.rolls_left.saturating_sub(1);
        let message = PeerMessage::RollAnswer { team, epoch, rack, rows: Vec::new() };
        self.rig.push_peer(peer, message);
    }
}
