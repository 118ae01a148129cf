//! Tasks that crash the workers that start them, and the tasks that run beside them.

use {
    crate::support::{FakeCell, job, step},
    damaskrack_cell::{
        CellInput, EndKind, EndedAttempt, JobRecord, JobState, QueueConfig, StepSpec,
    },
};

/// Number of workers that may crash under a task before it is given up.
const MAX_CRASHES: u32 = 3;
/// Number of workers that may, if leaders change or crashes are known late: two starts more than three
/// crashes.
const MOST_CRASHES: u32 = MAX_CRASHES + 2;

/// Asserts that the job `1`, which crashes its workers, was given up after a number of crashes.
fn assert_given_up(cell: &FakeCell, most: u32) {
    assert_eq!(cell.state("1"), Some(JobState::Failed));
    let crashes = cell.crashing.caused_by("1");
    assert!((2..=most).contains(&crashes), "{crashes} workers crashed");
}

#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    let mut cell = FakeCell::new(4);
    cell.make_crashing("1");
    cell.submit(job("1", vec![step(2)]));
    cell.run(60_000);
    assert_given_up(&cell, MAX_CRASHES);
}

/// Each leader lives just long enough to see the worker crash.
#[test]
fn a_task_that_crashes_its_workers_is_given_up_across_leaders() {
    let mut cell = FakeCell::new(4);
    cell.make_crashing("1");
    cell.submit(job("1", vec![step(1)]));
    for _ in 0..40 {
        cell.run(1_300);
        cell.start_leader();
    }
    cell.run(10_000);
    assert_given_up(&cell, MOST_CRASHES);
}

/// As above, but crashed workers lose their registrations and come back under other ids: a new leader
/// knows the former ones from the rows of their attempts only.
#[test]
fn a_task_that_crashes_its_workers_is_given_up_across_leaders_when_ids_change() {
    for leader_ms in [700, 1_300, 2_900, 4_100] {
        let mut cell = FakeCell::new(4);
        cell.crashing.renames = true;
        cell.make_crashing("1");
        cell.submit(job("1", vec![step(1)]));
        for _ in 0..60_000 / leader_ms {
            cell.run(leader_ms);
            cell.start_leader();
        }
        cell.run(10_000);
        assert_given_up(&cell, MOST_CRASHES);
    }
}

/// Guards against a job that crashes worker after worker because those come back under other ids and addresses,
/// so nothing proves that they have crashed.
#[test]
fn a_task_whose_crashed_workers_never_come_back_is_given_up() {
    let mut cell = FakeCell::new(4);
    cell.crashing.down_ms = u64::MAX / 2;
    cell.crashing.renames = true;
    cell.make_crashing("1");
    cell.submit(job("1", vec![step(1)]));
    for round in 0..10 {
        cell.add_worker(&format!("n{round}"), 1, "r0");
        cell.list_workers();
        cell.run(15_000);
        if round % 2 == 0 {
            cell.start_leader();
        }
    }
    assert_given_up(&cell, MOST_CRASHES);
}

/// Jobs with long runs share all workers with jobs that crash them.
#[test]
fn the_neighbours_of_a_task_that_crashes_its_workers_complete() {
    let mut cell = FakeCell::new(8);
    cell.run_ms = 2_000;
    for id in 10..30 {
        cell.submit(job(&id.to_string(), vec![step(3)]));
    }
    cell.run(300);
    for id in ["1", "2", "3"] {
        cell.make_crashing(id);
        cell.submit(job(id, vec![step(1)]));
    }
    cell.run(60_000);
    for id in ["1", "2", "3"] {
        assert_eq!(cell.state(id), Some(JobState::Failed), "job {id}");
    }
    for id in 10..30 {
        assert_eq!(cell.state(&id.to_string()), Some(JobState::Completed), "job {id}");
    }
}

/// The workers crash before they respond to the start, so it is not known whether it took effect.
#[test]
fn a_start_without_response_that_crashes_its_worker_counts() {
    let mut cell = FakeCell::new(4);
    cell.crashing.after_ms = 0;
    cell.make_crashing("1");
    cell.submit(job("1", vec![step(1)]));
    cell.run(60_000);
    assert_given_up(&cell, MAX_CRASHES);
}

/// The job that crashes its workers is cancelled just before the second crash, so it is not among the
/// tasks that have to be started again. The other one ran beside it both times.
#[test]
fn a_neighbour_is_not_given_up_for_a_job_that_was_cancelled() {
    let mut cell = FakeCell::new(1);
    cell.make_crashing("1");
    cell.submit(job("2", vec![step(1)]));
    cell.run(100);
    cell.submit(job("1", vec![step(1)]));
    for _ in 0..1_000 {
        cell.run(10);
        if cell.starts.iter().filter(|(task, ..)| task.starts_with("1.")).count() == 2 {
            break;
        }
    }
    cell.apply(CellInput::Cancel { id: "1".to_owned(), caller: None, reply: 1 });
    cell.run(20_000);
    assert_eq!(cell.crashing.crashes.get("2.0.0.0"), Some(&2));
    assert_eq!(cell.state("1"), Some(JobState::Cancelled));
    assert_eq!(cell.state("2"), Some(JobState::Completed));
}

/// Workers carry requests out late and crash meanwhile, under other tasks: it is not known whether they
/// had begun this one.
#[test]
fn a_task_that_may_not_have_run_is_not_given_up() {
    let mut cell = FakeCell::new(4);
    cell.submit(job("1", vec![step(1)]));
    let mut crashes = 0;
    for _ in 0..1_000 {
        cell.workers.values_mut().for_each(|worker| worker.defers_starts = true);
        cell.run(10);
        let mut workers = cell.workers.values();
        let at = workers.find(|worker| !worker.is_silent && !worker.deferred_starts.is_empty());
        if let Some(id) = at.map(|worker| worker.report.id.clone()) {
            cell.crash(&id);
            crashes += 1;
        }
        if crashes == 2 {
            break;
        }
    }
    assert_eq!(crashes, 2);
    cell.run(3_100);
    cell.workers.values_mut().for_each(|worker| worker.defers_starts = false);
    cell.run(10_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// Crashed workers are away for longer than their leases last, so the task starts elsewhere before
/// it is known that the first worker has crashed.
#[test]
fn a_crash_that_is_known_only_after_the_lease_counts() {
    let mut cell = FakeCell::new(8);
    cell.crashing.down_ms = 9_000;
    cell.make_crashing("1");
    cell.submit(job("1", vec![step(1)]));
    cell.run(90_000);
    assert_given_up(&cell, MOST_CRASHES);
}

#[test]
fn a_task_that_crashes_its_workers_some_time_after_its_start_is_given_up() {
    let mut cell = FakeCell::new(6);
    cell.crashing.after_ms = 1_200;
    cell.run_ms = 2_000;
    cell.make_crashing("1");
    for id in 10..20 {
        cell.submit(job(&id.to_string(), vec![step(2)]));
    }
    cell.submit(job("1", vec![step(1)]));
    cell.run(90_000);
    assert_given_up(&cell, MOST_CRASHES);
    for id in 10..20 {
        assert_eq!(cell.state(&id.to_string()), Some(JobState::Completed), "job {id}");
    }
}

/// Power fails, and again as soon as the workers have started their work once more.
#[test]
fn workers_that_are_lost_together_accuse_no_task() {
    let mut cell = FakeCell::new(8);
    for id in 10..18 {
        cell.submit(job(&id.to_string(), vec![step(4)]));
    }
    for _ in 0..3 {
        for _ in 0..500 {
            if cell.workers.values().any(|worker| worker.runs.is_empty()) {
                cell.run(10);
            }
        }
        for id in cell.workers.keys().cloned().collect::<Vec<String>>() {
            cell.crash(&id);
        }
    }
    cell.run(20_000);
    for id in 10..18 {
        assert_eq!(cell.state(&id.to_string()), Some(JobState::Completed), "job {id}");
    }
}

#[test]
fn a_gang_whose_member_crashes_its_workers_is_given_up() {
    let mut cell = FakeCell::new(6);
    cell.make_crashing("1");
    cell.submit(job("1", vec![StepSpec { is_gang: true, ..step(3) }]));
    cell.submit(job("2", vec![StepSpec { is_gang: true, ..step(3) }]));
    cell.run(60_000);
    assert_eq!(cell.state("1"), Some(JobState::Failed));
    assert_eq!(cell.state("2"), Some(JobState::Completed));
    let crashes = cell.crashing.caused_by("1");
    assert!((2..=MAX_CRASHES).contains(&crashes), "{crashes} workers crashed");
}

/// A service's task may fail as often as it likes, but not crash worker after worker.
#[test]
fn a_service_that_crashes_its_workers_is_given_up() {
    let mut cell = FakeCell::new(4);
    cell.make_crashing("1");
    cell.submit(job("1", vec![StepSpec { is_service: true, ..step(2) }]));
    cell.run(60_000);
    assert_given_up(&cell, MAX_CRASHES);
}

/// Workers of a service crash one after the other, each for reasons of its own.
#[test]
fn a_service_survives_crashes_that_it_does_not_cause() {
    let mut cell = FakeCell::new(4);
    cell.run_ms = 10_000_000;
    cell.submit(job("1", vec![StepSpec { is_service: true, ..step(4) }]));
    for round in 0..12 {
        cell.run(40_000);
        cell.crash(&format!("w{}", round % 4));
    }
    cell.run(10_000);
    assert_eq!(cell.state("1"), Some(JobState::Running));
    let running: usize = cell.workers.values().map(|worker| worker.runs.len()).sum();
    assert_eq!(running, 4);
}

/// One in ten short jobs of a queue crashes its workers, while another queue's gangs run.
#[test]
fn gangs_are_kept_apart_from_a_queue_that_crashes_workers() {
    let mut cell = FakeCell::new(36);
    cell.run_ms = 2_000;
    let gangs = QueueConfig { name: "gangs".to_owned(), ..cell.config.queues["queue"].clone() };
    cell.config.queues.insert("gangs".to_owned(), gangs);
    cell.start_leader();
    cell.run(100);
    let mut submitted = Vec::new();
    for round in 0..100 {
        if round == 40 {
            // The first crashes show that the queue crashes workers.
            cell.crashing.crashes.clear();
        }
        let id = 1_000 + round;
        if round % 10 == 5 {
            cell.make_crashing(&id.to_string());
        } else {
            submitted.push(id);
        }
        cell.submit(job(&id.to_string(), vec![step(2)]));
        if round % 3 == 0 {
            let gang = StepSpec { is_gang: true, max_per_worker: 1, ..step(6) };
            submitted.push(2_000 + round);
            let record = job(&(2_000 + round).to_string(), vec![gang]);
            cell.submit(JobRecord { queue: "gangs".to_owned(), ..record });
        }
        cell.run(100);
    }
    cell.run(30_000);
    for id in submitted {
        assert_eq!(cell.state(&id.to_string()), Some(JobState::Completed), "job {id}");
    }
    let lost = cell.crashing.crashes.keys().filter(|task| task.starts_with('2')).count();
    assert!(lost <= 1, "{lost} members of gangs were lost with their workers");
}

/// Two tasks of the job run on the worker that it crashes.
#[test]
fn a_job_with_several_tasks_to_blame_ends_once() {
    let mut cell = FakeCell::new(4);
    cell.make_crashing("1");
    cell.submit(job("1", vec![step(3)]));
    let mut ends = 0;
    for _ in 0..2_000 {
        cell.run(10);
        ends += cell.take_logs().iter().filter(|entry| entry.event == "job_ended").count();
    }
    assert_given_up(&cell, MAX_CRASHES);
    assert_eq!(ends, 1);
}

/// A worker restarts under its id and runs a start that was meant for its former incarnation. The end
/// has a number that the former one's last end had as well.
#[test]
fn a_renewal_after_a_silence_acknowledges_no_end() {
    let mut cell = FakeCell::new(1);
    cell.submit(job("1", vec![step(1)]));
    cell.run(1_500);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    cell.run_ms = 60_000;
    cell.submit(job("2", vec![step(1)]));
    cell.run(500);
    let worker = cell.workers.get_mut("w0").unwrap();
    worker.is_silent = true;
    cell.run(100);
    let worker = cell.workers.get_mut("w0").unwrap();
    worker.report.incarnation += 1;
    worker.runs.clear();
    worker.ended = vec![EndedAttempt {
        number: 1,
        task: "2.0.0.0".to_owned(),
        attempt: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    }];
    worker.is_silent = false;
    cell.run(1_000);
    assert_eq!(cell.state("2"), Some(JobState::Completed));
}

/// Cuts the worker off that runs the job's task. The run ends there, and the worker restarts before it can be
/// reached again.
fn cut_off_and_restart(cell: &mut FakeCell) {
    let (id, _) = cell.workers.iter().find(|(_, worker)| !worker.runs.is_empty()).expect("a run");
    let id = id.clone();
    cell.workers.get_mut(&id).expect("a worker").is_silent = true;
    cell.run(2_500);
    cell.reincarnate(&id);
    cell.workers.get_mut(&id).expect("a worker").is_silent = true;
    cell.list_workers();
    cell.run(3_000);
    cell.workers.get_mut(&id).expect("a worker").is_silent = false;
}

/// Guards against a job that is given up for crashes behind a cut, where its task had ended before.
#[test]
fn a_task_whose_workers_restart_behind_a_cut_is_not_given_up() {
    let mut cell = FakeCell::new(6);
    cell.has_timeouts = true;
    cell.run_ms = 1_500;
    cell.submit(job("1", vec![step(1)]));
    for _ in 0..8 {
        for _ in 0..300 {
            cell.run(50);
            if cell.workers.values().any(|worker| !worker.runs.is_empty() && !worker.is_silent) {
                break;
            }
        }
        cell.run(500);
        cut_off_and_restart(&mut cell);
    }
    cell.run(20_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// Guards against a task that crashes workers without end, because requests to them time out instead of breaking, so
/// that none of the crashes counts.
#[test]
fn a_task_that_crashes_workers_whose_requests_time_out_is_given_up() {
    let mut cell = FakeCell::new(12);
    cell.has_timeouts = true;
    cell.run(200);
    cell.make_crashing("1");
    cell.submit(job("1", vec![step(1)]));
    cell.run(90_000);
    assert_given_up(&cell, 5);
}
