//! Load patterns of a leader whose network link is narrow.

use {
    crate::support::{FakeCell, FakeLink, job, step},
    damaskrack_cell::{CellInput, JobState},
};

/// Number of workers; their renewals alone take a third of the link.
const WORKERS: usize = 40;

fn narrow_cell(requests_per_s: u64) -> FakeCell {
    let mut cell = FakeCell::new(WORKERS);
    cell.run(500);
    cell.link = Some(FakeLink::new(requests_per_s));
    cell
}

fn submit(cell: &mut FakeCell, id: usize, tasks: u32) {
    let mut record = job(&id.to_string(), vec![step(tasks)]);
    record.accepted_ms = cell.wall_ms();
    cell.submit(record);
}

fn completed(cell: &FakeCell, ids: std::ops::Range<usize>) -> usize {
    ids.filter(|id| cell.state(&id.to_string()) == Some(JobState::Completed)).count()
}

/// A burst arrives that takes the link four seconds to start. Sent at once, most of it would time
/// out, be stopped and be sent again, and the leases of the workers would not be renewed.
#[test]
fn a_burst_does_not_time_out_on_a_narrow_link() {
    let mut cell = narrow_cell(100);
    for id in 0..100 {
        submit(&mut cell, id, 2);
    }
    cell.run(12_000);
    let link = cell.link.as_ref().unwrap();
    assert!(link.lost_starts <= 20, "{} starts timed out", link.lost_starts);
    assert!(link.lost_renewals <= 20, "{} renewals timed out", link.lost_renewals);
    assert_eq!(completed(&cell, 0..100), 100);
}

/// The link narrows to a tenth for ten seconds. Service is back to nine tenths of what it was within
/// ten seconds of the end of that.
#[test]
fn service_returns_after_the_link_was_narrow_for_a_while() {
    let mut cell = narrow_cell(400);
    let mut next = 0;
    let mut run_s = |cell: &mut FakeCell, seconds: usize| {
        let before = completed(cell, 0..next);
        for _ in 0..seconds * 50 {
            submit(cell, next, 1);
            next += 1;
            cell.run(20);
        }
        (completed(cell, 0..next) - before) as f64 / seconds as f64
    };
    run_s(&mut cell, 3);
    let usual_per_s = run_s(&mut cell, 5);
    cell.link.as_mut().unwrap().requests_per_s = 40;
    run_s(&mut cell, 10);
    cell.link.as_mut().unwrap().requests_per_s = 400;
    run_s(&mut cell, 10);
    let later_per_s = run_s(&mut cell, 5);
    assert!(later_per_s >= 0.9 * usual_per_s, "{later_per_s} of {usual_per_s} jobs per second");
}

/// Jobs beyond what the link can start are refused at once, with the time after which the link has
/// caught up.
#[test]
fn a_job_that_the_link_cannot_start_in_time_is_refused() {
    let mut cell = narrow_cell(50);
    for id in 0..400 {
        let mut record = job(&id.to_string(), vec![step(1)]);
        record.accepted_ms = cell.wall_ms();
        cell.apply(CellInput::Submitted { record, reply: id });
        cell.run(10);
    }
    assert!(!cell.refusals.is_empty());
    assert!(cell.refusals.iter().all(|(_, retry_ms)| (1_000..=45_000).contains(retry_ms)));
    let accepted = cell.replies.len();
    cell.run(12_000);
    let done = completed(&cell, 0..400);
    assert!(done * 10 >= accepted * 9, "{done} of {accepted} accepted jobs completed");
}

/// A new leader has many jobs to start at once, and has started none yet, so it does not know how long
/// that takes.
#[test]
fn a_new_leader_with_a_backlog_refuses_nothing_before_it_knows_its_rate() {
    let mut cell = FakeCell::new(WORKERS);
    for id in 0..100 {
        submit(&mut cell, id, 2);
    }
    cell.link = Some(FakeLink::new(2_000));
    for id in 100..140 {
        let mut record = job(&id.to_string(), vec![step(1)]);
        record.accepted_ms = cell.wall_ms();
        cell.apply(CellInput::Submitted { record, reply: id });
        cell.run(10);
    }
    assert!(cell.refusals.is_empty(), "{} jobs were refused", cell.refusals.len());
}
