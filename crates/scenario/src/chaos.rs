//! Random fault schedules, generated before the run so that they depend only on script and seed.

use {
    crate::script::{
        ChaosFault, ChaosPlan, FaultKind, FaultTarget, ManifestEdit, ScenarioScript, ScriptAction,
        ScriptStep, StepTiming,
    },
    rand::{Rng, rngs::SmallRng},
};

/// Delay between the end of the last random fault and the restoration of the script's manifest, in
/// milliseconds.
const RESTORE_DELAY_MS: u64 = 10_000;

/// Generates the steps of every random fault schedule of a script.
pub(crate) fn plan_chaos(script: &ScenarioScript, rng: &mut SmallRng) -> Vec<ScriptStep> {
    let mut steps = Vec::new();
    for plan in &script.chaos {
        let mut at_ms = plan.from_ms;
        while at_ms < plan.until_ms {
            let shift_ms = rng.random_range(0..plan.every_ms);
            steps.extend(random_fault_steps(script, plan, at_ms + shift_ms, rng));
            at_ms += plan.every_ms;
        }
        if plan.faults.iter().any(|fault| matches!(fault, ChaosFault::Zone | ChaosFault::Limit)) {
            // A manifest change that was retried may be applied after the change that reverts it.
            let restored_ms = plan.until_ms + plan.longest_ms + RESTORE_DELAY_MS;
            steps.push(operator_step(restored_ms, ManifestEdit::Whole));
        }
    }
    steps
}

/// Chooses one of the plan's faults and its duration, and returns its steps.
fn random_fault_steps(
    script: &ScenarioScript,
    plan: &ChaosPlan,
    at_ms: u64,
    rng: &mut SmallRng,
) -> Vec<ScriptStep> {
    if plan.faults.is_empty() {
        return Vec::new();
    }
    let for_ms = rng.random_range(plan.longest_ms / 4..=plan.longest_ms);
    let fault = plan.faults[rng.random_range(0..plan.faults.len())];
    match fault {
        ChaosFault::Zone => zone_outage_steps(script, at_ms, for_ms, rng),
        ChaosFault::Limit => lowered_limit_steps(script, at_ms, for_ms, rng),
        _ => {
            let fault = random_fault_kind(script, fault, rng);
            vec![step_at(at_ms, ScriptAction::Fault { fault, for_ms: Some(for_ms) })]
        }
    }
}

fn step_at(at_ms: u64, action: ScriptAction) -> ScriptStep {
    ScriptStep { line: 0, timing: StepTiming::At(at_ms), action }
}

fn random_fault_kind(script: &ScenarioScript, fault: ChaosFault, rng: &mut SmallRng) -> FaultKind {
    let node = FaultTarget::Node(rng.random_range(0..script.cell.nodes));
    let other = FaultTarget::Node(rng.random_range(0..script.cell.nodes));
    let workers = script.cell.racks * script.cell.workers_per_rack;
    let worker = FaultTarget::Worker(rng.random_range(0..workers));
    let is_both = rng.random_bool(0.5);
    let cut = |from, to| FaultKind::Cut { from: vec![from], to: vec![to], is_both };
    match fault {
        ChaosFault::Kill => FaultKind::Kill(node),
        ChaosFault::Pause => FaultKind::Pause(node),
        ChaosFault::Shutdown => FaultKind::Shutdown(node),
        ChaosFault::Cut => cut(node, other),
        ChaosFault::CutStore => cut(node, FaultTarget::Store),
        ChaosFault::CutWorker => cut(node, worker),
        ChaosFault::Silence => {
            FaultKind::Silence { from: vec![node], to: vec![other, worker, FaultTarget::Store] }
        }
        ChaosFault::StoreDown => FaultKind::StoreDown,
        ChaosFault::StoreSlow => FaultKind::StoreSlow(rng.random_range(100..900)),
        ChaosFault::StoreLoses => FaultKind::StoreLoses(rng.random_range(10..60)),
        ChaosFault::Freeze => FaultKind::Freeze(worker),
        ChaosFault::Crash => FaultKind::Crash(worker),
        ChaosFault::SlowWorker => {
            FaultKind::SlowWorker { target: worker, millis: rng.random_range(50..900) }
        }
        ChaosFault::HostsDown => FaultKind::HostsDown,
        ChaosFault::Spoil | ChaosFault::Zone | ChaosFault::Limit => FaultKind::Spoil(worker),
    }
}

fn operator_step(at_ms: u64, edit: ManifestEdit) -> ScriptStep {
    step_at(at_ms, ScriptAction::Operator { edit, via: None })
}

/// Takes a random zone out of service and back.
fn zone_outage_steps(
    script: &ScenarioScript,
    at_ms: u64,
    for_ms: u64,
    rng: &mut SmallRng,
) -> Vec<ScriptStep> {
    let zones = &script.document.zones;
    let zone = zones[rng.random_range(0..zones.len())].name.clone();
    let edit = |is_in| ManifestEdit::Zone { zone: zone.clone(), is_in };
    vec![operator_step(at_ms, edit(false)), operator_step(at_ms + for_ms, edit(true))]
}

/// Sets a random team's task limit to a value from 1 to 4, and restores it later.
fn lowered_limit_steps(
    script: &ScenarioScript,
    at_ms: u64,
    for_ms: u64,
    rng: &mut SmallRng,
) -> Vec<ScriptStep> {
    let teams = &script.document.teams;
    if teams.is_empty() {
        return Vec::new();
    }
    let entry = &teams[rng.random_range(0..teams.len())];
    let edit = |tasks| ManifestEdit::Limit {
        team: entry.name.clone(),
        tasks: Some(tasks),
        millicores: None,
    };
    let lowered = rng.random_range(1..=4);
    vec![
        operator_step(at_ms, edit(lowered)),
        operator_step(at_ms + for_ms, edit(entry.limit.tasks)),
    ]
}
