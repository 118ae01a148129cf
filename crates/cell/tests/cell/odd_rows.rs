//! Amounts, times and counts in jobs and rows that no sound job has. They concern their own job only.

use {
    super::support::{FakeCell, WALL_MS, job, step},
    damaskrack_cell::{
        CellInput, JobRecord, JobState, LostAttempt, MAX_JOB_TASKS, PhaseProgress, ProgressRecord,
        StepSpec, TaskProgress,
    },
    quickcheck::quickcheck,
};

/// Amounts at which sums and products of 64-bit numbers overflow.
const LARGE: [u64; 3] = [u64::MAX, u64::MAX / 2 + 1, u64::MAX / 3];

fn large_step(amount: u64) -> StepSpec {
    StepSpec {
        cpu_millis: amount,
        memory_mb: amount,
        accelerators: amount,
        estimate_ms: amount,
        latency_objective_ms: amount,
        ..step(3)
    }
}

/// A caller's job may name any amounts.
#[test]
fn amounts_near_the_largest_number_concern_their_own_job_only() {
    let mut cell = FakeCell::new(2);
    for (index, amount) in LARGE.into_iter().enumerate() {
        let after = StepSpec { after: vec![0], ..large_step(amount) };
        let steps = vec![large_step(amount), after];
        cell.submit(job(&format!("large{index}"), steps.clone()));
        let record = job(&format!("submitted{index}"), steps);
        cell.apply(CellInput::Submitted { record, reply: index as u64 });
    }
    cell.submit(job("small", vec![step(4)]));
    cell.run(2_000);
    assert_eq!(cell.state("small"), Some(JobState::Completed));
    cell.start_leader();
    cell.submit(job("later", vec![step(4)]));
    cell.run(2_000);
    assert_eq!(cell.state("later"), Some(JobState::Completed));
}

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

/// A leader has a table entry for each task, and its successor reads the same row.
#[test]
fn a_job_with_too_many_tasks_is_not_taken() {
    let mut cell = FakeCell::new(2);
    let half = u32::try_from(MAX_JOB_TASKS / 2).expect("a small number");
    cell.submit(job("largest", vec![step(half), step(half)]));
    let records = [
        job("many", vec![step(half), step(half + 1)]),
        job("most", vec![step(u32::MAX)]),
        JobRecord { occurrences: 1, ..job("timed", vec![step(u32::MAX), step(u32::MAX)]) },
    ];
    for (record, reply) in records.into_iter().zip(1..) {
        cell.jobs.insert(record.id.clone(), record.clone());
        cell.apply(CellInput::Accepted(record.clone()));
        cell.apply(CellInput::Submitted { record: record.clone(), reply });
        cell.apply(CellInput::Offered { record, reply: 10 * reply });
    }
    for _ in 0..2 {
        cell.run(100);
        assert!(cell.state("largest").is_some());
        assert!(["many", "most", "timed"].iter().all(|id| cell.state(id).is_none()));
        cell.start_leader();
    }
    let mut refused: Vec<u64> = cell.refusals.iter().map(|(reply, _)| *reply).collect();
    refused.sort_unstable();
    assert_eq!(refused, [1, 2, 3, 10, 20, 30]);
}

/// The occurrences of a job may all be due at once.
#[test]
fn billions_of_due_occurrences_are_created_as_earlier_ones_end() {
    let mut cell = FakeCell::new(2);
    let record = JobRecord { occurrences: u32::MAX, ..job("timed", vec![step(2), step(3)]) };
    cell.submit(record);
    cell.submit(job("small", vec![step(4)]));
    cell.run(1_500);
    assert_eq!(cell.state("small"), Some(JobState::Completed));
    assert_eq!(cell.state("timed"), Some(JobState::Running));
    let before = cell.starts.len();
    cell.start_leader();
    cell.run(1_500);
    assert!(cell.starts.len() > before, "the job goes on");
}

/// The next occurrence is created when the tasks of earlier ones have ended.
#[test]
fn a_job_with_many_due_occurrences_completes() {
    let mut cell = FakeCell::new(2);
    cell.run_ms = 10;
    // Tasks that take no capacity all run at once.
    let idle = StepSpec { tasks: 500, ..StepSpec::default() };
    cell.submit(JobRecord { occurrences: 10, ..job("idle", vec![idle]) });
    cell.run(2_000);
    assert_eq!(cell.state("idle"), Some(JobState::Completed));
    assert_eq!(cell.starts.len(), 5_000);
}

/// Numbers at the ends of their range and near those of a small job.
const ODD: [u32; 8] = [0, 1, 2, 3, 8, 9, u32::MAX - 1, u32::MAX];

fn odd(choice: u8) -> u32 {
    ODD[usize::from(choice) % ODD.len()]
}

/// Builds the progress of a task from arbitrary choices.
fn odd_task((index, attempt, crashes, others): (u8, u8, u8, u8)) -> TaskProgress {
    let worker = ["w0", "w1", "gone", ""][usize::from(others) % 4].to_owned();
    let lost =
        LostAttempt { worker: worker.clone(), address: "w1".to_owned(), ..LostAttempt::default() };
    TaskProgress {
        index: odd(index),
        attempt: odd(attempt),
        failures: odd(attempt / 8),
        crashes: odd(crashes),
        possible_crashes: odd(crashes / 8),
        probation_ms: u64::from(odd(crashes / 16)) << 32,
        incarnation: u64::from(odd(others / 4)) << 32,
        worker_address: worker.clone(),
        lost: (others % 3 == 0).then_some(lost),
        worker,
        ..TaskProgress::default()
    }
}

fn odd_phase((occurrence, step, done, tasks): OddPhase) -> PhaseProgress {
    PhaseProgress {
        occurrence: odd(occurrence),
        step: odd(step),
        done,
        tasks: tasks.into_iter().map(odd_task).collect(),
    }
}

type OddPhase = (u8, u8, Vec<u8>, Vec<(u8, u8, u8, u8)>);

/// Restores a job with a row, lets a leader run it, cancels it and waits until its rows are removed.
fn survive(record: JobRecord, row: ProgressRecord) {
    let mut cell = FakeCell::new(2);
    cell.run_ms = 100;
    cell.add_worker("gone", 1, "r0");
    let gone = cell.workers.get_mut("gone").expect("a worker");
    (gone.is_silent, gone.is_unlisted) = (true, true);
    let id = record.id.clone();
    cell.records.insert(id.clone(), record.clone());
    cell.jobs.insert(id.clone(), record);
    cell.progress.insert(id.clone(), row);
    cell.start_leader();
    cell.submit(job("good", vec![step(4)]));
    cell.run(12_000);
    assert_eq!(cell.state("good"), Some(JobState::Completed));
    cell.apply(CellInput::Cancel { id, caller: None, reply: 1 });
    cell.run(1_000);
    cell.now_ms += 200_000;
    cell.run(100);
}

/// The row may name an attempt twice, or one of a task that the job does not have.
#[test]
fn a_damaged_progress_row_concerns_its_own_job_only() {
    let placed = |index| TaskProgress {
        index,
        attempt: 1,
        worker: "w0".to_owned(),
        incarnation: 1,
        ..TaskProgress::default()
    };
    let tasks = vec![placed(0), placed(0), placed(1), placed(u32::MAX)];
    let phase = PhaseProgress { tasks, ..PhaseProgress::default() };
    let last = PhaseProgress { occurrence: u32::MAX, step: u32::MAX, ..phase.clone() };
    let other = PhaseProgress { step: 2, ..phase.clone() };
    let phases = vec![phase.clone(), phase, other, last];
    let row = ProgressRecord { phases, ..ProgressRecord::default() };
    survive(job("odd", vec![step(2), step(2)]), row.clone());
    survive(JobRecord { occurrences: u32::MAX, ..job("odd", vec![step(2), step(2)]) }, row);
}

quickcheck! {
    fn any_progress_row_concerns_its_own_job_only(phases: Vec<OddPhase>, state: u8, occurrences: u8) -> bool {
        let phases = phases.into_iter().take(4).map(odd_phase).collect();
        let row = ProgressRecord { phases, state: i32::from(state % 7), ..ProgressRecord::default() };
        let steps = vec![step(9), StepSpec { is_gang: true, after: vec![0], ..step(2) }];
        survive(JobRecord { occurrences: odd(occurrences), ..job("odd", steps) }, row);
        true
    }
}
