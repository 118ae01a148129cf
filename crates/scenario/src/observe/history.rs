//! What was seen at the stand-ins and by the callers in one run.
//!
//! Nothing here is a daemon's own word, but for the versions in its heartbeats, which are the only
//! sight of the manifest that a process holds.

use {
    damaskrack_manifest::ManifestDocument,
    damaskrack_model::{
        AnswerReason, Epoch, JobId, KeyName, OutcomeKind, QueueName, Resources, WorkerName,
    },
    damaskrack_ownership::PieceName,
    damaskrack_standin::ObservedRun,
};

/// A run of an attempt and the token in its payload, which names the submission.
#[derive(Debug, Clone)]
pub struct SeenRun {
    /// The run, as the worker's table has it.
    pub run: ObservedRun,
    /// Token of the payload that the worker was given.
    pub token: String,
}

/// What a worker has.
#[derive(Debug, Clone)]
pub struct SeenWorker {
    /// The worker.
    pub worker: WorkerName,
    /// What it has.
    pub capacity: Resources,
    /// Most tasks at once.
    pub slots: u32,
}

/// An answer as its caller got it.
#[derive(Debug, Clone, PartialEq)]
pub struct SeenAnswer {
    /// When it came, in milliseconds.
    pub at_ms: u64,
    /// How the work ended.
    pub outcome: OutcomeKind,
    /// Why.
    pub reason: AnswerReason,
    /// What the task returned, or an explanation.
    pub detail: String,
    /// The job, where there is one.
    pub job: Option<JobId>,
}

impl SeenAnswer {
    /// Tells whether it says that a job was accepted.
    #[must_use]
    pub fn is_acknowledgement(&self) -> bool {
        self.job.is_some() && matches!(self.reason, AnswerReason::Accepted | AnswerReason::Ok)
    }
}

/// One handing in of work.
#[derive(Debug, Clone)]
pub struct SeenTry {
    /// Its token, which its payload makes the task return. Tries under one idempotency key share
    /// the first one's.
    pub token: String,
    /// When it was handed in, in milliseconds.
    pub at_ms: u64,
    /// Node that took it.
    pub node: usize,
    /// Answers that came; more than one is a fault.
    pub answers: Vec<SeenAnswer>,
    /// Whether the connection broke before an answer.
    pub is_broken: bool,
}

/// A caller's piece of work with every try at handing it in.
#[derive(Debug, Clone)]
pub struct SeenWork {
    /// Tag of the script's line.
    pub tag: Option<String>,
    /// Queue that it is for.
    pub queue: QueueName,
    /// Key that is shown.
    pub key: Option<KeyName>,
    /// Whether a task may run more than once.
    pub idempotent: bool,
    /// Whether every try carries the same idempotency key.
    pub has_idempotency_key: bool,
    /// Whether it is a job rather than a request.
    pub is_job: bool,
    /// Whether its task restarts when it ends.
    pub is_service: bool,
    /// The tries.
    pub tries: Vec<SeenTry>,
    /// When a cancellation was confirmed, in milliseconds.
    pub cancelled_ms: Option<u64>,
    /// When an acknowledged job was not known any more, in milliseconds.
    pub forgotten_ms: Option<u64>,
    /// Whether the job was seen parked.
    pub is_parked: bool,
    /// When and how the job ended, as its caller was told.
    pub ended: Option<(u64, Option<OutcomeKind>)>,
}

/// A manifest version that was written to the store.
#[derive(Debug, Clone)]
pub struct SeenConfig {
    /// Its version.
    pub version: u64,
    /// The manifest.
    pub document: ManifestDocument,
    /// When the store took it, in milliseconds.
    pub written_ms: u64,
    /// When an operator was told that it is accepted, in milliseconds.
    pub accepted_ms: Option<u64>,
}

/// A version in a node's heartbeats that differs from the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenVersion {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// The node.
    pub node: usize,
    /// Life of its process.
    pub life: u64,
    /// The version.
    pub version: u64,
}

/// A stretch of time in which a node could not be expected to act.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenDisturbance {
    /// The node; `None` for all.
    pub node: Option<usize>,
    /// First millisecond.
    pub from_ms: u64,
    /// Last millisecond.
    pub until_ms: u64,
}

/// A worker that was marked as leaving.
#[derive(Debug, Clone)]
pub struct SeenLeaving {
    /// The worker.
    pub worker: WorkerName,
    /// When the list began to show it, in milliseconds.
    pub shown_ms: u64,
    /// When the list showed it in service again, in milliseconds.
    pub until_ms: u64,
}

/// A graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenShutdown {
    /// The node.
    pub node: usize,
    /// When it was asked, in milliseconds.
    pub asked_ms: u64,
    /// When it ended, in milliseconds.
    pub ended_ms: Option<u64>,
    /// Callers whose answers were still open when it ended.
    pub cut_calls: usize,
    /// Whether something else killed it first.
    pub is_spoiled: bool,
}

/// An owner that was killed or stopped by a signal.
#[derive(Debug, Clone)]
pub struct SeenLoss {
    /// The piece.
    pub piece: PieceName,
    /// Epoch that was lost.
    pub epoch: Epoch,
    /// When, in milliseconds.
    pub lost_ms: u64,
    /// When a record with a higher epoch was written, in milliseconds.
    pub replaced_ms: Option<u64>,
    /// When the owner came back under the same boot, in milliseconds.
    pub returned_ms: Option<u64>,
}

/// Everything that was seen in one run.
#[derive(Debug, Clone, Default)]
pub struct RunHistory {
    /// Runs of all workers.
    pub runs: Vec<SeenRun>,
    /// The workers.
    pub workers: Vec<SeenWorker>,
    /// The callers' work.
    pub works: Vec<SeenWork>,
    /// Manifest versions in order.
    pub configs: Vec<SeenConfig>,
    /// Versions in heartbeats.
    pub versions: Vec<SeenVersion>,
    /// Disturbances.
    pub disturbances: Vec<SeenDisturbance>,
    /// Workers that left.
    pub leavings: Vec<SeenLeaving>,
    /// Graceful shutdowns.
    pub shutdowns: Vec<SeenShutdown>,
    /// Lost owners.
    pub losses: Vec<SeenLoss>,
    /// Answers to calls that were not open.
    pub stray_answers: Vec<u64>,
    /// Operators' changes that were accepted.
    pub accepted_changes: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Node, life and when that life began, in milliseconds.
    pub lives: Vec<(usize, u64, u64)>,
    /// End of the run, in milliseconds.
    pub end_ms: u64,
}

impl RunHistory {
    /// Returns the work and the first try that a token names.
    #[must_use]
    pub fn find_token(&self, token: &str) -> Option<(&SeenWork, &SeenTry)> {
        let (work, attempt) = parse_token(token)?;
        let work = self.works.get(work)?;
        Some((work, work.tries.get(attempt)?))
    }

    /// Returns the index of the work that a token names.
    #[must_use]
    pub fn work_index(&self, token: &str) -> Option<usize> {
        parse_token(token).map(|(work, _)| work).filter(|&work| work < self.works.len())
    }

    /// Returns the manifests that may be in force at a moment, if a written one must be in force
    /// everywhere `bound_ms` after its acceptance.
    pub fn configs_at(&self, at_ms: u64, bound_ms: u64) -> impl Iterator<Item = &SeenConfig> {
        let is_due = |config: &&SeenConfig| {
            config.accepted_ms.is_some_and(|accepted_ms| accepted_ms + bound_ms < at_ms)
        };
        let oldest = self.configs.iter().filter(is_due).map(|config| config.version).max();
        let oldest = oldest.unwrap_or(0);
        self.configs
            .iter()
            .filter(move |config| config.version >= oldest && config.written_ms <= at_ms)
    }

    /// Tells whether a node was disturbed at some time of a stretch.
    #[must_use]
    pub fn is_disturbed(&self, node: usize, from_ms: u64, until_ms: u64) -> bool {
        self.disturbances.iter().any(|disturbance| {
            disturbance.node.is_none_or(|affected| affected == node)
                && disturbance.from_ms <= until_ms
                && disturbance.until_ms >= from_ms
        })
    }
}

/// Makes the token of a try.
pub(crate) fn make_token(work: usize, attempt: usize) -> String {
    format!("w{work}t{attempt}")
}

fn parse_token(token: &str) -> Option<(usize, usize)> {
    let (work, attempt) = token.strip_prefix('w')?.split_once('t')?;
    Some((work.parse().ok()?, attempt.parse().ok()?))
}

/// Returns the token that a payload carries, or the payload itself if it carries none.
pub(crate) fn token_of(payload: &str) -> String {
    damaskrack_standin::TaskScript::parse(payload).output
}
