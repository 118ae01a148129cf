//! The entry role: takes callers' requests, judges their keys and passes them to queue owners.
//!
//! A call that may have reached an owner is never given up as `not_run`. Submitting it again
//! under the same job number is an inquiry: an owner that knows the job answers for it, and one
//! that does not may start it only if that cannot be a second run.

use {
    crate::{
        CallerRequest, NodeAction, NodeConfig, PresentedKey, buffer::ActionBuffer,
        refusal::WorkRefusal, view::ClusterView,
    },
    damaskrack_manifest::{KeyVerdict, QueueEntry},
    damaskrack_model::{
        AnswerReason, CallId, ClockTime, Epoch, JobId, KeyName, MemberName, OutcomeKind, QueueName,
        TeamName, WorkAnswer, WorkKind, WorkSpec,
    },
    damaskrack_ownership::{OwnerRecord, PieceName},
    damaskrack_wire::{PeerMessage, SubmitOrder},
    std::collections::BTreeMap,
};

/// Longest time to wait for acceptance when the caller set no deadline, in milliseconds.
const ACCEPT_WAIT_MS: u64 = 20_000;
/// Time added to a deadline before the entry itself answers, in milliseconds.
const OWNER_GRACE_MS: u64 = 2_000;
/// Time that a call which may have reached an owner waits for somebody to take over, in
/// milliseconds.
const LOST_OWNER_WAIT_MS: u64 = 60_000;
/// First interval after which an unanswered call is sent again, in milliseconds.
const RESEND_MIN_MS: u64 = 1_000;
/// Longest interval after which an unanswered call is sent again, in milliseconds.
const RESEND_MAX_MS: u64 = 8_000;
/// Most calls under way at once.
const MAX_CALLS: usize = 10_000;
/// Time that a former owner's answer is waited for when the present one lost the work, in
/// milliseconds.
const FORMER_ANSWER_MS: u64 = 2_000;
/// Largest payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = 64 << 10;
/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// What a call asks the team's owner.
#[derive(Debug)]
enum EntryQuestion {
    Submit(Box<SubmitOrder>),
    Query(JobId),
    Cancel(JobId),
}

/// A caller's call under way.
#[derive(Debug)]
struct EntryCall {
    driver_call: u64,
    team: TeamName,
    question: EntryQuestion,
    started_at: ClockTime,
    /// When the entry answers by itself; `None` while the work may run for as long as it needs.
    gives_up_at: Option<ClockTime>,
    /// Whether the waiting time has passed once already without a reachable owner.
    is_overdue: bool,
    /// Owners that copies were sent to and that have not said that they had no effect, in the
    /// order of sending.
    sent: Vec<SentCopies>,
    next_copy: u32,
    first_sent_at: ClockTime,
    /// Answer of an owner that lost the work, kept while another may still know its end.
    fallback: Option<(ClockTime, WorkAnswer)>,
    resend_at: ClockTime,
    resend_ms: u64,
}

/// Copies of a call that one owner may have taken.
#[derive(Debug)]
struct SentCopies {
    member: MemberName,
    boot: u64,
    epoch: Epoch,
    /// Number of the earliest copy that may have had an effect.
    first_copy: u32,
    /// Number of the latest copy.
    last_copy: u32,
}

/// Copies that a member says had no effect.
#[derive(Debug, Clone, Copy)]
enum CopyRange {
    /// One copy.
    One(u32),
    /// This copy and all before it.
    UpTo(u32),
}

impl SentCopies {
    /// Takes copies out; a copy in the middle stays, which errs on the safe side.
    fn remove(&mut self, void: CopyRange) {
        match void {
            CopyRange::UpTo(copy) => self.first_copy = self.first_copy.max(copy + 1),
            CopyRange::One(copy) if copy == self.first_copy => self.first_copy += 1,
            CopyRange::One(copy) if copy == self.last_copy => self.last_copy -= 1,
            CopyRange::One(_) => {}
        }
    }
}

/// A request that passed the entry's checks.
struct AdmittedCall {
    team: TeamName,
    question: EntryQuestion,
    gives_up_at: ClockTime,
}

/// Calls under way.
#[derive(Debug, Default)]
pub(crate) struct EntryRole {
    calls: BTreeMap<u64, EntryCall>,
}

impl EntryRole {
    /// Tells whether no caller waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the number of callers that wait.
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Takes a caller's request.
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
            Ok(AdmittedCall { team, question, gives_up_at }) => {
                let call = EntryCall {
                    driver_call,
                    team,
                    question,
                    started_at: view.now,
                    gives_up_at: Some(gives_up_at),
                    is_overdue: false,
                    sent: Vec::new(),
                    next_copy: 1,
                    first_sent_at: view.now,
                    fallback: None,
                    resend_at: view.now,
                    resend_ms: RESEND_MIN_MS,
                };
                let serial = out.take_number();
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
        check_standing(view)?;
        if self.calls.len() >= MAX_CALLS {
            let detail = "this daemon has too many calls under way";
            return Err(WorkRefusal::new(AnswerReason::Overloaded, detail));
        }
        let default_end = view.now.plus(ACCEPT_WAIT_MS);
        match request {
            CallerRequest::Submit { key, queue, idempotency_key, is_waiting, spec } => {
                let entry = find_queue(view, &queue)?;
                let key = judge_key(key.as_ref(), entry, view)?;
                check_spec(&spec, entry, config)?;
                check_idempotency_key(idempotency_key.as_deref())?;
                let gives_up_at = submit_end(&spec, view.now);
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
                    question: EntryQuestion::Submit(Box::new(order)),
                    gives_up_at,
                })
            }
            CallerRequest::Query { key, job } => {
                judge_job_key(key.as_ref(), &job, view)?;
                let team = job.team.clone();
                Ok(AdmittedCall {
                    team,
                    question: EntryQuestion::Query(job),
                    gives_up_at: default_end,
                })
            }
            CallerRequest::Cancel { key, job } => {
                judge_job_key(key.as_ref(), &job, view)?;
                let team = job.team.clone();
                Ok(AdmittedCall {
                    team,
                    question: EntryQuestion::Cancel(job),
                    gives_up_at: default_end,
                })
            }
        }
    }

    /// Forgets a caller that has gone. Its work goes on.
    pub(crate) fn on_caller_gone(&mut self, driver_call: u64) {
        self.calls.retain(|_, call| call.driver_call != driver_call);
    }

    /// Takes an answer. An answer for a call that has ended is dropped.
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
            waiting.fallback.get_or_insert((view.now.plus(FORMER_ANSWER_MS), answer));
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

    /// Takes the statement that copies of a call had no effect at a member.
    pub(crate) fn on_not_owner(
        &mut self,
        (from, boot): (&MemberName, u64),
        (call, copy): (CallId, u32),
        is_given_back: bool,
        view: &ClusterView,
    ) {
        if let Some(returned) = self.calls.get_mut(&call.serial) {
            let void = if is_given_back { CopyRange::UpTo(copy) } else { CopyRange::One(copy) };
            returned.void_copies(from, boot, void);
            returned.resend_at = view.now.plus(RESEND_MIN_MS / 10);
        }
    }

    /// Sends calls on the way to a lost peer again as soon as possible.
    pub(crate) fn on_link_lost(&mut self, member: &MemberName, now: ClockTime) {
        for call in self.calls.values_mut() {
            if call.sent.last().is_some_and(|sent| sent.member == *member) {
                call.resend_at = now;
            }
        }
    }

    /// Sends what is due and answers what has waited too long.
    pub(crate) fn tick(&mut self, view: &ClusterView, config: &NodeConfig, out: &mut ActionBuffer) {
        let due: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| {
                view.now >= call.resend_at
                    || call.fallback.as_ref().is_some_and(|(at, _)| view.now >= *at)
                    || call.gives_up_at.is_some_and(|at| view.now >= at)
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
        if let Some((_, answer)) = call.fallback.take_if(|(at, _)| view.now >= *at) {
            let driver_call = call.driver_call;
            self.calls.remove(&serial);
            out.push(NodeAction::CallerAnswer { call: driver_call, answer });
            return;
        }
        if call.gives_up_at.is_some_and(|at| view.now >= at)
            && let Some(answer) = call.give_up(view)
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
    view.owners.get(&piece).is_some_and(|row| {
        row.record.owner.is_some()
            && (row.record.epoch != sent.epoch || row.record.boot != sent.boot)
    })
}

impl EntryCall {
    /// Tells whether an answer refuses less than everything that was sent.
    ///
    /// A refusal of unknown work speaks of the copies that have arrived. Another copy may still be
    /// taken, by another owner or by the same one, so only refusals of all copies make the work
    /// not run.
    fn is_partial_refusal(
        &mut self,
        (from, boot): (&MemberName, u64),
        copy: u32,
        answer: &WorkAnswer,
    ) -> bool {
        let is_question = !matches!(self.question, EntryQuestion::Submit(_));
        let is_known = answer.job.is_some() && self.sent.last().is_some_and(|s| s.member == *from);
        if is_question || is_known || answer.outcome != OutcomeKind::NotRun {
            return false;
        }
        self.void_copies(from, boot, CopyRange::One(copy));
        !self.sent.is_empty()
    }

    /// Tells whether the work is lost for one owner while another, which can still be heard, may
    /// have its answer on the way.
    fn may_be_known_elsewhere(
        &self,
        (from, boot): (&MemberName, u64),
        answer: &WorkAnswer,
        view: &ClusterView,
    ) -> bool {
        let is_lost = answer.outcome == OutcomeKind::Unknown && answer.reason == AnswerReason::Lost;
        is_lost
            && self.fallback.is_none()
            && self.sent.iter().any(|sent| {
                let is_other = sent.member != *from || sent.boot != boot;
                is_other && (sent.member == view.me || view.links.contains(&sent.member))
            })
    }

    /// Notes that copies had no effect at a process of a member.
    fn void_copies(&mut self, member: &MemberName, boot: u64, void: CopyRange) {
        for sent in &mut self.sent {
            if sent.member == *member && sent.boot == boot {
                sent.remove(void);
            }
        }
        self.sent.retain(|sent| sent.first_copy <= sent.last_copy);
        if let EntryQuestion::Submit(order) = &mut self.question {
            order.first_epoch = self.sent.first().map(|sent| sent.epoch);
        }
    }

    /// Sends the call to the team's owner, if there is one.
    fn send(&mut self, id: CallId, view: &ClusterView, out: &mut ActionBuffer) {
        let piece = PieceName::Team(self.team.clone());
        let row = view.owners.get(&piece);
        let Some((owner, record)) =
            row.and_then(|row| row.record.owner.as_ref().map(|owner| (owner, &row.record)))
        else {
            self.resend_at = view.now.plus(RESEND_MIN_MS / 10);
            return;
        };
        if *owner != view.me && !view.links.contains(owner) {
            // Without a link the message would be dropped; so it is certain that it was not sent.
            self.resend_at = view.now.plus(RESEND_MIN_MS / 10);
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
        let message = match &mut self.question {
            EntryQuestion::Submit(order) => {
                order.age_ms = view.now.since(self.first_sent_at);
                order.copy = copy;
                let copied = order.as_ref().clone();
                order.first_epoch = order.first_epoch.or(Some(record.epoch));
                PeerMessage::Submit { call: id, team: self.team.clone(), order: copied }
            }
            EntryQuestion::Query(job) => PeerMessage::JobQuery { call: id, job: job.clone() },
            EntryQuestion::Cancel(job) => PeerMessage::JobCancel { call: id, job: job.clone() },
        };
        self.note_sent(owner, record, copy);
        out.send(owner, message);
    }

    fn note_sent(&mut self, owner: &MemberName, record: &OwnerRecord, copy: u32) {
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

    /// Returns the entry's own answer at the end of the waiting time, or `None` to wait on.
    ///
    /// Work that certainly reached nobody is refused. For work that may have reached an owner the
    /// entry waits on while there is one: the owner enforces the deadline and its answer is the
    /// truth.
    fn give_up(&mut self, view: &ClusterView) -> Option<WorkAnswer> {
        let unknown =
            |detail| Some(WorkAnswer::new(OutcomeKind::Unknown, AnswerReason::Lost, detail));
        let EntryQuestion::Submit(order) = &self.question else {
            return unknown("the team's owner did not answer in time");
        };
        if order.first_epoch.is_none() {
            let detail = "no owner of the team could be reached before the deadline";
            return Some(WorkAnswer::refused(AnswerReason::DeadlinePassed, detail));
        }
        let has_owner = self.sent.last().is_some_and(|sent| {
            let row = view.members.get(&sent.member);
            sent.member == view.me || row.is_some_and(|row| row.is_listed)
        });
        if self.is_overdue && !has_owner {
            return unknown("the team's owner is lost and nobody has taken over");
        }
        self.is_overdue = !has_owner;
        self.gives_up_at = Some(view.now.plus(LOST_OWNER_WAIT_MS));
        None
    }
}

fn submit_end(spec: &WorkSpec, now: ClockTime) -> ClockTime {
    if spec.deadline_ms == 0 {
        now.plus(ACCEPT_WAIT_MS)
    } else {
        now.plus(spec.deadline_ms.saturating_add(OWNER_GRACE_MS))
    }
}

fn check_standing(view: &ClusterView) -> Result<(), WorkRefusal> {
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

/// Judges the key for a queue. Only an open queue takes work without one.
fn judge_key(
    shown: Option<&PresentedKey>,
    queue: &QueueEntry,
    view: &ClusterView,
) -> Result<Option<KeyName>, WorkRefusal> {
    let Some(shown) = shown else {
        return if queue.open { Ok(None) } else { Err(key_refusal()) };
    };
    match view.manifest.keys.check_key(&shown.text, view.now.0) {
        KeyVerdict::Valid { key, team } if team == queue.team => Ok(Some(key)),
        KeyVerdict::Valid { .. } if queue.open => Ok(None),
        _ => Err(key_refusal()),
    }
}

fn judge_job_key(
    shown: Option<&PresentedKey>,
    job: &JobId,
    view: &ClusterView,
) -> Result<(), WorkRefusal> {
    let queue = find_queue(view, &job.queue)?;
    if queue.team != job.team {
        return Err(WorkRefusal::new(AnswerReason::UnknownJob, "there is no such job"));
    }
    judge_key(shown, queue, view).map(|_| ())
}

fn key_refusal() -> WorkRefusal {
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
