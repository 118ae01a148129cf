//! What the log says of steps that wait.

use {
    crate::support::{
        FakeCell, job,
        layout::{FOR_EVER_MS, QUICK_TIMING, add_queue, job_of, lasting, set_kind},
    },
    damaskrack_cell::{ResourceSet, StepSpec, TeamConfig},
};

/// Time after which a step that waits is in the log, in milliseconds.
const LOGGED_AFTER_MS: u64 = 3_000;

/// Creates a cell of six workers, two of them with the label `gpu` and one that the adviser denies.
fn cell_of_two_kinds() -> FakeCell {
    let mut cell = FakeCell::new(6);
    cell.add_adviser(QUICK_TIMING);
    ["w4", "w5"].iter().for_each(|id| set_kind(&mut cell, id, "gpu"));
    cell.allowed = ["w0", "w1", "w2", "w4", "w5"].map(str::to_owned).into();
    cell.run_ms = FOR_EVER_MS;
    cell.start_leader();
    add_queue(&mut cell, "plain", "service", None);
    cell.run(200);
    cell
}

/// Gives the team a limit with room for one small task.
fn limit_team(cell: &mut FakeCell) {
    let limit = ResourceSet { cpu_millis: 700, memory_mb: 4_096, accelerators: 0 };
    cell.reconfigure(|config| {
        let team = TeamConfig { limit, ..TeamConfig::default() };
        config.teams.insert("team".to_owned(), team);
    });
}

/// Returns the events and details of the lines that say why a step waits.
fn waits_of(cell: &mut FakeCell, step: &str) -> Vec<(&'static str, String)> {
    let lines = cell.take_logs().into_iter();
    let own = lines.filter(|line| line.subject == step && line.event.starts_with("step_waits"));
    own.map(|line| (line.event, line.detail)).collect()
}

/// Guards against an operator who sees a task wait and cannot tell for what.
#[test]
fn a_step_that_waits_is_logged_with_workers_by_reason() {
    let mut cell = cell_of_two_kinds();
    cell.submit(job_of("plain", "1", vec![StepSpec { max_per_worker: 8, ..lasting(48) }]));
    cell.run(200);
    cell.submit(job("2", vec![StepSpec { required_label: "gpu".to_owned(), ..lasting(3) }]));
    cell.run(LOGGED_AFTER_MS);
    let waits = waits_of(&mut cell, "2.0.0");
    let (event, detail) = waits.first().cloned().unwrap_or_default();
    assert_eq!(event, "step_waits_for_free_capacity");
    assert_eq!(detail, "tasks=3 able=0 Label=4 FreeCapacity=2");
}

/// Guards against steps that are denied everywhere and pass for ones that wait for capacity.
#[test]
fn a_step_that_may_run_nowhere_says_so() {
    let mut cell = cell_of_two_kinds();
    cell.allowed = ["w9".to_owned()].into();
    cell.submit(job("1", vec![lasting(1)]));
    cell.submit(job("2", vec![StepSpec { required_label: "none".to_owned(), ..lasting(1) }]));
    cell.submit(job("3", vec![StepSpec { cpu_millis: 9_000, ..lasting(1) }]));
    cell.run(LOGGED_AFTER_MS);
    let logs = cell.take_logs();
    for (step, event) in [
        ("1.0.0", "step_waits_for_other_workers"),
        ("2.0.0", "step_waits_for_label"),
        ("3.0.0", "step_waits_for_capacity"),
    ] {
        let is_own = logs.iter().any(|line| line.subject == step && line.event == event);
        assert!(is_own, "{step} waits for something else than {event}");
    }
}

/// Guards against a team's limit that is taken for want of workers, and lines about steps that have started.
#[test]
fn a_step_that_waits_for_its_teams_limit_says_so_until_it_starts() {
    let mut cell = cell_of_two_kinds();
    limit_team(&mut cell);
    cell.submit(job_of("plain", "1", vec![lasting(2)]));
    cell.run(LOGGED_AFTER_MS);
    let waits = waits_of(&mut cell, "1.0.0");
    assert_eq!(waits.first().map(|wait| wait.0), Some("step_waits_for_team_limit"));
    cell.reconfigure(|config| {
        config.teams.insert("team".to_owned(), TeamConfig::default());
    });
    cell.run(200);
    cell.take_logs();
    cell.run(LOGGED_AFTER_MS);
    assert_eq!(waits_of(&mut cell, "1.0.0"), []);
}

/// Guards against a gang that its team's limit holds back as a whole, and that passes for one without places.
#[test]
fn a_gang_of_which_its_teams_limit_allows_a_part_says_so() {
    let mut cell = cell_of_two_kinds();
    limit_team(&mut cell);
    cell.submit(job_of("plain", "1", vec![StepSpec { is_gang: true, ..lasting(3) }]));
    cell.run(LOGGED_AFTER_MS);
    let waits = waits_of(&mut cell, "1.0.0");
    assert_eq!(waits.first().map(|wait| wait.0), Some("step_waits_for_team_limit"));
}
