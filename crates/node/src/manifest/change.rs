//! Writes changes of the manifest for operators.
//!
//! The sections are written first, under keys of their own. Then the head is replaced by
//! compare-and-swap on the version that the operator started from. Each change has a random number,
//! by which a change whose response was lost is recognized when the head is read back, so that it
//! is never written twice.

use {
    super::fetch::{changed_sections, section_id},
    crate::{
        LogLevel, NodeAction, NodeConfig, buffer::ActionBuffer, refusal::WorkRefusal,
        view::ClusterView,
    },
    damaskrack_manifest::{HEAD_KEY, ManifestHead, parse_manifest, section_key},
    damaskrack_model::{AnswerReason, ClockTime, MemberName, OutcomeKind, WorkAnswer},
    damaskrack_outside::{StoreCall, StoreError, StoreReply},
    damaskrack_ownership::{MemberStanding, SwapOutcome, VersionStamp, classify_swap},
    std::collections::VecDeque,
};

/// Maximum time to wait until all members have confirmed a change, in milliseconds.
const PROPAGATION_TIMEOUT_MS: u64 = 6_000;
/// Maximum time to try to write a change, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 8_000;
/// Delay before a failed call is retried, in milliseconds.
const RETRY_MS: u64 = 200;
/// Maximum number of changes that wait for the current one.
const MAX_WAITING_CHANGES: usize = 64;

#[derive(Debug)]
enum ChangePhase {
    /// Sections that are still to be written.
    Sections(VecDeque<(String, String)>),
    /// The head is to be replaced.
    Head,
    /// The response was lost; the head is to be read back.
    ReadBack,
    /// Written; waits until all members have confirmed it.
    Propagating { since: ClockTime },
}

/// A change that an operator submitted.
#[derive(Debug)]
struct ManifestChange {
    operator_call: u64,
    head: ManifestHead,
    base_revision: u64,
    phase: ChangePhase,
    store_call: u64,
    started_at: ClockTime,
    next_at: ClockTime,
    obsolete: Vec<String>,
    /// Whether the write of the head may have taken effect.
    is_uncertain: bool,
}

#[derive(Debug)]
struct WaitingChange {
    operator_call: u64,
    base: u64,
    json: String,
}

/// Writes changes of the manifest, one at a time.
#[derive(Debug, Default)]
pub(crate) struct ManifestWriter {
    current: Option<ManifestChange>,
    waiting: VecDeque<WaitingChange>,
    propagating: Vec<ManifestChange>,
}

/// What to do with the current change after a store call.
enum ChangeStep {
    Continue,
    Propagate,
    Answer(WorkAnswer),
}

impl ManifestWriter {
    /// Queues a change from an operator.
    pub(crate) fn submit(
        &mut self,
        operator_call: u64,
        base: u64,
        json: String,
        view: &ClusterView,
        out: &mut ActionBuffer,
    ) {
        if self.waiting.len() >= MAX_WAITING_CHANGES {
            let answer = WorkAnswer::refused(AnswerReason::Overloaded, "too many changes wait");
            return answer_operator(operator_call, answer, view, out);
        }
        self.waiting.push_back(WaitingChange { operator_call, base, json });
    }

    /// Returns whether no change waits, is being written or is propagating.
    pub(crate) fn is_idle(&self) -> bool {
        self.current.is_none() && self.waiting.is_empty() && self.propagating.is_empty()
    }

    /// Starts the store call that is due and answers changes that have propagated.
    pub(crate) fn tick(
        &mut self,
        head_version: u64,
        head_revision: u64,
        view: &ClusterView,
        config: &NodeConfig,
        out: &mut ActionBuffer,
    ) {
        self.finish_propagating(view, out);
        let is_current =
            head_version <= view.manifest.version || view.standing != MemberStanding::Connected;
        if self.current.is_none()
            && is_current
            && let Some(next) = self.waiting.pop_front()
        {
            match begin_change(&next, head_version, head_revision, view, out) {
                Ok(change) => self.current = Some(change),
                Err(refusal) => {
                    answer_operator(next.operator_call, refusal.into_answer(), view, out);
                }
            }
        }
        let Some(change) = &mut self.current else { return };
        if change.store_call != 0 || view.now < change.next_at {
            return;
        }
        if view.now.since(change.started_at) > WRITE_TIMEOUT_MS {
            let answer = change.timeout_answer();
            let call = change.operator_call;
            self.current = None;
            return answer_operator(call, answer, view, out);
        }
        let request = change.next_request();
        change.store_call = out.store(request, config.store_timeout_ms);
    }

    /// Returns whether a store call belongs to the writer.
    pub(crate) fn owns_call(&self, call: u64) -> bool {
        self.current.as_ref().is_some_and(|change| change.store_call == call)
    }

    /// Handles the result of a store call.
    pub(crate) fn on_store(
        &mut self,
        result: Result<StoreReply, StoreError>,
        view: &ClusterView,
        config: &NodeConfig,
        out: &mut ActionBuffer,
    ) {
        let Some(mut change) = self.current.take() else { return };
        change.store_call = 0;
        match change.on_reply(result, view.now) {
            ChangeStep::Continue => self.current = Some(change),
            ChangeStep::Answer(answer) => {
                answer_operator(change.operator_call, answer, view, out);
            }
            ChangeStep::Propagate => {
                out.log(LogLevel::Info, "manifest_written", &[("version", &change.head.version)]);
                for key in change.obsolete.drain(..) {
                    let to = format!("{key}\0");
                    out.store(StoreCall::DeleteRange { from: key, to }, config.store_timeout_ms);
                }
                change.phase = ChangePhase::Propagating { since: view.now };
                self.propagating.push(change);
            }
        }
    }

    fn finish_propagating(&mut self, view: &ClusterView, out: &mut ActionBuffer) {
        self.propagating.retain(|change| {
            let ChangePhase::Propagating { since } = change.phase else { return false };
            let unconfirmed = find_unconfirmed(change.head.version, view);
            let is_late = view.now.since(since) > PROPAGATION_TIMEOUT_MS;
            if unconfirmed.is_some() && !is_late {
                return true;
            }
            let answer = propagation_answer(unconfirmed);
            answer_operator(change.operator_call, answer, view, out);
            false
        });
    }
}

fn propagation_answer(unconfirmed: Option<&MemberName>) -> WorkAnswer {
    match unconfirmed {
        None => WorkAnswer::new(OutcomeKind::Done, AnswerReason::Ok, "in force on every member"),
        Some(member) => {
            let detail = format!("written, spreading; not confirmed by {member}");
            WorkAnswer::new(OutcomeKind::Done, AnswerReason::Spreading, &detail)
        }
    }
}

/// Finds a member that may still act on an earlier version: it is listed or owns pieces, and has
/// not confirmed this version.
fn find_unconfirmed(version: u64, view: &ClusterView) -> Option<&MemberName> {
    if view.manifest.version < version {
        return Some(&view.me);
    }
    view.members
        .iter()
        .find(|(member, entry)| {
            let counts = entry.is_listed || view.owns_anything(member);
            **member != view.me && counts && entry.version < version
        })
        .map(|(member, _)| member)
}

fn begin_change(
    next: &WaitingChange,
    head_version: u64,
    head_revision: u64,
    view: &ClusterView,
    out: &mut ActionBuffer,
) -> Result<ManifestChange, WorkRefusal> {
    if view.standing != MemberStanding::Connected {
        let detail = "this daemon does not reach the store and half of the members";
        return Err(WorkRefusal::new(AnswerReason::StoreUnavailable, detail));
    }
    if next.base != head_version || head_version != view.manifest.version {
        return Err(conflict_refusal(next.base, head_version));
    }
    let document = parse_manifest(&next.json).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        WorkRefusal::new(AnswerReason::Invalid, &lines.join("\n"))
    })?;
    let version = head_version + 1;
    let mut sections = view.manifest.head.sections.clone();
    let mut puts = VecDeque::new();
    let mut obsolete = Vec::new();
    for (section, json) in changed_sections(view, &document) {
        let id = section_id(version, &json);
        puts.push_back((section_key(section, &id), json));
        if let Some(former) = sections.insert(section.name().to_owned(), id) {
            obsolete.push(section_key(section, &former));
        }
    }
    Ok(ManifestChange {
        operator_call: next.operator_call,
        head: ManifestHead { version, change: out.draw(), sections },
        base_revision: head_revision,
        phase: ChangePhase::Sections(puts),
        store_call: 0,
        started_at: view.now,
        next_at: view.now,
        obsolete,
        is_uncertain: false,
    })
}

fn conflict_refusal(base: u64, current: u64) -> WorkRefusal {
    let detail = format!("the manifest is at version {current}, not {base}; read it and try again");
    WorkRefusal::new(AnswerReason::Conflict, &detail)
}

impl ManifestChange {
    fn next_request(&mut self) -> StoreCall {
        if let ChangePhase::Sections(puts) = &self.phase {
            if let Some((key, value)) = puts.front().cloned() {
                return StoreCall::Put { key, expected: 0, value, lease: 0 };
            }
            self.phase = ChangePhase::Head;
        }
        match self.phase {
            ChangePhase::ReadBack => StoreCall::Get { key: HEAD_KEY.to_owned() },
            _ => StoreCall::Put {
                key: HEAD_KEY.to_owned(),
                expected: self.base_revision,
                value: self.head.to_json(),
                lease: 0,
            },
        }
    }

    fn on_reply(&mut self, result: Result<StoreReply, StoreError>, now: ClockTime) -> ChangeStep {
        match (&mut self.phase, result) {
            // A section's key contains its hash, so an existing section has the same content.
            (
                ChangePhase::Sections(puts),
                Ok(StoreReply::Written { .. } | StoreReply::Conflict { .. }),
            ) => {
                puts.pop_front();
                ChangeStep::Continue
            }
            (ChangePhase::Head, Ok(StoreReply::Written { .. })) => ChangeStep::Propagate,
            (ChangePhase::Head, Ok(StoreReply::Conflict { current })) => {
                self.classify_head(current.map(|entry| entry.value).as_deref())
            }
            (ChangePhase::ReadBack, Ok(StoreReply::Entries { entries, .. })) => {
                self.phase = ChangePhase::Head;
                self.classify_head(entries.first().map(|entry| entry.value.as_str()))
            }
            (ChangePhase::Head, Err(StoreError::Lost)) => {
                self.is_uncertain = true;
                self.phase = ChangePhase::ReadBack;
                self.retry(now)
            }
            _ => self.retry(now),
        }
    }

    fn retry(&mut self, now: ClockTime) -> ChangeStep {
        self.next_at = now.plus(RETRY_MS);
        ChangeStep::Continue
    }

    /// Determines from the head in the store whether the write took effect.
    fn classify_head(&self, value: Option<&str>) -> ChangeStep {
        let found = value.and_then(|text| ManifestHead::from_json(text).ok()).unwrap_or_default();
        match classify_swap(stamp_of(&self.head), stamp_of(&found)) {
            SwapOutcome::Applied => return ChangeStep::Propagate,
            SwapOutcome::Pending => return ChangeStep::Continue,
            SwapOutcome::Superseded => {}
        }
        // A later change replaced this one or was written instead of it. If the response was lost,
        // it is unknown whether this one was in force in between.
        let mut answer = conflict_refusal(self.head.version - 1, found.version).into_answer();
        if self.is_uncertain {
            answer.outcome = OutcomeKind::Unknown;
        }
        ChangeStep::Answer(answer)
    }

    fn timeout_answer(&self) -> WorkAnswer {
        let detail = "the store did not take the change in time";
        let outcome = if self.is_uncertain { OutcomeKind::Unknown } else { OutcomeKind::NotRun };
        WorkAnswer::new(outcome, AnswerReason::StoreUnavailable, detail)
    }
}

fn stamp_of(head: &ManifestHead) -> VersionStamp {
    VersionStamp { version: head.version, change: head.change }
}

fn answer_operator(call: u64, answer: WorkAnswer, view: &ClusterView, out: &mut ActionBuffer) {
    out.push(NodeAction::OperatorAnswer { call, version: view.manifest.version, answer });
}
