//! The number of pending jobs, as callers see it.

use {
    crate::support::{FakeCell, job, step},
    damaskrack_cell::ProgressRecord,
};

/// Workers carry requests out late: the first requests of all jobs have no response.
#[test]
fn a_job_whose_request_has_no_response_is_pending() {
    let mut cell = FakeCell::new(2);
    cell.run(100);
    cell.workers.values_mut().for_each(|worker| worker.defers_starts = true);
    for id in ["1", "2", "3"] {
        cell.submit(job(id, vec![step(1)]));
    }
    cell.run(300);
    assert!(!cell.workers["w0"].deferred_starts.is_empty());
    assert_eq!(cell.core.pending("queue"), 3);
    cell.workers.values_mut().for_each(|worker| worker.defers_starts = false);
    cell.run(4_000);
    assert_eq!(cell.core.pending("queue"), 0);
}

/// A leader stops between the row of an attempt and its request. Its successor knows the attempt but
/// no worker that has begun it.
#[test]
fn a_job_whose_request_was_never_sent_is_pending_at_the_next_leader() {
    let mut cell = FakeCell::new(1);
    cell.run(100);
    cell.workers.get_mut("w0").unwrap().is_silent = true;
    cell.submit(job("1", vec![step(1)]));
    cell.run(100);
    assert!(!cell.progress["1"].phases[0].tasks[0].worker.is_empty());
    cell.start_leader();
    cell.run(100);
    assert_eq!(cell.core.pending("queue"), 1);
}

#[test]
fn a_job_that_a_worker_has_begun_is_not_pending_at_the_next_leader() {
    let mut cell = FakeCell::new(1);
    cell.run_ms = 60_000;
    cell.submit(job("1", vec![step(1)]));
    cell.run(300);
    assert_eq!(cell.core.pending("queue"), 0);
    cell.start_leader();
    cell.run(100);
    assert_eq!(cell.core.pending("queue"), 0);
}

/// The run has ended without success, so only the row shows that it had begun.
#[test]
fn a_job_whose_row_shows_a_run_is_not_pending() {
    let mut cell = FakeCell::new(1);
    cell.workers.get_mut("w0").unwrap().is_silent = true;
    cell.submit(job("1", vec![step(1)]));
    cell.progress.insert("1".to_owned(), ProgressRecord { has_begun: true, ..Default::default() });
    cell.start_leader();
    assert_eq!(cell.core.pending("queue"), 0);
}
