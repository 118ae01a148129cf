//! Checks invariants of the rack owner under random faults.

use {
    super::*,
    damaskrack_model::TaskResult,
    quickcheck::{Arbitrary, Gen, QuickCheck, TestResult},
    std::collections::BTreeSet,
};

/// Number of workers of the cell.
const WORKERS: u16 = 3;

/// Number of seeds.
const SEEDS: u64 = 4;

/// Number of runs with each seed.
const RUNS: u64 = 100;

/// Maximum number of events in a run.
const EVENTS: usize = 60;

/// An event that happens to the rack.
#[derive(Debug, Clone, Copy)]
enum RackEvent {
    Place { quarters: u8, is_urgent: bool, is_held: bool },
    Inquire { nonce: u8 },
    Commit { nonce: u8 },
    Stop { nonce: u8 },
    Link { worker: u16, state: u8 },
    Restart { worker: u16 },
    Finish { nonce: u8 },
    Acknowledge,
    Isolate { is_isolated: bool },
    Pause { millis: u16 },
    Run { millis: u16 },
}

impl Arbitrary for RackEvent {
    fn arbitrary(g: &mut Gen) -> Self {
        let nonce = u8::arbitrary(g) % 24;
        let worker = 1 + u16::arbitrary(g) % WORKERS;
        match u8::arbitrary(g) % 20 {
            0..=5 => Self::Place {
                quarters: 1 + u8::arbitrary(g) % 4,
                is_urgent: bool::arbitrary(g),
                is_held: u8::arbitrary(g) % 4 == 0,
            },
            6 => Self::Inquire { nonce },
            7 => Self::Commit { nonce },
            8 => Self::Stop { nonce },
            9..=11 => Self::Link { worker, state: u8::arbitrary(g) % 8 },
            12 => Self::Restart { worker },
            13 => Self::Finish { nonce },
            14 => Self::Acknowledge,
            15 => Self::Isolate { is_isolated: u8::arbitrary(g) % 3 == 0 },
            16 => Self::Pause { millis: u16::arbitrary(g) % 8_000 },
            _ => Self::Run { millis: u16::arbitrary(g) % 3_000 },
        }
    }
}

/// A cell under random events, with what was placed, started, denied and ended so far.
struct FaultRun {
    cell: RackHarness,
    placed: u64,
    starts: BTreeMap<AttemptId, u32>,
    denied: BTreeSet<AttemptId>,
    ended: BTreeSet<AttemptId>,
}

impl FaultRun {
    fn new() -> Self {
        let mut cell = RackHarness::rebuilt(WORKERS);
        cell.set_borrower("bulk", WORKER.checked_mul(WORKERS.into()).expect("a small cell"));
        Self {
            cell,
            placed: 0,
            starts: BTreeMap::new(),
            denied: BTreeSet::new(),
            ended: BTreeSet::new(),
        }
    }

    fn id(&self, nonce: u8) -> AttemptId {
        let nonce = u64::from(nonce);
        attempt(team_of(nonce), nonce)
    }

    fn apply(&mut self, event: RackEvent) -> Result<(), String> {
        match event {
            RackEvent::Place { quarters, is_urgent, is_held } => {
                self.place(quarters, is_urgent, is_held);
            }
            RackEvent::Inquire { nonce } => self.send_about(nonce, |team, rack, attempts| {
                PeerMessage::Inquire { team, epoch: Epoch(1), rack, attempts }
            }),
            // A queue owner does not commit attempts that it knows to have ended.
            RackEvent::Commit { nonce } if self.ended.contains(&self.id(nonce)) => {}
            RackEvent::Commit { nonce } => self.send_about(nonce, |team, rack, attempts| {
                PeerMessage::Commit { team, epoch: Epoch(1), rack, attempts }
            }),
            RackEvent::Stop { nonce } => self.send_about(nonce, |team, rack, attempts| {
                PeerMessage::StopAttempts { team, epoch: Epoch(1), rack, attempts }
            }),
            RackEvent::Link { worker, state } => {
                self.cell.worker(worker).link = match state {
                    0 => LinkState::Refusing,
                    1 => LinkState::Silent,
                    2 => LinkState::LosingResponses,
                    3 => LinkState::Late,
                    _ => LinkState::Up,
                };
            }
            RackEvent::Restart { worker } => self.cell.worker(worker).restart(),
            RackEvent::Finish { nonce } => {
                let id = self.id(nonce);
                let workers = self.cell.workers.values_mut();
                workers.for_each(|worker| worker.finish(&id, TaskResult::Succeeded));
            }
            RackEvent::Acknowledge => {
                let attempts = self.ended.iter().cloned().collect();
                self.cell.send("q1", PeerMessage::EndedAck { rack: name("r1"), attempts });
            }
            RackEvent::Isolate { is_isolated } => {
                self.cell.view.standing = match is_isolated {
                    true => MemberStanding::Isolated,
                    false => MemberStanding::Connected,
                };
            }
            RackEvent::Pause { millis } => self.cell.pause(millis.into()),
            RackEvent::Run { millis } => return self.run(millis.into()),
        }
        self.check()
    }

    fn place(&mut self, quarters: u8, is_urgent: bool, is_held: bool) {
        let nonce = self.placed;
        self.placed += 1;
        let team = team_of(nonce);
        let resources = QUARTER.checked_mul(quarters.into()).expect("at most a worker");
        let is_preemptor = is_urgent && team == "harbour";
        let order = if is_preemptor {
            urgent(team, nonce, resources)
        } else {
            order(team, nonce, resources)
        };
        let mode = if is_held { PlaceMode::Hold } else { PlaceMode::Start };
        self.cell.place(team, vec![PlaceOrder { mode, ..order }]);
    }

    fn send_about(
        &mut self,
        nonce: u8,
        message: impl FnOnce(TeamName, RackName, Vec<AttemptId>) -> PeerMessage,
    ) {
        let id = self.id(nonce);
        let message = message(id.job.team.clone(), name("r1"), vec![id]);
        self.cell.send("q1", message);
        // A queue owner never places an attempt after it has inquired about it or stopped it.
        self.placed = self.placed.max(u64::from(nonce) + 1);
    }

    fn run(&mut self, millis: u64) -> Result<(), String> {
        for _ in 0..millis.div_ceil(STEP_MS) {
            self.cell.run(STEP_MS);
            self.check()?;
        }
        Ok(())
    }

    fn check(&mut self) -> Result<(), String> {
        self.count_starts()?;
        let fresh = self.cell.messages.split_off(0);
        for (_, message) in &fresh {
            self.read_message(message)?;
        }
        let false_denial = self.denied.iter().find(|id| self.starts.contains_key(id));
        false_denial.map_or(Ok(()), |id| Err(format!("{id} was reported as not run but started")))
    }

    fn count_starts(&mut self) -> Result<(), String> {
        for worker in self.cell.workers.values_mut() {
            for id in worker.started.drain(..) {
                let count = self.starts.entry(id.clone()).or_insert(0);
                *count += 1;
                if *count > 1 {
                    return Err(format!("{id} started {count} times"));
                }
            }
        }
        Ok(())
    }

    fn read_message(&mut self, message: &PeerMessage) -> Result<(), String> {
        match message {
            PeerMessage::Placed { verdicts, .. } => {
                let refused = verdicts
                    .iter()
                    .filter(|(_, verdict)| matches!(verdict, PlaceOutcome::Refused(_)));
                self.denied.extend(refused.map(|(id, _)| id.clone()));
            }
            PeerMessage::Phases { rows, .. } => {
                // An attempt whose end the queue owner has acknowledged is removed, hence void.
                let void = rows.iter().filter(|row| {
                    row.phase == AttemptPhase::Void && !self.ended.contains(&row.attempt)
                });
                self.denied.extend(void.map(|row| row.attempt.clone()));
            }
            PeerMessage::Ended { notices, .. } => return self.read_notices(notices),
            _ => {}
        }
        Ok(())
    }

    /// Checks that attempts which are reported as ended do not run any more.
    fn read_notices(&mut self, notices: &[EndedNotice]) -> Result<(), String> {
        for notice in notices {
            let runs = |worker: &FakeWorker| worker.running_ids().contains(&notice.attempt);
            if self.cell.workers.values().any(runs) {
                return Err(format!(
                    "{} was reported as ended ({:?}) but runs",
                    notice.attempt, notice.result
                ));
            }
            self.ended.insert(notice.attempt.clone());
        }
        Ok(())
    }
}

fn team_of(nonce: u64) -> &'static str {
    if nonce.is_multiple_of(3) { "harbour" } else { "bulk" }
}

fn holds_invariants(events: Vec<RackEvent>) -> TestResult {
    let mut run = FaultRun::new();
    for event in events {
        if let Err(violation) = run.apply(event) {
            return TestResult::error(violation);
        }
    }
    TestResult::passed()
}

#[test]
fn faults_cause_no_double_start_and_no_false_refusal() {
    for seed in 1..=SEEDS {
        let random = Gen::from_size_and_seed(EVENTS, seed);
        let mut check = QuickCheck::new().tests(RUNS).rng(random);
        check.quickcheck(holds_invariants as fn(Vec<RackEvent>) -> TestResult);
    }
}
