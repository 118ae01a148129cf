//! Tests of the choice of daemons that call workers.

use {
    super::{assign_daemons, needs_forwarding},
    crate::frame::HelloFrame,
    damaskrack_cell::WorkerReport,
    rustc_hash::FxHashSet,
};

fn workers(zone: &str, count: usize) -> Vec<WorkerReport> {
    let worker = |index: usize| WorkerReport {
        id: format!("{zone}-{index}"),
        zone: zone.to_owned(),
        labels: vec!["kind".to_owned(), format!("{zone}-rack-{}", index / 12)],
        ..WorkerReport::default()
    };
    (0..count).map(worker).collect()
}

fn daemons(zone: &str, first: u64, count: u64) -> Vec<HelloFrame> {
    let hello = |daemon| HelloFrame { daemon, zone: zone.to_owned(), ..HelloFrame::default() };
    (first..first + count).map(hello).collect()
}

#[test]
fn only_a_narrow_link_needs_other_daemons() {
    // Links of 2, 20 and 200 Mbit/s.
    assert!(needs_forwarding(250_000, 120));
    assert!(!needs_forwarding(2_500_000, 370));
    assert!(!needs_forwarding(25_000_000, 370));
    assert!(!needs_forwarding(0, 370), "the link is not known");
    assert!(needs_forwarding(25_000_000, 23_000));
}

#[test]
fn workers_are_called_from_their_own_zone() {
    let workers: Vec<_> = [workers("a", 40), workers("b", 40)].concat();
    let daemons = [daemons("a", 1, 3), daemons("b", 11, 3)].concat();
    let assigned = assign_daemons(workers.iter(), &daemons, &FxHashSet::default());
    for worker in &workers {
        let is_same_zone = (assigned[&worker.id] > 10) == (worker.zone == "b");
        assert!(is_same_zone, "{} is called by {}", worker.id, assigned[&worker.id]);
    }
    let in_use: FxHashSet<u64> = assigned.values().copied().collect();
    assert!(in_use.len() <= 4, "a payload is sent to {} daemons", in_use.len());
}

#[test]
fn a_daemon_that_fails_or_leaves_is_replaced_for_its_workers_only() {
    let workers = workers("a", 200);
    let mut daemons = daemons("a", 1, 6);
    let before = assign_daemons(workers.iter(), &daemons, &FxHashSet::default());
    let lost = before["a-0"];
    let after = assign_daemons(workers.iter(), &daemons, &FxHashSet::from_iter([lost]));
    for (worker, daemon) in &before {
        assert_eq!(*daemon == lost, after[worker] != *daemon, "{worker}");
    }
    daemons.iter_mut().for_each(|daemon| daemon.is_leaving = true);
    assert!(assign_daemons(workers.iter(), &daemons, &FxHashSet::default()).is_empty());
}
