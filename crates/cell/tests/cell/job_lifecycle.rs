//! Jobs from their submission to the rows of their ends.

use {
    crate::support::{FakeCell, job, step},
    damaskrack_cell::{CellInput, JobState, ResourceSet, StepSpec, TeamConfig},
    quickcheck::quickcheck,
};

#[test]
fn a_job_runs_its_steps_in_order_and_completes() {
    let mut cell = FakeCell::new(2);
    let second = StepSpec { after: vec![0], ..step(1) };
    cell.submit(job("1", vec![step(3), second]));
    cell.run(300);
    assert_eq!(cell.state("1"), Some(JobState::Running));
    assert!(cell.starts.iter().all(|(task, ..)| task.starts_with("1.0.0.")));
    cell.run(2_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert_eq!(cell.done.len(), 4);
}

/// The fake cell checks that no start request is sent before the job and its progress are in the
/// store.
#[test]
fn a_job_is_accepted_once_it_is_durable() {
    let mut cell = FakeCell::new(1);
    cell.is_store_down = true;
    cell.apply(CellInput::Submitted { record: job("1", vec![step(1)]), reply: 7 });
    cell.run(200);
    assert!(cell.replies.is_empty() && cell.starts.is_empty());
    cell.restore_store();
    cell.run(100);
    assert_eq!(cell.replies.first().map(|(reply, _)| *reply), Some(7));
    assert!(cell.jobs.contains_key("1"));
    cell.apply(CellInput::Submitted { record: job("1", vec![step(1)]), reply: 8 });
    cell.run(2_000);
    assert_eq!(cell.replies.len(), 2);
    assert_eq!(cell.starts.len(), 1);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

#[test]
fn a_task_that_fails_too_often_fails_its_job() {
    let mut cell = FakeCell::new(1);
    cell.workers.get_mut("w0").unwrap().fails = true;
    cell.submit(job("1", vec![step(1)]));
    cell.run(8_000);
    assert_eq!(cell.state("1"), Some(JobState::Failed));
    assert_eq!(cell.starts.len(), 2);
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut cell = FakeCell::new(2);
    cell.submit(job("1", vec![step(5)]));
    cell.run(200);
    cell.submit(job("2", vec![StepSpec { is_gang: true, ..step(4) }]));
    cell.run(200);
    assert!(cell.starts.iter().all(|(task, ..)| !task.starts_with("2.")));
    cell.run(2_000);
    assert_eq!(cell.state("2"), Some(JobState::Completed));
}

#[test]
fn a_team_stays_within_its_limit() {
    let mut cell = FakeCell::new(2);
    let limit = ResourceSet { cpu_millis: 3_000, ..ResourceSet::default() };
    cell.config.teams.insert("team".to_owned(), TeamConfig { limit, ..TeamConfig::default() });
    cell.start_leader();
    cell.submit(job("1", vec![step(6)]));
    cell.run(300);
    assert_eq!(cell.starts.len(), 3);
    cell.run(2_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

#[test]
fn a_timed_job_starts_each_occurrence_when_it_is_due() {
    let mut cell = FakeCell::new(1);
    let mut timed = job("1", vec![step(1)]);
    timed.occurrences = 2;
    timed.first_due_ms = cell.wall_ms() + 1_000;
    timed.interval_ms = 1_000;
    cell.submit(timed);
    cell.run(950);
    assert!(cell.starts.is_empty());
    cell.run(600);
    assert_eq!(cell.starts.len(), 1);
    cell.run(2_500);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

#[test]
fn a_cancelled_job_stops_and_starts_nothing_more() {
    let mut cell = FakeCell::new(1);
    cell.submit(job("1", vec![step(6)]));
    cell.run(200);
    cell.apply(CellInput::Cancel { id: "1".to_owned(), caller: None, reply: 1 });
    cell.run(300);
    assert_eq!(cell.state("1"), Some(JobState::Cancelled));
    let started = cell.starts.len();
    cell.run(2_000);
    assert_eq!(cell.starts.len(), started);
    assert!(cell.workers["w0"].runs.is_empty());
}

#[test]
fn a_service_task_starts_again_however_it_ends() {
    let mut cell = FakeCell::new(1);
    cell.submit(job("1", vec![StepSpec { is_service: true, ..step(1) }]));
    cell.run(3_000);
    assert!(cell.starts.len() >= 3);
    assert_eq!(cell.state("1"), Some(JobState::Running));
}

/// Limits the number of rows that a new leader has to read.
#[test]
fn only_the_end_of_a_job_is_kept_once_nothing_of_it_can_run() {
    let mut cell = FakeCell::new(1);
    cell.workers.get_mut("w0").unwrap().stop_ms = 400;
    cell.submit(job("1", vec![step(1)]));
    cell.run(200);
    cell.apply(CellInput::Cancel { id: "1".to_owned(), caller: None, reply: 7 });
    cell.run(100);
    assert_eq!(cell.state("1"), Some(JobState::Cancelled));
    assert!(cell.jobs.contains_key("1"), "its task is still being stopped");
    cell.run(2_000);
    assert!(cell.jobs.is_empty() && cell.progress.is_empty());
    assert!(cell.ended["1"].phases.is_empty());
    cell.start_leader();
    assert_eq!(cell.state("1"), Some(JobState::Cancelled));
    cell.submit(job("1", vec![step(1)]));
    cell.run(1_000);
    assert_eq!(cell.starts.len(), 1, "a job submitted again is the same job");
}

/// The commits of all jobs waited for a row that the store never took.
#[test]
fn a_job_whose_rows_the_store_rejects_ends_and_concerns_no_other() {
    let mut cell = FakeCell::new(2);
    cell.run_ms = 300;
    cell.submit(job("begun", vec![step(2), StepSpec { after: vec![0], ..step(2) }]));
    cell.submit(job("other", vec![step(2), StepSpec { after: vec![0], ..step(2) }]));
    cell.run(150);
    // Its attempts run, and their ends find the row too large.
    let ids = ["begun", "stored", "large", "larger"];
    cell.rejected = ids.iter().map(|id| ((*id).to_owned(), *id != "larger")).collect();
    cell.submit(job("stored", vec![step(1)]));
    for (id, reply) in ["large", "larger"].into_iter().zip(1..) {
        cell.apply(CellInput::Submitted { record: job(id, vec![step(1)]), reply });
    }
    cell.run(3_000);
    assert_eq!(cell.state("other"), Some(JobState::Completed));
    let failed = Some(JobState::Failed);
    assert_eq!(cell.replies.len(), 2, "{:?}", cell.replies);
    assert!(cell.replies.iter().all(|(_, state)| *state == failed), "{:?}", cell.replies);
    for _ in 0..2 {
        for id in ids {
            assert_eq!(cell.state(id), Some(JobState::Failed), "{id}");
            assert!(cell.ended.contains_key(id) && !cell.jobs.contains_key(id), "{id}");
        }
        cell.start_leader();
    }
    let ends = cell.workers.values().map(|worker| worker.ended.len()).sum::<usize>();
    assert_eq!(ends, 0, "every end is acknowledged");
    let is_started = |id: &&str| cell.starts.iter().any(|(task, ..)| task.starts_with(*id));
    assert_eq!(ids.iter().copied().filter(is_started).collect::<Vec<_>>(), ["begun"]);
    cell.submit(job("later", vec![step(8)]));
    cell.run(2_000);
    assert_eq!(cell.state("later"), Some(JobState::Completed));
}

/// A caller repeats a submission after a takeover, before the new leader has read all ended jobs.
#[test]
fn a_job_that_may_have_ended_is_left_to_a_conditional_write() {
    let mut cell = FakeCell::new(1);
    cell.core = damaskrack_cell::CellCore::new(damaskrack_cell::CellSettings::default());
    cell.apply(CellInput::Submitted { record: job("1", vec![step(1)]), reply: 7 });
    cell.run(100);
    assert_eq!(cell.admitted, [7]);
    assert!(cell.jobs.is_empty() && cell.replies.is_empty());
    cell.apply(CellInput::EndedKnown);
    cell.apply(CellInput::Submitted { record: job("1", vec![step(1)]), reply: 8 });
    cell.run(100);
    assert_eq!(cell.replies.first().map(|(reply, _)| *reply), Some(8));
}

#[test]
fn rows_of_an_ended_job_go_after_their_time() {
    let mut cell = FakeCell::new(1);
    cell.submit(job("1", vec![step(1)]));
    cell.run(2_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    cell.run(140_000);
    assert_eq!(cell.state("1"), None);
    assert!(cell.jobs.is_empty() && cell.progress.is_empty() && cell.ended.is_empty());
}

quickcheck! {
    /// For any sequence of faults, no task runs twice and no worker exceeds its capacity, which the
    /// fakes check, and all jobs end once the faults are over.
    fn every_job_ends_once(faults: Vec<(u8, u8, u16)>) -> bool {
        let mut cell = FakeCell::new(3);
        for (number, (kind, worker, pause_ms)) in faults.into_iter().take(12).enumerate() {
            let is_gang = kind % 5 == 0;
            cell.submit(job(&number.to_string(), vec![StepSpec { is_gang, ..step(3) }]));
            let id = format!("w{}", worker % 3);
            let now_ms = cell.now_ms;
            match kind % 7 {
                0 => cell.start_leader(),
                1 => cell.workers.get_mut(&id).unwrap().is_silent = true,
                2 => cell.workers.get_mut(&id).unwrap().defers_starts = true,
                3 => {
                    cell.add_worker(&id, now_ms, "r0");
                    cell.list_workers();
                }
                4 => cell.is_store_down = true,
                5 => {
                    cell.run_deferred_starts(&id);
                }
                _ => cell.restore_store(),
            }
            cell.run(u64::from(pause_ms % 900));
        }
        cell.restore_store();
        let ids: Vec<String> = cell.workers.keys().cloned().collect();
        for id in ids {
            let worker = cell.workers.get_mut(&id).unwrap();
            worker.is_silent = false;
            worker.defers_starts = false;
            cell.run_deferred_starts(&id);
        }
        cell.run(40_000);
        let ended = |id: &String| cell.state(id).is_none_or(JobState::is_final);
        cell.jobs.keys().all(ended)
    }
}
