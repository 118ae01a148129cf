//! Load patterns: bursts, single jobs and overload.

use {
    crate::support::{FakeCell, job, step},
    damaskrack_cell::{CellInput, JobState, QueueConfig, ResourceSet, StepSpec, TeamConfig},
};

/// Number of jobs in a burst, more than fit into one commit.
const BURST_JOBS: u64 = 150;

fn submit_burst(cell: &mut FakeCell) {
    for number in 0..BURST_JOBS {
        let record = job(&number.to_string(), vec![step(1)]);
        cell.apply(CellInput::Submitted { record, reply: number });
    }
}

#[test]
fn jobs_of_a_burst_do_not_wait_for_one_commit_after_another() {
    let mut cell = FakeCell::new(40);
    cell.run(100);
    submit_burst(&mut cell);
    cell.run(120);
    assert_eq!(cell.starts.len() as u64, BURST_JOBS);
}

#[test]
fn full_commits_go_out_while_a_slow_store_has_not_answered() {
    let mut cell = FakeCell::new(40);
    cell.run(100);
    cell.is_store_down = true;
    submit_burst(&mut cell);
    cell.run(60);
    assert!(cell.held_commits.len() >= 5, "{} commits in flight", cell.held_commits.len());
}

#[test]
fn a_job_that_comes_alone_is_committed_at_once() {
    for idle_ms in [500, 510] {
        let mut cell = FakeCell::new(1);
        cell.run(idle_ms);
        cell.apply(CellInput::Submitted { record: job("1", vec![step(1)]), reply: 1 });
        cell.run(10);
        assert_eq!(cell.starts.len(), 1, "after {idle_ms} ms");
    }
}

fn submit_as(cell: &mut FakeCell, id: u64, team: &str, queue: &str) {
    let mut record = job(&id.to_string(), vec![step(4)]);
    record.accepted_ms = cell.wall_ms();
    record.team = team.to_owned();
    record.queue = queue.to_owned();
    cell.apply(CellInput::Submitted { record, reply: id });
}

/// Two workers with four cores each serve four jobs per second. With a latency objective of 1.5 s a
/// job is useful for 4.5 s, so that about 16 jobs can wait.
#[test]
fn a_job_that_could_not_be_served_in_time_is_refused_at_once() {
    let mut cell = FakeCell::new(2);
    cell.run(100);
    for id in 0..60 {
        submit_as(&mut cell, id, "team", "queue");
        cell.run(10);
    }
    let taken = 60 - cell.refusals.len();
    assert!((14..=26).contains(&taken), "{taken} jobs were accepted");
    assert!(cell.refusals.iter().all(|(_, retry_ms)| (1_000..=45_000).contains(retry_ms)));
    let refused: Vec<String> = cell.refusals.iter().map(|(id, _)| id.to_string()).collect();
    cell.run(8_000);
    assert!(
        cell.starts
            .iter()
            .all(|(task, ..)| !refused.iter().any(|id| task.starts_with(&format!("{id}."))))
    );
    submit_as(&mut cell, 100, "team", "queue");
    cell.run(100);
    assert!(cell.refusals.iter().all(|(id, _)| *id != 100), "there is free capacity again");
}

#[test]
fn urgent_jobs_do_not_wait_for_others_and_are_taken() {
    let mut cell = FakeCell::new(2);
    let normal = QueueConfig { priority: 1, ..cell.config.queues["queue"].clone() };
    cell.config.queues.insert("later".to_owned(), normal);
    cell.start_leader();
    cell.run(100);
    for id in 0..60 {
        submit_as(&mut cell, id, "team", "later");
        cell.run(10);
    }
    assert!(!cell.refusals.is_empty());
    submit_as(&mut cell, 100, "team", "queue");
    cell.run(100);
    assert!(cell.refusals.iter().all(|(id, _)| *id != 100));
}

#[test]
fn what_a_team_asks_for_beyond_its_limit_costs_no_other_team() {
    let mut cell = FakeCell::new(2);
    let limit = ResourceSet { cpu_millis: 2_000, ..ResourceSet::default() };
    cell.config.teams.insert("hot".to_owned(), TeamConfig { limit, ..TeamConfig::default() });
    cell.start_leader();
    cell.run(100);
    for id in 0..60 {
        submit_as(&mut cell, id, "hot", "queue");
        cell.run(10);
    }
    let taken = 60 - cell.refusals.len();
    assert!(taken <= 10, "{taken} jobs were accepted for a team that is served one per second");
    submit_as(&mut cell, 100, "team", "queue");
    cell.run(100);
    assert!(cell.refusals.iter().all(|(id, _)| *id != 100));
}

/// A new leader does not know its workers at first.
#[test]
fn nothing_is_refused_while_no_worker_is_known() {
    let mut cell = FakeCell::new(0);
    for id in 0..60 {
        submit_as(&mut cell, id, "team", "queue");
    }
    cell.run(100);
    assert!(cell.refusals.is_empty());
}

/// After an outage the backlog of an urgent queue is too late to be useful, and fresh jobs of another
/// queue arrive.
#[test]
fn a_backlog_that_is_too_late_costs_no_job_that_can_be_in_time() {
    let mut cell = FakeCell::new(2);
    let normal = QueueConfig { priority: 1, ..cell.config.queues["queue"].clone() };
    cell.config.queues.insert("later".to_owned(), normal);
    cell.start_leader();
    cell.run(100);
    for id in 0..20 {
        let mut old = job(&id.to_string(), vec![step(4)]);
        old.accepted_ms = cell.wall_ms() - 30_000;
        cell.submit(old);
    }
    for id in 100..104 {
        submit_as(&mut cell, id, "team", "later");
    }
    cell.run(1_300);
    let in_time = (100..104).filter(|id| cell.state(&id.to_string()) == Some(JobState::Completed));
    assert_eq!(in_time.count(), 4);
    cell.run(12_000);
    let old = (0..20).filter(|id| cell.state(&id.to_string()) == Some(JobState::Completed));
    assert_eq!(old.count(), 20, "what is too late is done all the same");
}

/// One team sends three times as much as the cell can do, another one an eighth of it.
#[test]
fn a_hot_team_does_not_cost_the_others() {
    let mut cell = FakeCell::new(2);
    cell.config.teams.insert("hot".to_owned(), TeamConfig { weight: 1.0, ..TeamConfig::default() });
    cell.config
        .teams
        .insert("calm".to_owned(), TeamConfig { weight: 1.0, ..TeamConfig::default() });
    cell.start_leader();
    cell.run(100);
    let mut in_time = 0;
    for round in 0..8 {
        for job in 0..24 {
            submit_as(&mut cell, round * 24 + job, "hot", "queue");
        }
        cell.run(250);
        let calm = 1_000 + round;
        submit_as(&mut cell, calm, "calm", "queue");
        // Within the latency objective of 1.5 s.
        cell.run(1_250);
        in_time += usize::from(cell.state(&calm.to_string()) == Some(JobState::Completed));
    }
    assert_eq!(in_time, 8, "jobs of the calm team in time");
    // The cell does 48 jobs in this time, 8 of them for the calm team.
    let hot = (0..192).filter(|id: &u64| cell.state(&id.to_string()) == Some(JobState::Completed));
    assert!(hot.count() >= 36, "the hot team gets what the other one does not use");
}

/// The task of a service that has run for a long time fails while jobs of its class keep the cell full.
#[test]
fn a_service_task_that_fails_in_a_full_cell_starts_again_soon() {
    let mut cell = FakeCell::new(1);
    cell.run(100);
    cell.run_ms = 20_000;
    cell.submit(job("1", vec![StepSpec { is_service: true, ..step(1) }]));
    cell.run(15_000);
    cell.run_ms = 500;
    for round in 0..40 {
        for number in 0..4 {
            submit_as(&mut cell, 100 + round * 4 + number, "team", "queue");
        }
        if round == 10 {
            cell.workers.get_mut("w0").unwrap().fails = true;
        }
        cell.run(500);
        cell.workers.get_mut("w0").unwrap().fails = false;
    }
    let starts = cell.starts.iter().filter(|(task, ..)| task.starts_with("1.")).count();
    assert!(starts >= 2, "the task of the service does not start again");
}

/// A tenth of the workers do not respond while all that runs on them is cancelled. Their stop requests
/// time out, and must not keep the starts of others waiting.
#[test]
fn stops_at_silent_workers_do_not_delay_starts() {
    let mut cell = FakeCell::new(40);
    cell.has_timeouts = true;
    cell.run_ms = 5_000;
    for id in 0..32 {
        cell.submit(job(&id.to_string(), vec![step(5)]));
    }
    cell.run(500);
    let busy = cell.workers.values().filter(|worker| !worker.runs.is_empty());
    let silent: Vec<String> = busy.map(|worker| worker.report.id.clone()).take(20).collect();
    for id in &silent {
        cell.workers.get_mut(id).unwrap().is_silent = true;
    }
    for id in 0..32 {
        cell.apply(CellInput::Cancel { id: id.to_string(), caller: None, reply: id });
    }
    cell.run(2_000);
    for id in 100..140 {
        let mut record = job(&id.to_string(), vec![step(1)]);
        record.accepted_ms = cell.wall_ms();
        cell.submit(record);
    }
    cell.run(1_500);
    let started = cell.starts.iter().filter(|(task, ..)| task.len() == "100.0.0.0".len()).count();
    assert_eq!(started, 40);
}
