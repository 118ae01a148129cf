//! Log entries of attempts that are released without an end: by which bound, and which incarnation it is of.

use {
    crate::support::{FakeCell, LAPSE_MS, OTHER_LEASES_MS, job, step},
    damaskrack_cell::StepSpec,
};

/// Returns the only entry of a released attempt since the last call.
fn released(cell: &mut FakeCell) -> String {
    let logs = cell.take_logs();
    let mut entries = logs.into_iter().filter(|entry| entry.event == "attempt_released");
    let entry = entries.next().expect("an attempt is released");
    assert_eq!(entry.subject, "1.0.0.0");
    let other = entries.next();
    assert!(other.is_none(), "{entry:?}, {other:?}");
    entry.detail
}

/// Creates a cell whose only worker runs a task that lasts, `known_ms` after the worker came.
fn cell_with_service(known_ms: u64) -> FakeCell {
    let mut cell = FakeCell::new(1);
    cell.run(known_ms);
    cell.run_ms = 600_000;
    cell.submit(job("1", vec![StepSpec { is_service: true, ..step(1) }]));
    cell.run(500);
    assert_eq!(cell.workers["w0"].runs.len(), 1, "the task does not run");
    cell
}

/// Returns the entry of the only attempt when its worker does not respond any more.
fn released_when_silent(cell: &mut FakeCell) -> String {
    cell.workers.get_mut("w0").expect("a worker").is_silent = true;
    cell.run(LAPSE_MS);
    released(cell)
}

#[test]
fn an_expired_lease_that_the_leader_asked_for_is_logged() {
    let mut cell = cell_with_service(OTHER_LEASES_MS);
    let detail = released_when_silent(&mut cell);
    let born = cell.workers["w0"].report.incarnation;
    assert!(detail.contains("cause=LeaseExpiry(Deadline)"), "{detail}");
    assert!(detail.contains(&format!("born={born} responded=true fenced=true")), "{detail}");
    assert!(detail.contains("open_starts=0"), "{detail}");
}

#[test]
fn an_expired_lease_on_a_request_for_a_former_incarnation_is_logged() {
    let mut cell = cell_with_service(0);
    let detail = released_when_silent(&mut cell);
    assert!(detail.contains("cause=LeaseExpiry(OtherRequests)"), "{detail}");
}

#[test]
fn a_start_without_a_response_is_logged_when_its_attempt_is_released() {
    let mut cell = FakeCell::new(1);
    cell.run(OTHER_LEASES_MS);
    cell.workers.get_mut("w0").expect("a worker").defers_starts = true;
    cell.submit(job("1", vec![step(1)]));
    cell.run(50);
    let detail = released(&mut cell);
    assert!(detail.contains("cause=Stopped"), "{detail}");
    assert!(detail.contains("open_starts=3 ticket=false"), "{detail}");
}

#[test]
fn another_worker_at_the_address_is_logged() {
    let mut cell = cell_with_service(0);
    cell.workers.get_mut("w0").expect("a worker").is_replaced = true;
    cell.run(1_500);
    assert!(released(&mut cell).contains("cause=Replaced"));
}

#[test]
fn a_start_that_a_former_incarnation_carried_out_is_not_logged_as_open() {
    let mut cell = cell_with_service(OTHER_LEASES_MS);
    cell.reincarnate("w0");
    cell.workers.get_mut("w0").expect("a worker").is_silent = true;
    cell.list_workers();
    cell.run(LAPSE_MS);
    let detail = released(&mut cell);
    assert!(detail.contains("cause=LeaseExpiry(FormerIncarnation)"), "{detail}");
    assert!(detail.contains("open_starts=0"), "{detail}");
}
