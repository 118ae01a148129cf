//! The budget of memory for jobs.

use {
    crate::support::{FakeCell, WALL_MS, job, step},
    damaskrack_cell::{CellInput, CellSettings, JobRecord, JobState, StepSpec},
};

/// Number of large jobs that the budget of a cell holds, and the memory that is left then, in bytes.
const LARGE_JOBS: usize = 16;
const SPARE_BYTES: usize = 10_000;
/// Time for which ended jobs are kept, in milliseconds.
const RETENTION_MS: u64 = 2_000;

/// Returns a job of a team with tasks that run until it is cancelled.
fn large(id: u64, team: &str) -> JobRecord {
    let step = StepSpec { is_service: true, ..step(1_000) };
    JobRecord { team: team.to_owned(), ..job(&id.to_string(), vec![step]) }
}

/// Returns an ordinary job of a team.
fn small(id: u64, team: &str) -> JobRecord {
    JobRecord { team: team.to_owned(), ..job(&id.to_string(), vec![step(1)]) }
}

fn cell_with(job_memory_bytes: usize) -> FakeCell {
    let mut cell = FakeCell::new(2);
    cell.settings =
        CellSettings { job_memory_bytes, retention_ms: RETENTION_MS, ..CellSettings::default() };
    cell.start_leader();
    cell
}

fn cell() -> FakeCell {
    cell_with(LARGE_JOBS * large(0, "a").memory_bytes() + SPARE_BYTES)
}

/// Submits a job and returns whether it is accepted.
fn submit(cell: &mut FakeCell, id: u64, record: JobRecord) -> bool {
    let refused = cell.refusals.len();
    cell.apply(CellInput::Submitted { record, reply: id });
    cell.run(20);
    cell.refusals.len() == refused
}

/// Submits large jobs of a team until one is refused, and returns their number.
fn fill(cell: &mut FakeCell, first: u64, team: &str) -> u64 {
    (0..100).take_while(|id| submit(cell, first + id, large(first + id, team))).count() as u64
}

/// Guards against one account that leaves no memory to the others.
#[test]
fn a_team_that_holds_most_is_refused_and_others_are_not() {
    let mut cell = cell();
    assert_eq!(fill(&mut cell, 0, "a"), 12);
    assert!(submit(&mut cell, 200, small(200, "b")));
    assert_eq!(fill(&mut cell, 300, "b"), 3);
    assert!(submit(&mut cell, 400, small(400, "c")));
    fill(&mut cell, 500, "c");
    assert!(submit(&mut cell, 600, small(600, "d")));
}

/// Guards against memory that is counted for jobs which do not exist any more.
#[test]
fn what_ended_jobs_give_back_is_free_again() {
    let mut cell = cell();
    let limit = cell.core.free_job_bytes();
    let accepted = fill(&mut cell, 0, "a");
    for id in 0..accepted {
        cell.apply(CellInput::Cancel { id: id.to_string(), caller: None, reply: id });
    }
    cell.run(1_000);
    assert!(cell.core.free_job_bytes() > limit / 2);
    assert!(submit(&mut cell, 100, large(100, "a")) && submit(&mut cell, 101, small(101, "a")));
    cell.apply(CellInput::Cancel { id: "100".to_owned(), caller: None, reply: 100 });
    cell.run(2 * RETENTION_MS);
    assert_eq!(cell.core.free_job_bytes(), limit);
}

#[test]
fn a_refused_team_is_told_to_come_back_sooner_if_its_jobs_end() {
    let retry_ms = |ends: bool| {
        let mut cell = cell();
        let accepted = fill(&mut cell, 0, "a");
        for id in 0..if ends { accepted / 2 } else { 0 } {
            cell.apply(CellInput::Cancel { id: id.to_string(), caller: None, reply: id });
        }
        cell.run(100);
        fill(&mut cell, 100, "a");
        cell.refusals.last().expect("a refusal").1
    };
    assert!((1_000..30_000).contains(&retry_ms(true)));
    assert!((30_000..=45_000).contains(&retry_ms(false)));
}

/// Guards against a job that waits for memory which there never is.
#[test]
fn a_job_that_can_never_be_held_is_refused_and_the_largest_that_can_is_not() {
    let bytes = large(1, "a").memory_bytes();
    assert!(!submit(&mut cell_with(bytes + bytes / 4), 1, large(1, "a")));
    assert!(submit(&mut cell_with(bytes + bytes / 2), 1, large(1, "a")));
}

/// Guards against accepted jobs that are lost with their leader.
#[test]
fn a_leader_with_a_smaller_budget_takes_all_jobs_over() {
    let mut cell = cell();
    let accepted = fill(&mut cell, 0, "a");
    assert!(submit(&mut cell, 100, small(100, "b")));
    cell.settings.job_memory_bytes = large(0, "a").memory_bytes();
    cell.start_leader();
    assert_eq!(cell.core.free_job_bytes(), 0);
    assert!((0..accepted).all(|id| cell.state(&id.to_string()).is_some()));
    assert!(!submit(&mut cell, 200, small(200, "b")));
    for id in 0..accepted {
        cell.apply(CellInput::Cancel { id: id.to_string(), caller: None, reply: id });
    }
    cell.run(20_000);
    assert!(cell.done.contains_key("100.0.0.0"));
    assert!(submit(&mut cell, 300, small(300, "b")));
}

/// Guards against offers that are all admitted before the first of them is written.
#[test]
fn offered_jobs_are_counted_until_they_are_written_or_given_up() {
    let mut cell = cell();
    let limit = cell.core.free_job_bytes();
    let offer = |cell: &mut FakeCell, id: u64| {
        cell.apply(CellInput::Offered { record: large(id, "a"), reply: id });
    };
    (0..20).for_each(|id| offer(&mut cell, id));
    cell.run(10);
    assert_eq!((cell.admitted.len(), cell.refusals.len()), (12, 8));
    // A daemon that asks once more is not refused for the memory that it has.
    offer(&mut cell, 11);
    cell.run(10);
    assert_eq!((cell.admitted.len(), cell.refusals.len()), (13, 8));
    cell.submit(large(0, "a"));
    assert!(cell.core.free_job_bytes().abs_diff(limit / 4) < SPARE_BYTES);
    cell.run(4_000);
    (20..40).for_each(|id| offer(&mut cell, id));
    cell.run(10);
    assert_eq!(cell.admitted.len(), 13 + 11);
    cell.run(4_000);
    let held = limit - cell.core.free_job_bytes();
    assert!(held < large(0, "a").memory_bytes() + SPARE_BYTES, "offers count after their time");
}

/// Guards against an accepted job that never starts because no memory is left beside its own.
#[test]
fn the_first_occurrence_starts_although_no_memory_is_left() {
    let mut cell = cell();
    let timed = JobRecord { occurrences: 1, first_due_ms: WALL_MS + 5_000, ..small(1, "b") };
    assert!(submit(&mut cell, 1, timed));
    cell.settings.job_memory_bytes = 1;
    cell.start_leader();
    cell.run(7_000);
    assert!(cell.done.contains_key("1.0.0.0"));
}

/// Guards against accepted jobs that take memory beyond the budget once their occurrences are due.
#[test]
fn occurrences_wait_for_memory() {
    let mut cell = cell_with(400_000);
    for id in 0..10 {
        let steps = vec![step(1); 4];
        let occurrences = JobRecord {
            occurrences: 1_000_000,
            first_due_ms: WALL_MS,
            interval_ms: 1,
            ..job("", steps)
        };
        let record = JobRecord { id: id.to_string(), ..occurrences };
        cell.apply(CellInput::Submitted { record, reply: id });
    }
    cell.run(10_000);
    assert!(cell.refusals.is_empty());
    assert!(cell.core.free_job_bytes() >= 90_000, "{}", cell.core.free_job_bytes());
    assert!(!cell.done.is_empty());
    assert!(submit(&mut cell, 100, small(100, "b")));
}

/// Returns a job with twenty occurrences, two of them a second, in a cell whose budget holds six of them at once.
fn timed_job_in_a_small_budget(step: StepSpec) -> FakeCell {
    let timed = JobRecord {
        occurrences: 20,
        first_due_ms: WALL_MS,
        interval_ms: 500,
        ..job("1", vec![step])
    };
    let mut cell = cell_with(8 * timed.memory_bytes());
    assert!(submit(&mut cell, 1, timed));
    cell
}

/// Guards against a job that its own completed occurrences keep from the rest of them.
#[test]
fn a_timed_job_completes_although_all_its_occurrences_exceed_the_budget() {
    let mut cell = timed_job_in_a_small_budget(step(100));
    cell.run(60_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed), "{} tasks done", cell.done.len());
}

/// Guards against a job that waits for memory without a trace of it.
#[test]
fn an_occurrence_that_waits_for_memory_is_logged_once() {
    let mut cell = timed_job_in_a_small_budget(StepSpec { is_service: true, ..step(100) });
    cell.run(60_000);
    let logs = cell.take_logs();
    let waits: Vec<_> = logs.iter().filter(|entry| entry.event == "occurrence_waits").collect();
    assert_eq!(waits.len(), 1, "{waits:?}");
    assert_eq!(waits[0].subject, "1");
    assert!(waits[0].detail.contains("reason=memory"), "{}", waits[0].detail);
}
