//! Quarantine of workers, blame of jobs and retry limits.

use {
    damaskrack_model::ClockTime,
    damaskrack_policy::{HealthChange, RetryBudget, WorkerEligibility, WorkerHealth, backoff_ms},
    quickcheck::quickcheck,
};

const WORKERS: u32 = 8;

fn run_jobs(health: &mut WorkerHealth<u32, u32>, fails: impl Fn(u32, u32) -> bool, now: ClockTime) {
    for job in 0..6 {
        for worker in 0..WORKERS {
            health.record(worker, job, fails(worker, job), now);
        }
    }
}

fn closed(health: &WorkerHealth<u32, u32>) -> Vec<u32> {
    (0..WORKERS)
        .filter(|worker| health.eligibility(worker) == WorkerEligibility::Ineligible)
        .collect()
}

#[test]
fn a_worker_that_fails_everything_is_quarantined() {
    let mut health = WorkerHealth::default();
    run_jobs(&mut health, |worker, _| worker == 3, ClockTime(0));
    assert_eq!(health.review(8, ClockTime(0)), [HealthChange::Quarantined(3)]);
    assert_eq!(closed(&health), [3]);
}

#[test]
fn a_long_good_record_does_not_protect_a_failing_worker() {
    let mut health = WorkerHealth::default();
    for _ in 0..50 {
        run_jobs(&mut health, |_, _| false, ClockTime(0));
    }
    run_jobs(&mut health, |worker, _| worker == 3, ClockTime(0));
    assert_eq!(health.review(8, ClockTime(0)), [HealthChange::Quarantined(3)]);
}

#[test]
fn a_few_failures_in_good_work_quarantine_nobody() {
    let mut health = WorkerHealth::default();
    for round in 0..20 {
        run_jobs(&mut health, |worker, job| job == worker % 6 && round % 2 == 0, ClockTime(0));
        assert!(health.review(8, ClockTime(0)).is_empty());
    }
}

#[test]
fn a_job_that_fails_everywhere_blames_no_worker() {
    let mut health = WorkerHealth::default();
    for _ in 0..5 {
        run_jobs(&mut health, |_, job| job == 2, ClockTime(0));
        for worker in 0..WORKERS {
            health.record(worker, 2, true, ClockTime(0));
        }
    }
    assert!(health.is_job_at_fault(&2));
    assert!(health.review(8, ClockTime(0)).is_empty());
}

#[test]
fn the_velocity_limit_bounds_quarantine() {
    let mut health = WorkerHealth::default();
    let mut now = ClockTime(0);
    for _ in 0..3 {
        // Each bad worker fails jobs of its own, so no job is at fault.
        for worker in 0..3 {
            (0..20).for_each(|job| health.record(worker, 100 * (worker + 1) + job, true, now));
        }
        for worker in 3..WORKERS {
            (0..40).for_each(|job| health.record(worker, 1_000 + job, false, now));
        }
        let changes = health.review(8, now);
        assert!(changes.len() <= 1, "{changes:?}");
        assert!(closed(&health).len() <= 2);
        now = now.plus(10_000);
    }
    assert_eq!(closed(&health).len(), 1);
}

#[test]
fn a_probed_worker_returns_after_successes() {
    let mut health: WorkerHealth<u32, u32> = WorkerHealth::default();
    run_jobs(&mut health, |worker, _| worker == 3, ClockTime(0));
    health.review(8, ClockTime(0));
    let later = ClockTime(30_000);
    assert_eq!(health.review(8, later), [HealthChange::Probing(3)]);
    assert_eq!(health.eligibility(&3), WorkerEligibility::ProbeOnly);
    (0..3).for_each(|job| health.record(3, job, false, later));
    assert_eq!(health.review(8, later), [HealthChange::Returned(3)]);
}

#[test]
fn a_failed_probe_lengthens_the_quarantine() {
    let mut health: WorkerHealth<u32, u32> = WorkerHealth::default();
    run_jobs(&mut health, |worker, _| worker == 3, ClockTime(0));
    health.review(8, ClockTime(0));
    health.review(8, ClockTime(30_000));
    health.record(3, 0, true, ClockTime(30_000));
    assert_eq!(health.review(8, ClockTime(30_000)), [HealthChange::Quarantined(3)]);
    health.review(8, ClockTime(80_000));
    assert_eq!(health.eligibility(&3), WorkerEligibility::Ineligible);
    assert_eq!(health.review(8, ClockTime(90_000)), [HealthChange::Probing(3)]);
}

quickcheck! {
    fn retries_stay_a_fraction_of_fresh_work(steps: Vec<bool>) -> bool {
        let mut budget = RetryBudget::default();
        let (mut fresh, mut retries) = (0_u32, 0_u32);
        for is_fresh in steps {
            if is_fresh {
                budget.add_fresh();
                fresh += 1;
            } else if budget.try_retry() {
                retries += 1;
            }
        }
        retries <= 20 + fresh / 10
    }

    fn backoff_is_bounded(attempt: u32, draw: u64) -> bool {
        backoff_ms(attempt, draw) <= 10_000
    }
}
