//! History of one run, as recorded by the stand-ins and the callers.
//!
//! The only data reported by a daemon itself is the manifest version in its heartbeats, because
//! nothing else shows which manifest a process holds.

use {
    damaskrack_manifest::ManifestDocument,
    damaskrack_model::{
        AnswerReason, Epoch, JobId, KeyName, OutcomeKind, QueueName, Resources, WorkerName,
    },
    damaskrack_ownership::PieceName,
    damaskrack_standin::ObservedRun,
};

/// A run of an attempt with the token in its payload, which identifies the submission.
#[derive(Debug, Clone)]
pub struct SeenRun {
    /// The run, as recorded by the worker.
    pub run: ObservedRun,
    /// Token in the payload that the worker received.
    pub token: String,
}

/// Capacity of a worker.
#[derive(Debug, Clone)]
pub struct SeenWorker {
    /// The worker.
    pub worker: WorkerName,
    /// Its resources.
    pub capacity: Resources,
    /// Maximum number of concurrent tasks.
    pub slots: u32,
}

/// An answer as its caller received it.
#[derive(Debug, Clone, PartialEq)]
pub struct SeenAnswer {
    /// When it arrived, in milliseconds.
    pub at_ms: u64,
    /// How the work ended.
    pub outcome: OutcomeKind,
    /// Reason for the outcome.
    pub reason: AnswerReason,
    /// Output of the task, or an explanation.
    pub detail: String,
    /// The job, if the answer names one.
    pub job: Option<JobId>,
}

impl SeenAnswer {
    /// Tells whether the answer acknowledges a job.
    #[must_use]
    pub fn is_acknowledgement(&self) -> bool {
        self.job.is_some() && matches!(self.reason, AnswerReason::Accepted | AnswerReason::Ok)
    }
}

/// One submission of work.
#[derive(Debug, Clone)]
pub struct SeenTry {
    /// Its token, which its payload makes the task return. Submissions under one idempotency key
    /// share the token of the first.
    pub token: String,
    /// When it was submitted, in milliseconds.
    pub at_ms: u64,
    /// Node that received it.
    pub node: usize,
    /// Answers that arrived; more than one is a violation.
    pub answers: Vec<SeenAnswer>,
    /// Whether the connection broke before an answer.
    pub is_broken: bool,
}

/// A caller's work with every submission of it.
#[derive(Debug, Clone)]
pub struct SeenWork {
    /// Tag of the script's line.
    pub tag: Option<String>,
    /// Target queue.
    pub queue: QueueName,
    /// Key that the caller presents.
    pub key: Option<KeyName>,
    /// Whether a task may run more than once.
    pub idempotent: bool,
    /// Whether every submission carries the same idempotency key.
    pub has_idempotency_key: bool,
    /// Whether it is a job rather than a request.
    pub is_job: bool,
    /// Whether its task restarts when it ends.
    pub is_service: bool,
    /// Submissions, in order.
    pub tries: Vec<SeenTry>,
    /// When a cancellation was confirmed, in milliseconds.
    pub cancelled_ms: Option<u64>,
    /// When an acknowledged job was first reported as unknown, in milliseconds.
    pub forgotten_ms: Option<u64>,
    /// Whether the job was parked when last queried.
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
    /// When the store wrote it, in milliseconds.
    pub written_ms: u64,
    /// When an operator received the acceptance, in milliseconds.
    pub accepted_ms: Option<u64>,
}

/// A change of the manifest version that a node reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenVersion {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// The node.
    pub node: usize,
    /// Number of the node's process, counted over its restarts.
    pub life: u64,
    /// The version.
    pub version: u64,
}

/// A period in which a node is not expected to meet its bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenDisturbance {
    /// The node; `None` for all.
    pub node: Option<usize>,
    /// Start, in milliseconds, inclusive.
    pub from_ms: u64,
    /// End, in milliseconds, inclusive.
    pub until_ms: u64,
}

/// A worker that was marked as leaving.
#[derive(Debug, Clone)]
pub struct SeenLeaving {
    /// The worker.
    pub worker: WorkerName,
    /// When the host list first showed it as leaving, in milliseconds.
    pub shown_ms: u64,
    /// When the host list showed it as live again, in milliseconds.
    pub until_ms: u64,
}

/// A graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenShutdown {
    /// The node.
    pub node: usize,
    /// When it was requested, in milliseconds.
    pub asked_ms: u64,
    /// When it ended, in milliseconds.
    pub ended_ms: Option<u64>,
    /// Calls still unanswered when the process ended.
    pub cut_calls: usize,
    /// Whether the process was killed before it shut down.
    pub is_spoiled: bool,
}

/// An owner that was killed or paused by a signal.
#[derive(Debug, Clone)]
pub struct SeenLoss {
    /// Unit of ownership.
    pub piece: PieceName,
    /// Epoch of the lost ownership.
    pub epoch: Epoch,
    /// When, in milliseconds.
    pub lost_ms: u64,
    /// When an ownership record with a higher epoch was written, in milliseconds.
    pub replaced_ms: Option<u64>,
    /// When the paused owner resumed and still held the epoch, in milliseconds.
    pub returned_ms: Option<u64>,
}

/// Everything recorded in one run.
#[derive(Debug, Clone, Default)]
pub struct RunHistory {
    /// Runs on all workers.
    pub runs: Vec<SeenRun>,
    /// The workers.
    pub workers: Vec<SeenWorker>,
    /// Work of the callers.
    pub works: Vec<SeenWork>,
    /// Manifest versions in order.
    pub configs: Vec<SeenConfig>,
    /// Changes of the versions that nodes report.
    pub versions: Vec<SeenVersion>,
    /// Periods in which nodes were disturbed.
    pub disturbances: Vec<SeenDisturbance>,
    /// Workers that were marked as leaving.
    pub leavings: Vec<SeenLeaving>,
    /// Graceful shutdowns.
    pub shutdowns: Vec<SeenShutdown>,
    /// Lost owners.
    pub losses: Vec<SeenLoss>,
    /// Identifiers of answered calls that were not open.
    pub stray_answers: Vec<u64>,
    /// Number of manifest changes that were accepted.
    pub accepted_changes: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Node, number of its process, and start time of that process in milliseconds.
    pub lives: Vec<(usize, u64, u64)>,
    /// End of the run, in milliseconds.
    pub end_ms: u64,
}

impl RunHistory {
    /// Returns the work and the submission that a token identifies.
    #[must_use]
    pub fn find_token(&self, token: &str) -> Option<(&SeenWork, &SeenTry)> {
        let (work, attempt) = parse_token(token)?;
        let work = self.works.get(work)?;
        Some((work, work.tries.get(attempt)?))
    }

    /// Returns the index of the work that a token identifies.
    #[must_use]
    pub fn work_index(&self, token: &str) -> Option<usize> {
        parse_token(token).map(|(work, _)| work).filter(|&work| work < self.works.len())
    }

    /// Returns the manifests that may be in force at a time, given that an accepted one must be in
    /// force everywhere after `bound_ms`.
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

    /// Tells whether a node was disturbed at any time in a period.
    #[must_use]
    pub fn is_disturbed(&self, node: usize, from_ms: u64, until_ms: u64) -> bool {
        self.disturbances.iter().any(|disturbance| {
            disturbance.node.is_none_or(|affected| affected == node)
                && disturbance.from_ms <= until_ms
                && disturbance.until_ms >= from_ms
        })
    }
}

/// Makes the token of a submission.
pub(crate) fn make_token(work: usize, attempt: usize) -> String {
    format!("w{work}t{attempt}")
}

fn parse_token(token: &str) -> Option<(usize, usize)> {
    let (work, attempt) = token.strip_prefix('w')?.split_once('t')?;
    Some((work.parse().ok()?, attempt.parse().ok()?))
}

/// Returns the token in a payload, or the payload itself if it has none.
pub(crate) fn token_of(payload: &str) -> String {
    damaskrack_standin::TaskScript::parse(payload).output
}
