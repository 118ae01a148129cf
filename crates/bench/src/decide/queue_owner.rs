//! Benchmark of a node that owns teams: it accepts requests, chooses racks and completes requests
//! whose attempts have ended.

use {
    super::{
        cell::{CellPlan, CellSize, OwnedPieces, PEER_BOOT_NUMBER},
        meter::TickCost,
        node_harness::{CellActivity, NodeHarness},
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
const REQUEST_RUN_MS: u64 = 50;

/// Longest time for the node to take over its teams, in simulated milliseconds.
const READY_TIMEOUT_MS: u64 = 60_000;

/// Drives a queue owner against simulated rack owners.
#[derive(Debug)]
pub(super) struct QueueOwnerBench {
    harness: NodeHarness,
    rng: SmallRng,
    /// Pairs of an owned team and a rack whose reconciliation response is outstanding.
    pending_reconciliations: usize,
    /// Attempts to report as ended, by the time of their end.
    completions: BTreeMap<u64, Vec<(RackName, AttemptId)>>,
    peer_by_rack: HashMap<RackName, usize>,
    queues: Vec<(TeamName, QueueName)>,
    worker: WorkerName,
    serial: u64,
    responses: u64,
}

impl QueueOwnerBench {
    /// Starts a node and waits until it has taken over its teams.
    ///
    /// # Errors
    ///
    /// Returns an error if the takeover does not complete in time.
    pub(super) fn start(size: CellSize, seed: u64) -> Result<Self> {
        let plan = CellPlan::new(size, OwnedPieces::Teams)?;
        let harness = NodeHarness::new(&plan)?;
        let peer_by_rack = plan.racks.iter().map(|rack| (rack.name.clone(), rack.owner)).collect();
        let mut queues = Vec::new();
        for team in plan.teams.iter().filter(|team| team.owner == 0) {
            queues.push((team.name.clone(), CellPlan::queue(&team.name)?));
        }
        let mut bench = Self {
            harness,
            rng: SmallRng::seed_from_u64(seed),
            pending_reconciliations: size.owned_teams() * size.racks(),
            completions: BTreeMap::new(),
            peer_by_rack,
            queues,
            worker: "worker-0".parse()?,
            serial: 0,
            responses: 0,
        };
        for _ in 0..READY_TIMEOUT_MS {
            if bench.pending_reconciliations == 0 {
                bench.settle();
                return Ok(bench);
            }
            bench.step(CellActivity::Idle, 0);
        }
        bail!(
            "the node has not taken over its teams: {} reconciliation responses are outstanding",
            bench.pending_reconciliations
        )
    }

    /// Runs the idle cell for 3 s, so that what the takeover started has completed.
    fn settle(&mut self) {
        for _ in 0..3_000 {
            self.step(CellActivity::Idle, 0);
        }
    }

    /// Measures the node without load.
    pub(super) fn idle(&mut self, run_ms: u64) -> TickCost {
        self.harness.reset_meter();
        for _ in 0..run_ms {
            self.step(CellActivity::Idle, 0);
        }
        self.harness.cost("queue", 0, run_ms)
    }

    /// Measures the node while requests arrive at a fixed rate, after 500 ms of warm-up.
    pub(super) fn load(&mut self, rate: u64, run_ms: u64) -> TickCost {
        for _ in 0..500 {
            self.load_step(rate);
        }
        self.harness.reset_meter();
        let before = self.responses;
        for _ in 0..run_ms {
            self.load_step(rate);
        }
        let cost = self.harness.cost("queue", rate, run_ms);
        TickCost { decisions: self.responses - before, ..cost }
    }

    fn load_step(&mut self, rate: u64) {
        let (before, now_ms) = (self.serial, self.harness.now_ms);
        let due = rate * (now_ms + 1) / 1_000 - rate * now_ms / 1_000;
        for _ in 0..due {
            self.submit();
        }
        self.step(CellActivity::Busy, self.serial - before);
    }

    fn submit(&mut self) {
        self.serial += 1;
        let index = usize::try_from(self.serial).unwrap_or(0) % self.queues.len();
        let (team, queue) = self.queues[index].clone();
        let order = SubmitOrder {
            queue,
            nonce: self.rng.random(),
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
                expected_ms: REQUEST_RUN_MS,
                deadline_ms: 0,
                payload: "vessel Galeb".to_owned(),
            },
        };
        let call = CallId { boot: PEER_BOOT_NUMBER, serial: self.serial };
        self.harness.push_peer_message(1, PeerMessage::Submit { call, team, order });
    }

    fn step(&mut self, activity: CellActivity, decisions: u64) {
        let now_ms = self.harness.now_ms;
        while let Some(entry) = self.completions.first_entry()
            && *entry.key() <= now_ms
        {
            for (rack, attempt) in entry.remove() {
                self.report_end(rack, attempt);
            }
        }
        for action in self.harness.step(activity, decisions) {
            if let NodeAction::Peer { message, .. } = action {
                self.handle_message(message);
            }
        }
    }

    fn report_end(&mut self, rack: RackName, attempt: AttemptId) {
        let peer = self.peer_by_rack.get(&rack).copied().unwrap_or(1);
        let notice = EndedNotice {
            attempt,
            result: TaskResult::Succeeded,
            output: "clear".to_owned(),
            is_displaced: false,
        };
        self.harness.push_peer_message(peer, PeerMessage::Ended { rack, notices: vec![notice] });
    }

    fn handle_message(&mut self, message: PeerMessage) {
        match message {
            PeerMessage::RollCall { team, epoch, racks } => {
                racks.into_iter().for_each(|rack| self.respond_to_roll_call(&team, epoch, rack));
            }
            PeerMessage::Place { rack, orders, .. } => {
                let peer = self.peer_by_rack.get(&rack).copied().unwrap_or(1);
                let mut verdicts = Vec::with_capacity(orders.len());
                for order in orders {
                    let completions =
                        self.completions.entry(self.harness.now_ms + REQUEST_RUN_MS).or_default();
                    completions.push((rack.clone(), order.attempt.clone()));
                    let outcome = PlaceOutcome::Started(self.worker.clone());
                    verdicts.push((order.attempt, outcome));
                }
                self.harness.push_peer_message(peer, PeerMessage::Placed { rack, verdicts });
            }
            PeerMessage::Answer { call, .. } => {
                self.responses += 1;
                self.harness.push_peer_message(1, PeerMessage::AnswerAck { calls: vec![call] });
            }
            _ => {}
        }
    }

    fn respond_to_roll_call(&mut self, team: &TeamName, epoch: Epoch, rack: RackName) {
        let peer = self.peer_by_rack.get(&rack).copied().unwrap_or(1);
        let team = team.clone();
        self.pending_reconciliations = self.pending_reconciliations.saturating_sub(1);
        let message = PeerMessage::RollAnswer { team, epoch, rack, rows: Vec::new() };
        self.harness.push_peer_message(peer, message);
    }
}
