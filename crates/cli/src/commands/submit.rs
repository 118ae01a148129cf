//! `damaskrack submit`: hands in a request or a job.

use {
    crate::{
        ExitStatus,
        answer::print_answer,
        args::{KindArg, SubmitArgs},
        client::{ApiCall, ApiClient},
        commands::wait::{WaitGoal, wait_for_job},
        context::{CommandContext, read_file},
        progress::WaitProgress,
    },
    damaskrack_model::{OutcomeKind, PriorityClass, QueueName, Resources, WorkAnswer, WorkKind},
    http::Method,
    rand::random,
    serde::Serialize,
};

/// Body of a submission.
#[derive(Debug, Serialize)]
struct WorkBody<'a> {
    queue: &'a QueueName,
    kind: WorkKind,
    tasks: u32,
    resources: Resources,
    idempotent: bool,
    priority: PriorityClass,
    expected_ms: u64,
    deadline_ms: u64,
    payload: String,
}

pub(crate) async fn run(
    context: &mut CommandContext<'_>,
    args: &SubmitArgs,
) -> anyhow::Result<ExitStatus> {
    let client = context.caller_client();
    let accepted = hand_in(&client, args).await?;
    let is_accepted_job = args.kind != KindArg::Request && accepted.outcome == OutcomeKind::Done;
    let answer = match &accepted.job {
        Some(job) if args.wait && is_accepted_job => {
            wait_for_job(&client, job, wait_goal(args.kind)).await?
        }
        _ => accepted,
    };
    print_answer(context, &answer)
}

async fn hand_in(client: &ApiClient, args: &SubmitArgs) -> anyhow::Result<WorkAnswer> {
    let body = serde_json::to_string(&work_body(args)?)?;
    let path = if args.kind == KindArg::Request { "/v1/requests" } else { "/v1/jobs" };
    let key = idempotency_key(args);
    let mut call = ApiCall::new(Method::POST, path).with_body(body);
    if let Some(key) = &key {
        call = call.with_idempotency_key(key);
    }
    let _progress = WaitProgress::spinner("waiting for the answer");
    Ok(client.call(&call).await?.parse()?)
}

/// Returns the name under which work can be handed in again.
///
/// A job always has one, so that a lost answer can be asked for. A request has one only if the
/// user chose it, because it costs the daemon a store write.
fn idempotency_key(args: &SubmitArgs) -> Option<String> {
    let drawn =
        || (args.kind != KindArg::Request).then(|| format!("cli-{:032x}", random::<u128>()));
    args.idempotency_key.clone().or_else(drawn)
}

fn work_body(args: &SubmitArgs) -> anyhow::Result<WorkBody<'_>> {
    let payload = match &args.payload_file {
        Some(path) => read_file(path)?,
        None => args.payload.clone(),
    };
    Ok(WorkBody {
        queue: &args.queue,
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
fn wait_goal(kind: KindArg) -> WaitGoal {
    match kind {
        KindArg::Service => WaitGoal::Running,
        KindArg::Request | KindArg::Batch | KindArg::Gang => WaitGoal::Ended,
    }
}
