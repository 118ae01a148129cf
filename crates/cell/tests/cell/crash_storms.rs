//! Many tasks that crash the workers that start them.

use {
    crate::support::{CAPACITY, FakeCell, job, step},
    damaskrack_cell::{JobState, StepSpec},
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
