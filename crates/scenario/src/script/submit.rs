//! Parses `request` and `job` actions.

use {
    super::{
        LineCursor, ScriptError, ScriptWord, SubmitPlan, fault::parse_setting_target,
        word::number_u32,
    },
    damaskrack_manifest::ManifestDocument,
    damaskrack_model::{PriorityClass, QueueName, Resources, WorkKind},
};

fn default_plan(queue: QueueName, is_job: bool) -> SubmitPlan {
    SubmitPlan {
        tag: None,
        queue,
        key: None,
        kind: if is_job { WorkKind::Batch } else { WorkKind::Request },
        is_job,
        count: 1,
        tasks: 1,
        run_ms: 100,
        resources: Resources { millicores: 500, memory_bytes: 256 << 20, accelerators: 0 },
        idempotent: true,
        has_idempotency_key: false,
        retries: 0,
        priority: PriorityClass::Normal,
        deadline_ms: 0,
        is_failing: false,
        via: None,
    }
}

fn parse_kind(word: &ScriptWord) -> Result<WorkKind, ScriptError> {
    match word.text.as_str() {
        "batch" => Ok(WorkKind::Batch),
        "gang" => Ok(WorkKind::Gang),
        "service" => Ok(WorkKind::Service),
        _ => Err(word.error("expected batch, gang or service")),
    }
}

/// Parses a priority class.
pub(crate) fn parse_priority(word: &ScriptWord) -> Result<PriorityClass, ScriptError> {
    match word.text.as_str() {
        "low" => Ok(PriorityClass::Low),
        "normal" => Ok(PriorityClass::Normal),
        "urgent" => Ok(PriorityClass::Urgent),
        _ => Err(word.error("expected low, normal or urgent")),
    }
}

fn apply_setting(
    plan: &mut SubmitPlan,
    key: &ScriptWord,
    value: &ScriptWord,
) -> Result<(), ScriptError> {
    match key.text.as_str() {
        "tag" => plan.tag = Some(value.text.clone()),
        "key" if value.text == "none" => plan.key = None,
        "key" => plan.key = Some(value.name()?),
        "kind" if plan.is_job => plan.kind = parse_kind(value)?,
        "count" => plan.count = number_u32(value)?,
        "tasks" if plan.is_job => plan.tasks = number_u32(value)?,
        "run" => plan.run_ms = value.duration_ms()?,
        "millicores" => plan.resources.millicores = value.number()?,
        "memory" => plan.resources.memory_bytes = value.bytes()?,
        "accelerators" => plan.resources.accelerators = value.number()?,
        "idempotent" => plan.idempotent = value.flag()?,
        "idempotency-key" => plan.has_idempotency_key = value.flag()?,
        "retries" => plan.retries = number_u32(value)?,
        "priority" => plan.priority = parse_priority(value)?,
        "deadline" => plan.deadline_ms = value.duration_ms()?,
        "fails" => plan.is_failing = value.flag()?,
        "via" => plan.via = Some(parse_setting_target(value)?),
        other => return Err(key.error(format!("unknown setting {other}"))),
    }
    Ok(())
}

/// Parses work that callers submit. The queue must be declared; callers present its team's first
/// key unless the queue is open or the line names another.
pub(crate) fn take_submit(
    verb: &ScriptWord,
    cursor: &mut LineCursor,
    document: &ManifestDocument,
) -> Result<SubmitPlan, ScriptError> {
    let Some((first, value)) = cursor.take_setting()? else {
        return Err(verb.error("expected queue=NAME after this word"));
    };
    if first.text != "queue" {
        return Err(first.error("expected queue=NAME first"));
    }
    let mut plan = default_plan(value.name()?, verb.text == "job");
    let Some(queue) = document.queues.iter().find(|entry| entry.name == plan.queue) else {
        return Err(value.error("this queue is not declared above"));
    };
    if !queue.open {
        let keys = &document.keys;
        plan.key = keys.iter().find(|key| key.team == queue.team).map(|key| key.name.clone());
    }
    while let Some((key, value)) = cursor.take_setting()? {
        apply_setting(&mut plan, &key, &value)?;
    }
    Ok(plan)
}
