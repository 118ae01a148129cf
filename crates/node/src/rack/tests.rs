//! Tests of the rack owner with small fake workers.

mod failures;
mod fake;
mod placing;
mod random;
mod takeover;

use {
    super::RackRole,
    crate::{
        NodeAction, NodeConfig,
        buffer::ActionBuffer,
        view::{ClusterView, OwnerEntry},
    },
    damaskrack_manifest::{ZoneEntry, ZoneState},
    damaskrack_model::{
        AttemptId, ClockTime, Epoch, JobId, MemberName, PriorityClass, RackName, Resources,
        TeamName, WorkKind,
    },
    damaskrack_outside::{HostRow, HostState, WorkerCall, WorkerError, WorkerReply},
    damaskrack_ownership::{MemberStanding, OwnerRecord, PieceName},
    damaskrack_wire::{
        AttemptPhase, EndedNotice, PeerMessage, PlaceMode, PlaceOrder, PlaceOutcome, RefusalReason,
        ReportedAttempt,
    },
    fake::{FakeWorker, LinkState},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Step of the harness, in milliseconds.
const STEP_MS: u64 = 10;

/// Delay of calls over a late link, in milliseconds.
const LATE_MS: u64 = 3_000;

/// Resources of each worker.
const WORKER: Resources = Resources { millicores: 16_000, memory_bytes: 32_000, accelerators: 0 };

/// A quarter of a worker.
const QUARTER: Resources = Resources { millicores: 4_000, memory_bytes: 8_000, accelerators: 0 };

fn name<T: std::str::FromStr<Err = damaskrack_model::NameError>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn attempt(team: &str, nonce: u64) -> AttemptId {
    let job = JobId { team: name(team), queue: name("q"), nonce };
    AttemptId { job, task: 0, epoch: Epoch(1), number: 0 }
}

fn order(team: &str, nonce: u64, resources: Resources) -> PlaceOrder {
    PlaceOrder {
        attempt: attempt(team, nonce),
        resources,
        kind: WorkKind::Batch,
        priority: PriorityClass::Normal,
        is_entitled: false,
        idempotent: true,
        expected_ms: 0,
        payload: "work".to_owned(),
        mode: PlaceMode::Start,
    }
}

fn urgent(team: &str, nonce: u64, resources: Resources) -> PlaceOrder {
    PlaceOrder {
        priority: PriorityClass::Urgent,
        is_entitled: true,
        ..order(team, nonce, resources)
    }
}

/// A call in flight to a worker or waiting there.
struct OpenCall {
    number: u64,
    address: SocketAddr,
    request: WorkerCall,
    sent_at: ClockTime,
    timeout_ms: u64,
}

/// A rack owner with its simulated environment.
struct RackHarness {
    role: RackRole,
    config: NodeConfig,
    view: ClusterView,
    out: ActionBuffer,
    workers: BTreeMap<SocketAddr, FakeWorker>,
    calls: Vec<OpenCall>,
    late_calls: Vec<OpenCall>,
    messages: Vec<(MemberName, PeerMessage)>,
}

impl RackHarness {
    /// Makes a cell with one rack of `workers` workers. The daemon owns nothing yet.
    fn new(workers: u16) -> Self {
        let (me, zone) = (name("d1"), name("z1"));
        let config = NodeConfig::new(name("d1"), zone, SocketAddr::from(([127, 0, 0, 1], 1)), 7);
        let mut view = ClusterView::new(me);
        view.now = ClockTime(1_000_000);
        view.standing = MemberStanding::Connected;
        view.is_caught_up = true;
        view.store_read_at = Some(view.now);
        view.manifest.version = 1;
        view.manifest.document.zones = vec![ZoneEntry { name: name("z1"), state: ZoneState::In }];
        view.cell_capacity = WORKER.checked_mul(workers.into()).expect("a small cell");
        for team in ["harbour", "bulk", "gang"] {
            view.owners.insert(PieceName::Team(name(team)), owner("q1"));
        }
        let hosts = (1..=workers).map(host).collect::<Vec<_>>();
        let workers = hosts.iter().map(|row| (row.address, FakeWorker::new(11))).collect();
        view.hosts = hosts;
        let out = ActionBuffer::new(name("d1"), 7);
        Self {
            role: RackRole::default(),
            config,
            view,
            out,
            workers,
            calls: Vec::new(),
            late_calls: Vec::new(),
            messages: Vec::new(),
        }
    }

    /// Makes a cell whose rack this daemon owns under epoch 5 and has rebuilt.
    fn rebuilt(workers: u16) -> Self {
        let mut harness = Self::new(workers);
        harness.take(5);
        harness.run(100);
        harness
    }

    fn rack() -> RackName {
        name("r1")
    }

    fn take(&mut self, epoch: u64) {
        self.role.take(&Self::rack(), Epoch(epoch), &self.view);
    }

    fn worker(&mut self, number: u16) -> &mut FakeWorker {
        self.workers.get_mut(&host(number).address).expect("a worker of the cell")
    }

    /// Advances the time in steps and ticks the rack owner in each.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(STEP_MS) {
            self.pause(STEP_MS);
            self.end_calls();
            self.role.tick(&self.config, &self.view, &mut self.out);
            self.collect();
            self.end_calls();
        }
    }

    /// Advances the time of the workers while the daemon does nothing.
    fn pause(&mut self, millis: u64) {
        self.view.now = self.view.now.plus(millis);
        if self.view.standing == MemberStanding::Connected {
            self.view.store_read_at = Some(self.view.now);
        }
        self.workers.values_mut().for_each(|worker| worker.advance(millis));
        for call in std::mem::take(&mut self.late_calls) {
            if self.view.now.since(call.sent_at) < LATE_MS {
                self.late_calls.push(call);
            } else if let Some(worker) = self.workers.get_mut(&call.address) {
                worker.handle_call(&call.request, u64::MAX);
            }
        }
    }

    /// Advances the time until `is_done` holds; returns how long that took, in milliseconds.
    fn run_until(&mut self, limit_ms: u64, mut is_done: impl FnMut(&Self) -> bool) -> u64 {
        let start = self.view.now;
        while !is_done(self) {
            assert!(self.view.now.since(start) < limit_ms, "not within {limit_ms} ms");
            self.run(STEP_MS);
        }
        self.view.now.since(start)
    }

    fn send(&mut self, from: &str, message: PeerMessage) {
        self.role.on_message(&name(from), message, &self.view, &mut self.out);
        self.collect();
        self.end_calls();
    }

    fn place(&mut self, team: &str, orders: Vec<PlaceOrder>) {
        self.place_under(1, team, orders);
    }

    fn place_under(&mut self, epoch: u64, team: &str, orders: Vec<PlaceOrder>) {
        let (team, rack) = (name(team), Self::rack());
        self.send("q1", PeerMessage::Place { team, epoch: Epoch(epoch), rack, orders });
    }

    fn collect(&mut self) {
        for action in self.out.take_actions() {
            match action {
                NodeAction::Worker { call, address, request, timeout_ms } => {
                    let sent_at = self.view.now;
                    self.calls.push(OpenCall {
                        number: call,
                        address,
                        request,
                        sent_at,
                        timeout_ms,
                    });
                }
                NodeAction::Peer { member, message } => self.messages.push((member, message)),
                _ => {}
            }
        }
    }

    /// Ends the calls to which a worker replies or that have timed out.
    fn end_calls(&mut self) {
        for call in std::mem::take(&mut self.calls) {
            match self.end_of(&call) {
                Some(result) => {
                    let number = call.number;
                    if self.workers[&call.address].link == LinkState::Late {
                        self.late_calls.push(call);
                    }
                    self.role.on_worker(number, result, &self.view, &mut self.out);
                    self.collect();
                }
                None => self.calls.push(call),
            }
        }
    }

    fn end_of(&mut self, call: &OpenCall) -> Option<Result<WorkerReply, WorkerError>> {
        let waited_ms = self.view.now.since(call.sent_at);
        let worker = self.workers.get_mut(&call.address).expect("a worker of the cell");
        match worker.link {
            LinkState::Up => worker.handle_call(&call.request, waited_ms).map(Ok),
            LinkState::Refusing => Some(Err(WorkerError::Unreachable)),
            LinkState::Silent | LinkState::Late => {
                (waited_ms >= call.timeout_ms).then_some(Err(WorkerError::Lost))
            }
            LinkState::LosingResponses => {
                worker.handle_call(&call.request, waited_ms).map(|_| Err(WorkerError::Lost))
            }
        }
    }

    fn verdicts(&self, attempt: &AttemptId) -> Vec<PlaceOutcome> {
        let of_message = |message: &PeerMessage| match message {
            PeerMessage::Placed { verdicts, .. } => verdicts.clone(),
            _ => Vec::new(),
        };
        self.messages
            .iter()
            .flat_map(|(_, message)| of_message(message))
            .filter(|(id, _)| id == attempt)
            .map(|(_, verdict)| verdict)
            .collect()
    }

    fn is_started(&self, attempt: &AttemptId) -> bool {
        self.verdicts(attempt).iter().any(|verdict| matches!(verdict, PlaceOutcome::Started(_)))
    }

    fn refusal(&self, attempt: &AttemptId) -> Option<RefusalReason> {
        self.verdicts(attempt).iter().find_map(|verdict| match verdict {
            PlaceOutcome::Refused(reason) => Some(*reason),
            _ => None,
        })
    }

    fn notices(&self) -> Vec<EndedNotice> {
        let of_message = |message: &PeerMessage| match message {
            PeerMessage::Ended { notices, .. } => notices.clone(),
            _ => Vec::new(),
        };
        self.messages.iter().flat_map(|(_, message)| of_message(message)).collect()
    }

    fn phase(&self, attempt: &AttemptId) -> Option<AttemptPhase> {
        let of_message = |message: &PeerMessage| match message {
            PeerMessage::Phases { rows, .. } => rows.clone(),
            _ => Vec::new(),
        };
        let rows = self.messages.iter().flat_map(|(_, message)| of_message(message));
        rows.filter(|row| row.attempt == *attempt).map(|row| row.phase).last()
    }

    fn roll_rows(&self, team: &str) -> Option<Vec<ReportedAttempt>> {
        let wanted: TeamName = name(team);
        self.messages.iter().find_map(|(_, message)| match message {
            PeerMessage::RollAnswer { team, rows, .. } if *team == wanted => Some(rows.clone()),
            _ => None,
        })
    }

    /// Returns how often an attempt was started, on all workers together.
    fn starts(&self, attempt: &AttemptId) -> usize {
        self.workers
            .values()
            .map(|worker| worker.started.iter().filter(|id| *id == attempt).count())
            .sum()
    }

    /// Sets a team's usage and entitles it to nothing, so that it borrows all of it.
    fn set_borrower(&mut self, team: &str, used: Resources) {
        self.view.cell_usage.insert(name(team), used);
        self.view.entitlements.insert(name(team), 0.0);
    }
}

fn owner(member: &str) -> OwnerEntry {
    let record = OwnerRecord { owner: Some(name(member)), boot: 1, epoch: Epoch(1), write: 1 };
    OwnerEntry { record, revision: 1 }
}

fn host(number: u16) -> HostRow {
    HostRow {
        worker: name(&format!("w{number}")),
        rack: name("r1"),
        zone: name("z1"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
        capacity: WORKER,
        state: HostState::Live,
    }
}
