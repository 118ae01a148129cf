//! Amounts, times and counts in jobs and rows that no sound job has. They concern their own job only.

use {
    super::support::{FakeCell, WALL_MS, job, step},
    damaskrack_cell::JobRecord,
};

/// A sum that wraps is a time in the past.
#[test]
fn an_occurrence_due_after_the_largest_time_does_not_start() {
    let mut cell = FakeCell::new(2);
    let record = JobRecord {
        occurrences: 3,
        first_due_ms: WALL_MS,
        interval_ms: u64::MAX - WALL_MS / 2,
        ..job("timed", vec![step(1)])
    };
    cell.submit(record);
    cell.run(2_000);
    assert_eq!(cell.starts.len(), 1, "{:?}", cell.starts);
}
