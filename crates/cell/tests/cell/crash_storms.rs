//! Many tasks that crash the workers that start them.

use {
    crate::support::{CAPACITY, FakeCell, WALL_MS, job, step},
    damaskrack_cell::{AdviceTiming, JobRecord, JobState, StepSpec},
};

/// Number of workers that may crash under a task before it is given up.
const MAX_CRASHES: u32 = 3;

/// Workers crash at the same moment, each by a task that has just been started on it.
#[test]
fn tasks_that_crash_their_workers_at_the_same_time_are_given_up() {
    let mut cell = FakeCell::new(32);
    let whole = StepSpec { cpu_millis: CAPACITY.cpu_millis, ..step(1) };
    let ids: Vec<String> = (10..22).map(|id| id.to_string()).collect();
    for id in &ids {
        cell.make_crashing(id);
        cell.submit(job(id, vec![whole.clone()]));
    }
    cell.run(60_000);
    for id in &ids {
        assert_eq!(cell.state(id), Some(JobState::Failed), "job {id}");
        let crashes = cell.crashing.caused_by(id);
        assert!((2..=MAX_CRASHES).contains(&crashes), "{crashes} workers crashed under job {id}");
    }
}

/// Each job is the only one that had just been started on the worker that it crashed first.
#[test]
fn jobs_that_were_accused_alone_do_not_crash_a_worker_each() {
    let mut cell = FakeCell::new(8);
    let ids: Vec<String> = (10..50).map(|id| id.to_string()).collect();
    for id in &ids {
        cell.make_crashing(id);
        cell.submit(job(id, vec![step(1)]));
        cell.run(400);
    }
    cell.run(60_000);
    for id in &ids {
        assert_eq!(cell.state(id), Some(JobState::Failed), "job {id}");
        let crashes = cell.crashing.caused_by(id);
        assert!(crashes <= MAX_CRASHES, "{crashes} workers crashed under job {id}");
    }
    let crashed = cell.crashing.crashed_workers;
    assert!(crashed <= ids.len() * 3 / 2, "{crashed} workers crashed under {} jobs", ids.len());
}

/// Other jobs, which come first, have more calls for the adviser than it serves.
#[test]
fn a_suspect_is_tested_while_the_adviser_is_busy() {
    let mut cell = FakeCell::new(8);
    cell.add_adviser(AdviceTiming { call_us: 10_000, worker_us: 100, valid_ms: 2_000 });
    cell.start_leader();
    cell.make_crashing("1");
    cell.submit(job("1", vec![step(1)]));
    cell.run(1_000);
    let accepted_ms = WALL_MS + 60_000;
    for id in 1_000..1_200 {
        cell.submit(JobRecord { accepted_ms, ..job(&id.to_string(), vec![step(1)]) });
    }
    cell.lost_advice = usize::MAX;
    cell.advice_requests.clear();
    cell.run(6_000);
    let asked = cell.advice_requests.iter().any(|request| request.phase == "1.0.0");
    assert!(asked, "no call for the suspect among {}", cell.advice_requests.len());
}
