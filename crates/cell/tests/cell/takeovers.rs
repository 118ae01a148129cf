//! What a new leader knows of attempts of its predecessor.

use {
    crate::support::{FakeCell, WALL_MS, job, step},
    damaskrack_cell::{CellInput, JobRecord, JobState},
};

#[test]
fn a_new_leader_keeps_what_runs() {
    let mut cell = FakeCell::new(2);
    cell.run_ms = 3_000;
    cell.submit(job("1", vec![step(6)]));
    cell.run(300);
    cell.start_leader();
    cell.run(8_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert_eq!(cell.starts.len(), 6);
}

/// Guards against overcommitting a worker: runs of a job that had ended at the takeover were not
/// counted while they were being stopped.
#[test]
fn what_is_being_stopped_counts_after_a_takeover() {
    let mut cell = FakeCell::new(1);
    cell.run_ms = 2_000;
    cell.submit(job("1", vec![step(4)]));
    cell.run(300);
    cell.workers.get_mut("w0").unwrap().stop_ms = 900;
    cell.apply(CellInput::Cancel { id: "1".to_owned(), caller: None, reply: 1 });
    cell.run(100);
    cell.start_leader();
    cell.submit(job("2", vec![step(4)]));
    cell.run(4_000);
    assert_eq!(cell.state("2"), Some(JobState::Completed));
}

/// The job is cancelled while its worker is unreachable, so its attempt may run on. Its end must not
/// be in the row that a new leader reads later than the job's own.
#[test]
fn a_cancelled_job_that_may_still_run_is_known_to_the_next_leader_at_once() {
    let mut cell = FakeCell::new(1);
    cell.submit(job("1", vec![step(2)]));
    cell.run(200);
    cell.workers.get_mut("w0").unwrap().is_silent = true;
    cell.apply(CellInput::Cancel { id: "1".to_owned(), caller: None, reply: 7 });
    cell.run(100);
    assert!(cell.ended.is_empty() && cell.jobs.contains_key("1"));
    cell.start_leader();
    assert_eq!(cell.state("1"), Some(JobState::Cancelled));
}

/// What is being stopped still counts: a new leader started the team's next job beside it, above the limit.
#[test]
fn a_new_leader_counts_attempts_that_are_being_stopped_against_the_limit() {
    for occurrences in [0, 1] {
        let mut cell = FakeCell::new(1);
        cell.run_ms = 60_000;
        cell.reconfigure(|config| {
            config.teams.get_mut("team").unwrap().limit.cpu_millis = 4_000;
        });
        let timed = JobRecord { occurrences, first_due_ms: WALL_MS, ..job("1", vec![step(4)]) };
        cell.submit(timed);
        cell.run(200);
        cell.workers.get_mut("w0").unwrap().stop_ms = 3_000;
        cell.apply(CellInput::Cancel { id: "1".to_owned(), caller: None, reply: 7 });
        cell.run(100);
        cell.workers.get_mut("w0").unwrap().is_silent = true;
        cell.add_worker("w1", 1, "r1");
        cell.start_leader();
        assert_eq!(cell.state("1"), Some(JobState::Cancelled));
        cell.submit(job("2", vec![step(4)]));
        cell.run(1_000);
        assert_eq!(
            cell.starts.len(),
            4,
            "the limit allows none beside those that are being stopped"
        );
        cell.workers.get_mut("w0").unwrap().is_silent = false;
        cell.run(1_000);
        assert_eq!(cell.starts.len(), 4, "they are still being stopped");
        cell.run(4_000);
        assert_eq!(cell.starts.len(), 8, "the limit is free again");
        assert!(!cell.progress.contains_key("1") && !cell.jobs.contains_key("1"));
        assert!(cell.ended["1"].phases.is_empty());
        cell.start_leader();
        assert_eq!(cell.state("1"), Some(JobState::Cancelled));
    }
}
