//! Load patterns, replayed on the core.

use {
    crate::support::{FakeCell, job, step},
    damaskrack_cell::CellInput,
};

/// A burst: more jobs at once than a commit holds.
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
    assert!(cell.held_commits.len() >= 5, "{} commits on the way", cell.held_commits.len());
}
