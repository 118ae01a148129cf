//! Entry: receives callers' requests, checks their keys and forwards them to queue owners.
//!
//! A call that may have reached an owner is never answered with `not_run` by the entry. Instead it
//! is submitted again under the same nonce: an owner that knows the job answers for it, and an
//! owner that does not may start it only if that cannot be a second run.

use {
    crate::{
        CallerRequest, NodeAction, NodeConfig, PresentedKey, buffer::ActionBuffer,
        refusal::WorkRefusal, view::ClusterView,
    },
    damaskrack_manifest::{KeyCheckOutcome, QueueEntry},
    damaskrack_model::{
        AnswerReason, CallId, ClockTime, Epoch, JobId, KeyName, MemberName, OutcomeKind, QueueName,
        TeamName, WorkAnswer, WorkKind, WorkSpec,
    },
    damaskrack_ownership::{OwnerRecord, PieceName},
    damaskrack_wire::{PeerMessage, SubmitOrder},
    std::collections::BTreeMap,
};

/// Time to wait for acceptance if the caller set no deadline, in milliseconds.
const ACCEPT_TIMEOUT_MS: u64 = 20_000;
/// Time that the owner has after a deadline to answer before the entry does, in milliseconds.
const OWNER_GRACE_MS: u64 = 2_000;
/// Time for which a call that may have reached an owner waits for a takeover, in milliseconds.
const FAILOVER_WAIT_MS: u64 = 60_000;
/// Initial interval after which an unanswered call is sent again, in milliseconds.
const RESEND_MIN_MS: u64 = 1_000;
/// Maximum interval after which an unanswered call is sent again, in milliseconds.
const RESEND_MAX_MS: u64 = 8_000;
/// Delay after which a call that was not sent or had no effect is sent again, in milliseconds.
const UNSENT_RETRY_MS: u64 = RESEND_MIN_MS / 10;
/// Maximum number of concurrent calls.
const MAX_CALLS: usize = 10_000;
/// Time to wait for a former owner's answer after the current owner answered that the work is
/// lost, in milliseconds.
const FORMER_OWNER_RESPONSE_MS: u64 = 2_000;
/// Maximum size of a payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = 64 << 10;
/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// Operation that a call requests from the team's owner.
#[derive(Debug)]
enum EntryOperation {
    Submit(Box<SubmitOrder>),
    Query(JobId),
    Cancel(JobId),
}

/// A caller's call that has not been answered yet.
#[derive(Debug)]
struct EntryCall {
    driver_call: u64,
    team: TeamName,
    operation: EntryOperation,
    started_at: ClockTime,
    /// When the entry checks whether to answer by itself; `None` if it never does.
    times_out_at: Option<ClockTime>,
    /// Whether the call has already timed out once without an owner that could answer it.
    is_overdue: bool,
    /// Copies that may have had an effect, by owner, in the order of sending.
    sent: Vec<SentCopies>,
    next_copy: u32,
    first_sent_at: ClockTime,
    /// Answer of an owner that lost the work, and when it is passed on unless another owner answers
    /// first.
    lost_answer: Option<(ClockTime, WorkAnswer)>,
    resend_at: ClockTime,
    resend_ms: u64,
}

/// Copies of a call that were sent to one owner and may have had an effect.
#[derive(Debug)]
struct SentCopies {
    member: MemberName,
    boot: u64,
    epoch: Epoch,
    /// Number of the earliest such copy.
    first_copy: u32,
    /// Number of the latest such copy.
    last_copy: u32,
}

/// Copies that had no effect according to a member.
#[derive(Debug, Clone, Copy)]
enum CopyRange {
    /// One copy.
    One(u32),
    /// A copy and all earlier ones.
    UpTo(u32),
}

impl SentCopies {
    /// Removes copies. A copy between the first and the last one is kept, which is safe.
    fn remove(&mut self, range: CopyRange) {
        match range {
            CopyRange::UpTo(copy) => self.first_copy = self.first_copy.max(copy + 1),
            CopyRange::One(copy) if copy == self.first_copy => self.first_copy += 1,
            CopyRange::One(copy) if copy == self.last_copy => self.last_copy -= 1,
            CopyRange::One(_) => {}
        }
    }
}

/// A request that has passed the entry's checks.
struct AdmittedCall {
    team: TeamName,
    operation: EntryOperation,
    times_out_at: ClockTime,
}

/// Calls of this daemon's callers that have not been answered, by serial number.
#[derive(Debug, Default)]
pub(crate) struct EntryRole {
    calls: BTreeMap<u64, EntryCall>,
}

impl EntryRole {
    /// Returns whether no caller waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the number of waiting callers.
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Handles a caller's request.
    pub(crate) fn on_request(
        &mut self,
        driver_call: u64,
        request: CallerRequest,
        view: &ClusterView,
        config: &NodeConfig,
        out: &mut ActionBuffer,
    ) {
        out.count("entry.requests", 1);
        match self.admit(request, view, config, out) {
            Ok(AdmittedCall { team, operation, times_out_at }) => {
                let call = EntryCall {
                    driver_call,
                    team,
                    operation,
                    started_at: view.now,
                    times_out_at: Some(times_out_at),
                    is_overdue: false,
                    sent: Vec::new(),
                    next_copy: 1,
                    first_sent_at: view.now,
                    lost_answer: None,
                    resend_at: view.now,
                    resend_ms: RESEND_MIN_MS,
                };
                let serial = out.next_call_number();
                self.calls.insert(serial, call);
                self.advance(serial, view, config, out);
            }
            Err(refusal) => {
                out.count("entry.refused", 1);
                let answer = refusal.into_answer();
                out.push(NodeAction::CallerAnswer { call: driver_call, answer });
            }
        }
    }

    fn admit(
        &self,
        request: CallerRequest,
        view: &ClusterView,
        config: &NodeConfig,
        out: &mut ActionBuffer,
    ) -> Result<AdmittedCall, WorkRefusal> {
        check_ready(view)?;
        if self.calls.len() >= MAX_CALLS {
            let detail = "this daemon has too many calls under way";
            return Err(WorkRefusal::new(AnswerReason::Overloaded, detail));
        }
        let default_timeout_at = view.now.plus(ACCEPT_TIMEOUT_MS);
        match request {
            CallerRequest::Submit { key, queue, idempotency_key, is_waiting, spec } => {
                let entry = find_queue(view, &queue)?;
                let key = authorize(key.as_ref(), entry, view)?;
                check_spec(&spec, entry, config)?;
                check_idempotency_key(idempotency_key.as_deref())?;
                let times_out_at = submit_timeout_at(&spec, view.now);
                let team = entry.team.clone();
                let order = SubmitOrder {
                    queue,
                    nonce: out.draw(),
                    first_epoch: None,
                    age_ms: 0,
                    copy: 0,
                    key,
                    idempotency_key,
                    is_waiting,
                    version: view.manifest.version,
                    spec,
                };
                Ok(AdmittedCall {
                    team,
                    operation: EntryOperation::Submit(Box::new(order)),
                    times_out_at,
                })
            }
            CallerRequest::Query { key, job } => {
                authorize_job(key.as_ref(), &job, view)?;
                let team = job.team.clone();
                Ok(AdmittedCall {
                    team,
                    operation: EntryOperation::Query(job),
                    times_out_at: default_timeout_at,
                })
            }
            CallerRequest::Cancel { key, job } => {
                authorize_job(key.as_ref(), &job, view)?;
                let team = job.team.clone();
                Ok(AdmittedCall {
                    team,
                    operation: EntryOperation::Cancel(job),
                    times_out_at: default_timeout_at,
                })
            }
        }
    }

    /// Drops the call of a disconnected caller. Its work continues.
    pub(crate) fn on_caller_disconnected(&mut self, driver_call: u64) {
        self.calls.retain(|_, call| call.driver_call != driver_call);
    }

    /// Handles an owner's answer. An answer to a call that is no longer waiting is dropped.
    pub(crate) fn on_answer(
        &mut self,
        (from, boot): (&MemberName, u64),
        (call, copy): (CallId, u32),
        answer: WorkAnswer,
        view: &ClusterView,
        config: &NodeConfig,
        out: &mut ActionBuffer,
    ) {
        if call.boot != config.boot {
            return;
        }
        out.send(from, PeerMessage::AnswerAck { calls: vec![call] });
        let waiting = self.calls.get_mut(&call.serial);
        if waiting.is_some_and(|waiting| waiting.is_partial_refusal((from, boot), copy, &answer)) {
            out.count("entry.partial_refusals", 1);
            return;
        }
        if let Some(waiting) = self.calls.get_mut(&call.serial)
            && waiting.may_be_known_elsewhere((from, boot), &answer, view)
        {
            waiting.lost_answer.get_or_insert((view.now.plus(FORMER_OWNER_RESPONSE_MS), answer));
            return;
        }
        let Some(ended) = self.calls.remove(&call.serial) else {
            out.count("entry.late_answers", 1);
            return;
        };
        let millis = view.now.since(ended.started_at);
        out.push(NodeAction::Timing { metric: "entry.call", millis });
        out.push(NodeAction::CallerAnswer { call: ended.driver_call, answer });
    }

    /// Handles a member's response that copies of a call had no effect there.
    pub(crate) fn on_not_owner(
        &mut self,
        (from, boot): (&MemberName, u64),
        (call, copy): (CallId, u32),
        is_given_back: bool,
        view: &ClusterView,
    ) {
        if let Some(returned) = self.calls.get_mut(&call.serial) {
            let range = if is_given_back { CopyRange::UpTo(copy) } else { CopyRange::One(copy) };
            returned.discard_copies(from, boot, range);
            returned.resend_at = view.now.plus(UNSENT_RETRY_MS);
        }
    }

    /// Schedules calls for immediate resending if their last copy went to a member whose link is
    /// lost.
    pub(crate) fn on_link_lost(&mut self, member: &MemberName, now: ClockTime) {
        for call in self.calls.values_mut() {
            if call.sent.last().is_some_and(|sent| sent.member == *member) {
                call.resend_at = now;
            }
        }
    }

    /// Resends calls that are due and answers calls that have timed out.
    pub(crate) fn tick(&mut self, view: &ClusterView, config: &NodeConfig, out: &mut ActionBuffer) {
        let due: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| {
                view.now >= call.resend_at
                    || call.lost_answer.as_ref().is_some_and(|(at, _)| view.now >= *at)
                    || call.times_out_at.is_some_and(|at| view.now >= at)
                    || is_owner_changed(call, view)
            })
            .map(|(serial, _)| *serial)
            .collect();
        for serial in due {
            self.advance(serial, view, config, out);
        }
    }

    fn advance(
        &mut self,
        serial: u64,
        view: &ClusterView,
        config: &NodeConfig,
        out: &mut ActionBuffer,
    ) {
        let Some(call) = self.calls.get_mut(&serial) else { return };
        if let Some((_, answer)) = call.lost_answer.take_if(|(at, _)| view.now >= *at) {
            let driver_call = call.driver_call;
            self.calls.remove(&serial);
            out.push(NodeAction::CallerAnswer { call: driver_call, answer });
            return;
        }
        if call.times_out_at.is_some_and(|at| view.now >= at)
            && let Some(answer) = call.on_timeout(view)
        {
            let driver_call = call.driver_call;
            self.calls.remove(&serial);
            out.push(NodeAction::CallerAnswer { call: driver_call, answer });
            return;
        }
        let is_due = view.now >= call.resend_at || is_owner_changed(call, view);
        if is_due {
            call.send(CallId { boot: config.boot, serial }, view, out);
        }
    }
}

fn is_owner_changed(call: &EntryCall, view: &ClusterView) -> bool {
    let piece = PieceName::Team(call.team.clone());
    let Some(sent) = call.sent.last() else { return false };
    view.owners.get(&piece).is_some_and(|entry| {
        entry.record.owner.is_some()
            && (entry.record.epoch != sent.epoch || entry.record.boot != sent.boot)
    })
}

impl EntryCall {
    /// Returns whether an answer refuses only some of the copies that were sent.
    ///
    /// A refusal of an unknown job covers only the copies that have arrived. Another copy may still
    /// be accepted by the same or another owner, so the work counts as not run only once all copies
    /// are refused.
    fn is_partial_refusal(
        &mut self,
        (from, boot): (&MemberName, u64),
        copy: u32,
        answer: &WorkAnswer,
    ) -> bool {
        let is_submission = matches!(self.operation, EntryOperation::Submit(_));
        let is_known = answer.job.is_some() && self.sent.last().is_some_and(|s| s.member == *from);
        if !is_submission || is_known || answer.outcome != OutcomeKind::NotRun {
            return false;
        }
        self.discard_copies(from, boot, CopyRange::One(copy));
        !self.sent.is_empty()
    }

    /// Returns whether the work is lost for this owner while another owner that is still reachable
    /// may yet answer.
    fn may_be_known_elsewhere(
        &self,
        (from, boot): (&MemberName, u64),
        answer: &WorkAnswer,
        view: &ClusterView,
    ) -> bool {
        let is_lost = answer.outcome == OutcomeKind::Unknown && answer.reason == AnswerReason::Lost;
        is_lost
            && self.lost_answer.is_none()
            && self.sent.iter().any(|sent| {
                let is_other = sent.member != *from || sent.boot != boot;
                is_other && (sent.member == view.me || view.links.contains(&sent.member))
            })
    }

    /// Removes copies that had no effect at the process of a member.
    fn discard_copies(&mut self, member: &MemberName, boot: u64, range: CopyRange) {
        for sent in &mut self.sent {
            if sent.member == *member && sent.boot == boot {
                sent.remove(range);
            }
        }
        self.sent.retain(|sent| sent.first_copy <= sent.last_copy);
        if let EntryOperation::Submit(order) = &mut self.operation {
            order.first_epoch = self.sent.first().map(|sent| sent.epoch);
        }
    }

    /// Sends the call to the team's owner, if there is one.
    fn send(&mut self, id: CallId, view: &ClusterView, out: &mut ActionBuffer) {
        let piece = PieceName::Team(self.team.clone());
        let entry = view.owners.get(&piece);
        let Some((owner, record)) =
            entry.and_then(|entry| entry.record.owner.as_ref().map(|owner| (owner, &entry.record)))
        else {
            self.resend_at = view.now.plus(UNSENT_RETRY_MS);
            return;
        };
        if *owner != view.me && !view.links.contains(owner) {
            // The driver drops messages to a peer without a link, so the call counts as not sent.
            self.resend_at = view.now.plus(UNSENT_RETRY_MS);
            return;
        }
        if !self.sent.is_empty() {
            self.resend_ms = (self.resend_ms * 2).min(RESEND_MAX_MS);
            out.count("entry.resends", 1);
        }
        self.resend_at = view.now.plus(self.resend_ms);
        if self.next_copy == 1 {
            self.first_sent_at = view.now;
        }
        let copy = self.next_copy;
        let message = match &mut self.operation {
            EntryOperation::Submit(order) => {
                order.age_ms = view.now.since(self.first_sent_at);
                order.copy = copy;
                let copied = order.as_ref().clone();
                order.first_epoch = order.first_epoch.or(Some(record.epoch));
                PeerMessage::Submit { call: id, team: self.team.clone(), order: copied }
            }
            EntryOperation::Query(job) => PeerMessage::JobQuery { call: id, job: job.clone() },
            EntryOperation::Cancel(job) => PeerMessage::JobCancel { call: id, job: job.clone() },
        };
        self.record_sent(owner, record, copy);
        out.send(owner, message);
    }

    fn record_sent(&mut self, owner: &MemberName, record: &OwnerRecord, copy: u32) {
        self.next_copy = copy + 1;
        match self.sent.last_mut() {
            Some(last) if last.member == *owner && last.epoch == record.epoch => {
                last.last_copy = copy;
            }
            _ => self.sent.push(SentCopies {
                member: owner.clone(),
                boot: record.boot,
                epoch: record.epoch,
                first_copy: copy,
                last_copy: copy,
            }),
        }
    }

    /// Returns the entry's own answer to a call that timed out, or `None` to continue waiting.
    ///
    /// Work that reached no owner is refused. For work that may have reached an owner, the entry
    /// waits as long as there is one, since the owner enforces the deadline and its answer is
    /// authoritative.
    fn on_timeout(&mut self, view: &ClusterView) -> Option<WorkAnswer> {
        let unknown =
            |detail| Some(WorkAnswer::new(OutcomeKind::Unknown, AnswerReason::Lost, detail));
        let EntryOperation::Submit(order) = &self.operation else {
            return unknown("the team's owner did not answer in time");
        };
        if order.first_epoch.is_none() {
            let detail = "no owner of the team could be reached before the deadline";
            return Some(WorkAnswer::refused(AnswerReason::DeadlinePassed, detail));
        }
        let has_owner = self.sent.last().is_some_and(|sent| {
            let entry = view.members.get(&sent.member);
            sent.member == view.me || entry.is_some_and(|entry| entry.is_listed)
        });
        if self.is_overdue && !has_owner {
            return unknown("the team's owner is lost and nobody has taken over");
        }
        self.is_overdue = !has_owner;
        self.times_out_at = Some(view.now.plus(FAILOVER_WAIT_MS));
        None
    }
}

fn submit_timeout_at(spec: &WorkSpec, now: ClockTime) -> ClockTime {
    if spec.deadline_ms == 0 {
        now.plus(ACCEPT_TIMEOUT_MS)
    } else {
        now.plus(spec.deadline_ms.saturating_add(OWNER_GRACE_MS))
    }
}

fn check_ready(view: &ClusterView) -> Result<(), WorkRefusal> {
    if view.is_leaving {
        return Err(WorkRefusal::new(AnswerReason::Leaving, "this daemon is shutting down"));
    }
    if !view.may_start() {
        let detail = "this daemon cannot prove that its configuration is current";
        return Err(WorkRefusal::new(AnswerReason::Isolated, detail));
    }
    Ok(())
}

fn find_queue<'a>(view: &'a ClusterView, queue: &QueueName) -> Result<&'a QueueEntry, WorkRefusal> {
    view.queue(queue).ok_or_else(|| {
        WorkRefusal::new(AnswerReason::UnknownQueue, &format!("there is no queue {queue}"))
    })
}

/// Checks the key for a queue. Only an open queue accepts work without a key.
fn authorize(
    presented: Option<&PresentedKey>,
    queue: &QueueEntry,
    view: &ClusterView,
) -> Result<Option<KeyName>, WorkRefusal> {
    let Some(presented) = presented else {
        return if queue.open { Ok(None) } else { Err(invalid_key()) };
    };
    match view.manifest.keys.check_key(&presented.text, view.now.0) {
        KeyCheckOutcome::Valid { key, team } if team == queue.team => Ok(Some(key)),
        KeyCheckOutcome::Valid { .. } if queue.open => Ok(None),
        _ => Err(invalid_key()),
    }
}

fn authorize_job(
    presented: Option<&PresentedKey>,
    job: &JobId,
    view: &ClusterView,
) -> Result<(), WorkRefusal> {
    let queue = find_queue(view, &job.queue)?;
    if queue.team != job.team {
        return Err(WorkRefusal::new(AnswerReason::UnknownJob, "there is no such job"));
    }
    authorize(presented, queue, view).map(|_| ())
}

fn invalid_key() -> WorkRefusal {
    WorkRefusal::new(AnswerReason::KeyRefused, "the key is missing or not valid for this queue")
}

fn check_spec(spec: &WorkSpec, queue: &QueueEntry, config: &NodeConfig) -> Result<(), WorkRefusal> {
    let refuse = |detail: &str| Err(WorkRefusal::new(AnswerReason::Invalid, detail));
    if spec.tasks == 0 || spec.tasks > config.max_tasks_per_job {
        return refuse(&format!("tasks must be from 1 to {}", config.max_tasks_per_job));
    }
    if spec.kind == WorkKind::Request && spec.tasks != 1 {
        return refuse("a request has exactly one task");
    }
    if spec.priority > queue.highest_priority {
        return refuse("the queue does not allow this priority");
    }
    if spec.payload.len() > MAX_PAYLOAD_BYTES {
        return refuse(&format!("the payload has more than {MAX_PAYLOAD_BYTES} bytes"));
    }
    if spec.resources.checked_mul(spec.tasks.into()).is_none() {
        return refuse("the resources of all tasks together are too large to add up");
    }
    Ok(())
}

fn check_idempotency_key(key: Option<&str>) -> Result<(), WorkRefusal> {
    match key {
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => {
            let detail =
                format!("Idempotency-Key must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
            Err(WorkRefusal::new(AnswerReason::Invalid, &detail))
        }
        _ => Ok(()),
    }
}
