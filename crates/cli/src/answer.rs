//! Printing the responses to submissions and job queries.

use {
    crate::{ExitStatus, context::CommandContext, table::TextTable},
    damaskrack_model::{AnswerReason, JobState, JobStatus, OutcomeKind, WorkAnswer},
    std::io::{self, Write},
};

/// Prints a response and returns the exit code for it.
pub(crate) fn print_answer(
    context: &mut CommandContext<'_>,
    answer: &WorkAnswer,
) -> anyhow::Result<ExitStatus> {
    context.print(answer, || answer_table(answer).to_string())?;
    let status = answer_status(answer);
    if status != ExitStatus::Ok {
        // The response is already printed, so a failure to write the hint is ignored.
        let _ = writeln!(io::stderr(), "{}", hint_text(answer));
    }
    Ok(status)
}

/// Returns the problem and a hint for a response that does not report success.
fn hint_text(answer: &WorkAnswer) -> String {
    if answer.outcome == OutcomeKind::Done {
        "the job did not end well\n  try: look at the numbers of its tasks by outcome".to_owned()
    } else {
        format!("{}\n  try: {}", answer.reason, hint_for(answer.reason))
    }
}

/// Returns the exit code: by the job's outcome if it has ended, else by the response's.
fn answer_status(answer: &WorkAnswer) -> ExitStatus {
    let job_outcome = answer.status.as_ref().and_then(|status| status.outcome);
    ExitStatus::from(job_outcome.unwrap_or(answer.outcome))
}

fn answer_table(answer: &WorkAnswer) -> TextTable {
    let mut pairs = vec![
        ("outcome", outcome_name(answer.outcome).to_owned()),
        ("reason", answer.reason.to_string()),
        ("detail", answer.detail.clone()),
    ];
    if let Some(job) = &answer.job {
        pairs.push(("job", job.to_string()));
    }
    if let Some(status) = &answer.status {
        push_job_status(status, &mut pairs);
    }
    TextTable::from_pairs(&pairs)
}

fn push_job_status(status: &JobStatus, pairs: &mut Vec<(&str, String)>) {
    pairs.push(("state", state_name(status.state).to_owned()));
    let counts = [
        ("queued", status.queued),
        ("running", status.running),
        ("done", status.done),
        ("failed", status.failed),
        ("not_run", status.not_run),
        ("unknown", status.unknown),
    ];
    pairs.extend(counts.map(|(name, count)| (name, count.to_string())));
    if let Some(outcome) = status.outcome {
        pairs.push(("job outcome", outcome_name(outcome).to_owned()));
    }
    if !status.detail.is_empty() {
        pairs.push(("job detail", status.detail.clone()));
    }
}

fn outcome_name(outcome: OutcomeKind) -> &'static str {
    match outcome {
        OutcomeKind::Done => "done",
        OutcomeKind::Failed => "failed",
        OutcomeKind::NotRun => "not_run",
        OutcomeKind::Unknown => "unknown",
    }
}

fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Parked => "parked",
        JobState::Ended => "ended",
    }
}

/// Returns what a user can do about a response with this reason.
pub(crate) fn hint_for(reason: AnswerReason) -> &'static str {
    match reason {
        AnswerReason::Ok | AnswerReason::Accepted => "nothing; it worked",
        AnswerReason::KeyRefused => {
            "set DAMASKRACK_KEY (or DAMASKRACK_OPERATOR_KEY) to a key that is valid now for the \
             team of this queue"
        }
        AnswerReason::UnknownQueue => "list the queues with `damaskrack manifest show`",
        AnswerReason::UnknownJob => "check the job id; ended jobs are forgotten after a while",
        AnswerReason::Invalid => "correct what the detail names and hand it in again",
        AnswerReason::TooLarge => "ask for less a task, or use workers that are larger",
        AnswerReason::AboveLimit => "ask for less, or have an operator raise the team's limit",
        AnswerReason::DeadlinePassed => "hand it in again with a later --deadline-ms",
        AnswerReason::Overloaded => "hand it in again later; it was not run",
        AnswerReason::Cancelled => "nothing; it was cancelled",
        AnswerReason::Isolated | AnswerReason::Leaving => "use another daemon's --address",
        AnswerReason::StoreUnavailable => "try again when the platform's store answers",
        AnswerReason::TaskFailed => "look at the detail, which the task gave",
        AnswerReason::Lost => {
            "check whether it took effect before you hand it in again; mark work that may run \
             twice with --idempotent"
        }
        AnswerReason::Conflict => {
            "compare with `damaskrack manifest show --diff FILE` and apply again"
        }
        AnswerReason::Spreading => "wait; `damaskrack manifest status` shows who holds it",
    }
}
