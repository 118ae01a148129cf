//! Checks a script's expectations against the history of a run.

use {
    crate::{
        observe::{RunHistory, SeenAnswer, SeenLoss, SeenRun, SeenWork},
        script::{AnswerCount, ExpectKind, ScriptExpect},
    },
    damaskrack_model::OutcomeKind,
};

/// State of a caller's work at a given time, as its caller knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WorkState {
    /// No final response yet.
    Open,
    /// The connection of the last try broke before a response.
    Broken,
    /// The final response has this outcome.
    Answered(OutcomeKind),
}

/// Returns the state of a work item at `by_ms`.
fn state_at(work: &SeenWork, by_ms: u64) -> WorkState {
    if let Some((at_ms, outcome)) = work.ended
        && at_ms <= by_ms
    {
        return outcome.map_or(WorkState::Open, WorkState::Answered);
    }
    let Some(last) = work.tries.iter().rfind(|attempt| attempt.at_ms <= by_ms) else {
        return WorkState::Open;
    };
    let answer = last.answers.iter().find(|answer| answer.at_ms <= by_ms);
    match answer {
        Some(answer) if work.is_job && answer.is_acknowledgement() => WorkState::Open,
        Some(answer) => WorkState::Answered(answer.outcome),
        None if last.is_broken => WorkState::Broken,
        None => WorkState::Open,
    }
}

fn is_counted(state: WorkState, count: AnswerCount) -> bool {
    match count {
        AnswerCount::Done => state == WorkState::Answered(OutcomeKind::Done),
        AnswerCount::Failed => state == WorkState::Answered(OutcomeKind::Failed),
        AnswerCount::NotRun => state == WorkState::Answered(OutcomeKind::NotRun),
        AnswerCount::Unknown => state == WorkState::Answered(OutcomeKind::Unknown),
        AnswerCount::Broken => state == WorkState::Broken,
        AnswerCount::All => matches!(state, WorkState::Answered(_)),
    }
}

fn is_tagged(work: &SeenWork, tag: Option<&str>) -> bool {
    tag.is_none() || work.tag.as_deref() == tag
}

fn is_acknowledged(work: &SeenWork) -> bool {
    let mut answers = work.tries.iter().flat_map(|attempt| &attempt.answers);
    work.is_job && answers.any(SeenAnswer::is_acknowledgement)
}

fn runs_of(history: &RunHistory, work: usize) -> impl Iterator<Item = &SeenRun> {
    history.runs.iter().filter(move |seen| history.work_index(&seen.token) == Some(work))
}

/// Checks an expectation. Returns why it is not met, or `None` if it is.
pub(crate) fn check_expectation(expect: &ScriptExpect, history: &RunHistory) -> Option<String> {
    let by_ms = expect.by_ms.unwrap_or(history.end_ms);
    let found = match &expect.kind {
        ExpectKind::Answers { count, tag, compare, bound } => {
            let works = history.works.iter().filter(|work| is_tagged(work, tag.as_deref()));
            let value = works.filter(|work| is_counted(state_at(work, by_ms), *count)).count();
            (!compare.holds(value as u64, *bound)).then(|| format!("found {value}"))
        }
        ExpectKind::JobsEnded { tag } => check_jobs_ended(history, tag.as_deref(), by_ms),
        ExpectKind::JobsParked { tag } => check_jobs_parked(history, tag),
        ExpectKind::Starts { tag, compare, bound } => {
            let is_match = |seen: &&SeenRun| {
                let work = history.find_token(&seen.token).map(|(work, _)| work);
                work.is_some_and(|work| is_tagged(work, Some(tag))) && seen.run.start_ms <= by_ms
            };
            let value = history.runs.iter().filter(is_match).count();
            (!compare.holds(value as u64, *bound)).then(|| format!("found {value}"))
        }
        ExpectKind::Takeover { bound_ms } => check_takeover(history, *bound_ms),
        ExpectKind::StartDelay { tag, bound_ms } => check_start_delay(history, tag, *bound_ms),
        ExpectKind::ChangesAccepted { at_least } => (history.accepted_changes < *at_least)
            .then(|| format!("found {}", history.accepted_changes)),
        ExpectKind::Exit { bound_ms } => check_exit(history, *bound_ms),
    };
    found.map(|found| format!("line {}: {}: {found}", expect.line, expect.text))
}

fn check_jobs_ended(history: &RunHistory, tag: Option<&str>, by_ms: u64) -> Option<String> {
    let is_open = |work: &&SeenWork| {
        is_tagged(work, tag)
            && is_acknowledged(work)
            && work.ended.is_none_or(|(at_ms, _)| at_ms > by_ms)
    };
    let mut works = history.works.iter();
    if !works.any(|work| is_tagged(work, tag) && is_acknowledged(work)) {
        return Some("no job was acknowledged".to_owned());
    }
    let open = history.works.iter().filter(is_open).count();
    (open > 0).then(|| format!("{open} acknowledged jobs have not ended"))
}

fn check_jobs_parked(history: &RunHistory, tag: &str) -> Option<String> {
    let mut works = history.works.iter().filter(|work| is_tagged(work, Some(tag)));
    works.any(|work| !work.is_parked).then(|| "a job is not parked".to_owned())
}

/// Returns the total overlap of cell-wide store faults with the time from `from_ms` to `until_ms`.
fn outage_ms(history: &RunHistory, from_ms: u64, until_ms: u64) -> u64 {
    let global = history.disturbances.iter().filter(|disturbance| disturbance.node.is_none());
    let overlap = |disturbance: &crate::observe::SeenDisturbance| {
        let from_ms = disturbance.from_ms.max(from_ms);
        disturbance.until_ms.min(until_ms).saturating_sub(from_ms)
    };
    global.map(overlap).sum()
}

fn check_takeover(history: &RunHistory, bound_ms: u64) -> Option<String> {
    let is_slow = |loss: &&SeenLoss| {
        let end_ms = loss.replaced_ms.unwrap_or(history.end_ms);
        let due_ms = loss.lost_ms + bound_ms + outage_ms(history, loss.lost_ms, end_ms);
        let is_back = loss.returned_ms.is_some_and(|at_ms| at_ms <= due_ms);
        let is_replaced = loss.replaced_ms.is_some_and(|at_ms| at_ms <= due_ms);
        due_ms <= history.end_ms && !is_back && !is_replaced
    };
    let loss = history.losses.iter().find(is_slow)?;
    Some(format!(
        "{} was lost at {} and replaced at {:?}",
        loss.piece, loss.lost_ms, loss.replaced_ms
    ))
}

fn check_start_delay(history: &RunHistory, tag: &str, bound_ms: u64) -> Option<String> {
    for (index, work) in history.works.iter().enumerate() {
        let Some(first) = work.tries.first() else { continue };
        if !is_tagged(work, Some(tag)) {
            continue;
        }
        let start_ms = runs_of(history, index).map(|seen| seen.run.start_ms).min();
        if start_ms.is_none_or(|start_ms| start_ms > first.at_ms + bound_ms) {
            return Some(format!("{} of {} started at {start_ms:?}", first.token, first.at_ms));
        }
    }
    None
}

fn check_exit(history: &RunHistory, bound_ms: u64) -> Option<String> {
    let shutdowns = history.shutdowns.iter().filter(|shutdown| !shutdown.is_spoiled);
    let mut slow = shutdowns.filter(|shutdown| {
        shutdown.ended_ms.is_none_or(|ended_ms| ended_ms > shutdown.asked_ms + bound_ms)
    });
    slow.next().map(|shutdown| format!("{shutdown:?}"))
}
