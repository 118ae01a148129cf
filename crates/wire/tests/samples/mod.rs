//! Random frames for the tests of the codec.

use {
    damaskrack_model::{
        AnswerReason, AttemptId, CallId, Epoch, JobId, JobState, JobStatus, OutcomeKind,
        PriorityClass, Resources, TaskResult, WorkAnswer, WorkKind, WorkSpec,
    },
    damaskrack_wire::{
        AttemptPhase, EndedNotice, HelloFrame, PeerFrame, PeerMessage, PlaceMode, PlaceOrder,
        PlaceOutcome, RackSummary, RefusalReason, ReportedAttempt, SubmitOrder, TeamDigest,
    },
    quickcheck::{Arbitrary, Gen},
    std::{fmt::Debug, str::FromStr},
};

/// Number of message kinds that [`sample_message`] generates.
pub(crate) const MESSAGE_KINDS: usize = 22;

/// A random frame.
#[derive(Debug, Clone)]
pub(crate) struct SampleFrame(pub(crate) PeerFrame);

impl Arbitrary for SampleFrame {
    fn arbitrary(g: &mut Gen) -> Self {
        let kind = usize::arbitrary(g) % (MESSAGE_KINDS + 2);
        if kind < MESSAGE_KINDS {
            return Self(PeerFrame::Message(sample_message(kind, g)));
        }
        if kind == MESSAGE_KINDS {
            return Self(PeerFrame::Pulse { received: u64::arbitrary(g) });
        }
        let hello = HelloFrame::dialler(name(g), u64::arbitrary(g));
        Self(PeerFrame::Hello(hello.with_generation(u64::arbitrary(g))))
    }
}

fn name<T: FromStr<Err: Debug>>(g: &mut Gen) -> T {
    let letters: Vec<char> = "abcXYZ019-_.:".chars().collect();
    let length = 1 + usize::arbitrary(g) % 64;
    (0..length).map(|_| *g.choose(&letters).unwrap()).collect::<String>().parse().unwrap()
}

fn list<T>(g: &mut Gen, item: impl Fn(&mut Gen) -> T) -> Vec<T> {
    let length = usize::arbitrary(g) % 4;
    (0..length).map(|_| item(g)).collect()
}

fn option<T>(g: &mut Gen, item: impl Fn(&mut Gen) -> T) -> Option<T> {
    if bool::arbitrary(g) { Some(item(g)) } else { None }
}

fn choose<T: Copy>(g: &mut Gen, values: &[T]) -> T {
    *g.choose(values).unwrap()
}

fn call(g: &mut Gen) -> CallId {
    CallId { boot: u64::arbitrary(g), serial: u64::arbitrary(g) }
}

fn job(g: &mut Gen) -> JobId {
    JobId { team: name(g), queue: name(g), nonce: u64::arbitrary(g) }
}

fn epoch(g: &mut Gen) -> Epoch {
    Epoch(u64::arbitrary(g))
}

fn attempt(g: &mut Gen) -> AttemptId {
    AttemptId { job: job(g), task: u32::arbitrary(g), epoch: epoch(g), number: u32::arbitrary(g) }
}

fn resources(g: &mut Gen) -> Resources {
    Resources {
        millicores: u64::arbitrary(g),
        memory_bytes: u64::arbitrary(g),
        accelerators: u64::arbitrary(g),
    }
}

fn kind(g: &mut Gen) -> WorkKind {
    choose(g, &[WorkKind::Request, WorkKind::Service, WorkKind::Batch, WorkKind::Gang])
}

fn priority(g: &mut Gen) -> PriorityClass {
    choose(g, &[PriorityClass::Low, PriorityClass::Normal, PriorityClass::Urgent])
}

fn outcome(g: &mut Gen) -> OutcomeKind {
    use OutcomeKind::{Done, Failed, NotRun, Unknown};
    choose(g, &[Done, Failed, NotRun, Unknown])
}

fn reason(g: &mut Gen) -> AnswerReason {
    use AnswerReason::{
        AboveLimit, Accepted, Cancelled, Conflict, DeadlinePassed, Invalid, Isolated, KeyRefused,
        Leaving, Lost, Ok, Overloaded, Spreading, StoreUnavailable, TaskFailed, TooLarge,
        UnknownJob, UnknownQueue,
    };
    let all = [
        Ok,
        Accepted,
        KeyRefused,
        UnknownQueue,
        UnknownJob,
        Invalid,
        TooLarge,
        AboveLimit,
        DeadlinePassed,
        Overloaded,
        Cancelled,
        Isolated,
        Leaving,
        StoreUnavailable,
        TaskFailed,
        Lost,
        Conflict,
        Spreading,
    ];
    choose(g, &all)
}

fn result(g: &mut Gen) -> TaskResult {
    use TaskResult::{Failed, Lapsed, NeverStarted, Stopped, Succeeded};
    choose(g, &[Succeeded, Failed, Stopped, Lapsed, NeverStarted])
}

fn spec(g: &mut Gen) -> WorkSpec {
    WorkSpec {
        kind: kind(g),
        tasks: u32::arbitrary(g),
        resources: resources(g),
        idempotent: bool::arbitrary(g),
        priority: priority(g),
        expected_ms: u64::arbitrary(g),
        deadline_ms: u64::arbitrary(g),
        payload: String::arbitrary(g),
    }
}

fn status(g: &mut Gen) -> JobStatus {
    use JobState::{Ended, Parked, Queued, Running};
    JobStatus {
        job: job(g),
        state: choose(g, &[Queued, Running, Parked, Ended]),
        queued: u32::arbitrary(g),
        running: u32::arbitrary(g),
        done: u32::arbitrary(g),
        failed: u32::arbitrary(g),
        not_run: u32::arbitrary(g),
        unknown: u32::arbitrary(g),
        outcome: option(g, outcome),
        detail: String::arbitrary(g),
    }
}

fn answer(g: &mut Gen) -> WorkAnswer {
    WorkAnswer {
        outcome: outcome(g),
        reason: reason(g),
        detail: String::arbitrary(g),
        job: option(g, job),
        status: option(g, status),
    }
}

fn submit(g: &mut Gen) -> SubmitOrder {
    SubmitOrder {
        queue: name(g),
        nonce: u64::arbitrary(g),
        age_ms: u64::arbitrary(g),
        copy: u32::arbitrary(g),
        first_epoch: option(g, epoch),
        key: option(g, name),
        idempotency_key: option(g, String::arbitrary),
        is_waiting: bool::arbitrary(g),
        version: u64::arbitrary(g),
        spec: spec(g),
    }
}

fn order(g: &mut Gen) -> PlaceOrder {
    PlaceOrder {
        attempt: attempt(g),
        resources: resources(g),
        kind: kind(g),
        priority: priority(g),
        is_entitled: bool::arbitrary(g),
        idempotent: bool::arbitrary(g),
        expected_ms: u64::arbitrary(g),
        payload: String::arbitrary(g),
        mode: choose(g, &[PlaceMode::Start, PlaceMode::Hold]),
    }
}

fn place_outcome(g: &mut Gen) -> (AttemptId, PlaceOutcome) {
    use RefusalReason::{
        Full, HoldExpired, Isolated, NotOwner, Preempting, Rebuilding, StaleEpoch, Void,
        WorkerRefused, ZoneOut,
    };
    let refusals = [
        Full,
        StaleEpoch,
        NotOwner,
        Rebuilding,
        ZoneOut,
        Isolated,
        Void,
        HoldExpired,
        WorkerRefused,
        Preempting,
    ];
    let outcome = match u8::arbitrary(g) % 3 {
        0 => PlaceOutcome::Started(name(g)),
        1 => PlaceOutcome::Held(name(g)),
        _ => PlaceOutcome::Refused(choose(g, &refusals)),
    };
    (attempt(g), outcome)
}

fn reported_attempt(g: &mut Gen) -> ReportedAttempt {
    let phase = match u8::arbitrary(g) % 6 {
        0 => AttemptPhase::Held,
        1 => AttemptPhase::Pending,
        2 => AttemptPhase::Starting,
        3 => AttemptPhase::Running,
        4 => AttemptPhase::Ended { result: result(g), output: String::arbitrary(g) },
        _ => AttemptPhase::Void,
    };
    ReportedAttempt { attempt: attempt(g), resources: resources(g), phase }
}

fn notice(g: &mut Gen) -> EndedNotice {
    EndedNotice {
        attempt: attempt(g),
        result: result(g),
        output: String::arbitrary(g),
        is_displaced: bool::arbitrary(g),
    }
}

fn summary(g: &mut Gen) -> RackSummary {
    RackSummary {
        rack: name(g),
        zone: name(g),
        epoch: epoch(g),
        is_open: bool::arbitrary(g),
        capacity: resources(g),
        free: resources(g),
        free_slots: u32::arbitrary(g),
        largest_free: resources(g),
        largest_worker: resources(g),
        used: list(g, |g| (name(g), resources(g))),
    }
}

fn digest(g: &mut Gen) -> TeamDigest {
    TeamDigest { team: name(g), running: resources(g), waiting: resources(g) }
}

/// Generates a random message of one kind.
pub(crate) fn sample_message(kind: usize, g: &mut Gen) -> PeerMessage {
    if kind < 10 { sample_call(kind, g) } else { sample_rack(kind, g) }
}

fn sample_call(kind: usize, g: &mut Gen) -> PeerMessage {
    match kind {
        0 => PeerMessage::Heartbeat {
            version: u64::arbitrary(g),
            store_age_ms: u64::arbitrary(g),
            heard_store_age_ms: u64::arbitrary(g),
            sees_receiver: bool::arbitrary(g),
            clock_ms: u64::arbitrary(g),
            echo_ms: u64::arbitrary(g),
            is_leaving: bool::arbitrary(g),
        },
        1 => PeerMessage::ManifestPull { have: u64::arbitrary(g) },
        2 => PeerMessage::ManifestPush { version: u64::arbitrary(g), json: String::arbitrary(g) },
        3 => PeerMessage::Submit { call: call(g), team: name(g), order: submit(g) },
        4 => PeerMessage::JobQuery { call: call(g), job: job(g) },
        5 => PeerMessage::JobCancel { call: call(g), job: job(g) },
        6 => PeerMessage::NotOwner {
            call: call(g),
            copy: u32::arbitrary(g),
            is_given_back: bool::arbitrary(g),
            owner: option(g, name),
        },
        7 => PeerMessage::Answer { call: call(g), copy: u32::arbitrary(g), answer: answer(g) },
        8 => PeerMessage::AnswerAck { calls: list(g, call) },
        _ => PeerMessage::TeamDigests { teams: list(g, digest) },
    }
}

fn sample_rack(kind: usize, g: &mut Gen) -> PeerMessage {
    let (team, epoch, rack) = (name(g), epoch(g), name(g));
    match kind {
        10 => PeerMessage::Place { team, epoch, rack, orders: list(g, order) },
        11 => PeerMessage::Placed { rack, verdicts: list(g, place_outcome) },
        12 => PeerMessage::Commit { team, epoch, rack, attempts: list(g, attempt) },
        13 => PeerMessage::Release { team, epoch, rack, attempts: list(g, attempt) },
        14 => PeerMessage::StopAttempts { team, epoch, rack, attempts: list(g, attempt) },
        15 => PeerMessage::Inquire { team, epoch, rack, attempts: list(g, attempt) },
        16 => PeerMessage::Phases { rack, epoch, rows: list(g, reported_attempt) },
        17 => PeerMessage::Ended { rack, notices: list(g, notice) },
        18 => PeerMessage::EndedAck { rack, attempts: list(g, attempt) },
        19 => PeerMessage::RollCall { team, epoch, racks: list(g, name) },
        20 => PeerMessage::RollAnswer { team, epoch, rack, rows: list(g, reported_attempt) },
        _ => PeerMessage::RackDigests { summaries: list(g, summary) },
    }
}
