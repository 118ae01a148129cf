//! Tests of the bound on jobs that are written without a leader's decision.

use {super::UnaskedJobs, crate::frame::LeaderStatusFrame};

fn status(sent_ms: u64, free_job_bytes: Option<u64>) -> LeaderStatusFrame {
    LeaderStatusFrame { sent_ms, free_job_bytes, ..LeaderStatusFrame::default() }
}

/// Guards against a crowd that fills the memory of the next leader while there is none.
#[test]
fn a_daemon_without_a_leader_writes_no_more_than_its_part() {
    let jobs = UnaskedJobs::new(800);
    let silent = status(1, None);
    assert!(jobs.admit(60, &silent) && jobs.admit(40, &silent));
    assert!(!jobs.admit(1, &silent));
    assert!(jobs.admit(100, &status(2, None)));
}

#[test]
fn a_leader_that_is_short_of_memory_allows_less() {
    let jobs = UnaskedJobs::new(800);
    assert!(!jobs.admit(11, &status(1, Some(80))));
    assert!(jobs.admit(10, &status(1, Some(80))));
    assert!(!jobs.admit(1, &status(2, Some(0))));
    assert!(!jobs.admit(101, &status(3, Some(u64::MAX))));
}
