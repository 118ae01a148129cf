//! `damaskrack submit`: hands in a request or a job.

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
    let work = work_submission(args)?;
    let key = idempotency_key(args, &work);
    let progress = WaitProgress::spinner("waiting for the answer");
    let accepted = work.submit(&client, key.as_deref()).await?;
    drop(progress);
    let is_accepted_job = !work.is_request() && accepted.outcome == OutcomeKind::Done;
    let answer = match &accepted.job {
        Some(job) if args.wait && is_accepted_job => {
            wait_for_job(&client, job, wait_goal(work.kind)).await?
        }
        _ => accepted,
    };
    print_answer(context, &answer)
}

/// Returns the name under which the work can be handed in again.
///
/// A job always has one, so that a lost answer can be asked for. A request has one only if the
/// user chose it, because it costs the daemon a store write.
fn idempotency_key(args: &SubmitArgs, work: &WorkSubmission) -> Option<String> {
    let drawn = || (!work.is_request()).then(generate_idempotency_key);
    args.idempotency_key.clone().or_else(drawn)
}

fn work_submission(args: &SubmitArgs) -> anyhow::Result<WorkSubmission> {
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

/// A service runs until it is cancelled, so its end is not worth waiting for.
fn wait_goal(kind: WorkKind) -> WaitGoal {
    match kind {
        WorkKind::Service => WaitGoal::Running,
        WorkKind::Request | WorkKind::Batch | WorkKind::Gang => WaitGoal::Ended,
    }
}
