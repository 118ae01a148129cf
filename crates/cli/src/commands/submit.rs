//! `damaskrack submit`: submits a request or a job.

use {
    crate::{
        ExitStatus,
        answer::print_answer,
        args::SubmitArgs,
        commands::wait::{WaitGoal, wait_for_job},
        context::{CommandContext, read_file},
        progress::WaitProgress,
        submission::{WorkSubmission, generate_idempotency_key},
    },
    damaskrack_model::{OutcomeKind, Resources, WorkKind},
};

pub(crate) async fn run(
    context: &mut CommandContext<'_>,
    args: &SubmitArgs,
) -> anyhow::Result<ExitStatus> {
    let client = context.caller_client();
    let submission = build_submission(args)?;
    let key = idempotency_key(args, &submission);
    let progress = WaitProgress::spinner("waiting for the answer");
    let accepted = submission.submit(&client, key.as_deref()).await?;
    drop(progress);
    let is_accepted_job = !submission.is_request() && accepted.outcome == OutcomeKind::Done;
    let answer = match &accepted.job {
        Some(job) if args.wait && is_accepted_job => {
            wait_for_job(&client, job, wait_goal(submission.kind)).await?
        }
        _ => accepted,
    };
    print_answer(context, &answer)
}

/// Returns the idempotency key under which the work can be submitted again.
///
/// A job always has one, so that a lost response can be requested again. A request has one only if
/// the user gave it, because it costs the daemon a store write.
fn idempotency_key(args: &SubmitArgs, submission: &WorkSubmission) -> Option<String> {
    let generated = || (!submission.is_request()).then(generate_idempotency_key);
    args.idempotency_key.clone().or_else(generated)
}

fn build_submission(args: &SubmitArgs) -> anyhow::Result<WorkSubmission> {
    let payload = match &args.payload_file {
        Some(path) => read_file(path)?,
        None => args.payload.clone(),
    };
    Ok(WorkSubmission {
        queue: args.queue.clone(),
        kind: args.kind.into(),
        tasks: args.tasks,
        resources: Resources {
            millicores: args.millicores,
            memory_bytes: args.memory.0,
            accelerators: args.accelerators,
        },
        idempotent: args.idempotent,
        priority: args.priority.into(),
        expected_ms: args.expected_ms,
        deadline_ms: args.deadline_ms,
        payload,
    })
}

/// Returns what `--wait` waits for. A service runs until it is cancelled, so the wait does not
/// last until its end.
fn wait_goal(kind: WorkKind) -> WaitGoal {
    match kind {
        WorkKind::Service => WaitGoal::Running,
        WorkKind::Request | WorkKind::Batch | WorkKind::Gang => WaitGoal::Ended,
    }
}
