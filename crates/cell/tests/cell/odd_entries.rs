//! Entries of another writer in the list of workers, under the id or at the address of a worker in use.

use {
    super::support::{FakeCell, FakeRun, job, step},
    damaskrack_cell::{CellInput, JobState, ResourceSet, WorkerReport},
};

/// Run time that exceeds all leases, in milliseconds.
const LONG_RUN_MS: u64 = 20_000;

/// Creates a cell of three workers, each of which runs four tasks of the job `long`, with capacity left on a
/// fourth.
fn busy_cell() -> FakeCell {
    let mut cell = FakeCell::new(4);
    cell.run_ms = LONG_RUN_MS;
    cell.submit(job("long", vec![step(12)]));
    cell.run(500);
    assert_eq!(cell.starts.len(), 12);
    cell
}

/// Returns the id of a worker that runs tasks, and that of one that does not.
fn busy_and_idle(cell: &FakeCell) -> (String, String) {
    let find = |is_idle: bool| {
        let mut found = cell.workers.iter().filter(|(_, worker)| worker.runs.is_empty() == is_idle);
        found.next().map(|(id, _)| id.clone()).expect("a worker")
    };
    (find(false), find(true))
}

/// Sends the list of workers with an odd entry in place of the one with the same id, or besides all.
fn list_with(cell: &mut FakeCell, odd: WorkerReport) {
    let good = cell.workers.values().map(|worker| worker.report.clone());
    let mut reports: Vec<WorkerReport> = good.filter(|report| report.id != odd.id).collect();
    reports.push(odd);
    reports.sort_by(|a, b| a.id.cmp(&b.id));
    cell.apply(CellInput::Workers(reports));
}

/// The worker at the address of the entry says that it is another one; that says nothing of the worker whose
/// id the entry has, which runs on.
#[test]
fn an_entry_with_the_address_of_another_worker_under_a_live_id_starts_no_task_twice() {
    let mut cell = busy_cell();
    let (busy, idle) = busy_and_idle(&cell);
    for incarnation in [1, 2, u64::MAX] {
        let report = cell.workers[&busy].report.clone();
        list_with(&mut cell, WorkerReport { address: idle.clone(), incarnation, ..report });
        cell.run(3_000);
    }
    cell.list_workers();
    cell.run(3 * LONG_RUN_MS);
    assert_eq!(cell.state("long"), Some(JobState::Completed));
}

/// The list shows a restart before the worker's next response does.
#[test]
fn a_worker_that_restarted_while_busy_gets_work_again() {
    let mut cell = FakeCell::new(1);
    cell.submit(job("first", vec![step(2)]));
    cell.run(100);
    cell.reincarnate("w0");
    cell.list_workers();
    cell.run(1_000);
    cell.submit(job("second", vec![step(2)]));
    cell.run(10_000);
    assert_eq!(cell.state("first"), Some(JobState::Completed));
    assert_eq!(cell.state("second"), Some(JobState::Completed));
}

/// The same with a leader that finds the entry.
#[test]
fn a_successor_that_finds_such_an_entry_starts_no_task_twice() {
    let mut cell = busy_cell();
    let (busy, idle) = busy_and_idle(&cell);
    let good = cell.workers[&busy].report.clone();
    let odd = WorkerReport { address: idle, ..good.clone() };
    // A new leader gets its first list from the fake workers.
    cell.workers.get_mut(&busy).expect("a worker").report = odd;
    cell.start_leader();
    cell.run(3_000);
    cell.workers.get_mut(&busy).expect("a worker").report = good;
    cell.list_workers();
    cell.run(3 * LONG_RUN_MS);
    assert_eq!(cell.state("long"), Some(JobState::Completed));
}

/// A renewal is refused at the address of an odd entry, which is corrected before the refusal arrives.
#[test]
fn a_refusal_at_an_address_that_was_corrected_says_nothing() {
    let mut cell = busy_cell();
    let (busy, idle) = busy_and_idle(&cell);
    lose_one_response(&mut cell, &busy);
    let report = cell.workers[&busy].report.clone();
    cell.delays_renewals_of = Some(idle.clone());
    list_with(&mut cell, WorkerReport { address: idle, ..report });
    await_delayed_renewal(&mut cell);
    cell.list_workers();
    cell.deliver_delayed_renewals();
    cell.run(3 * LONG_RUN_MS);
    assert_eq!(cell.state("long"), Some(JobState::Completed));
    assert_eq!(cell.starts.len(), 12);
}

/// The worker responds at its own address after an odd entry has named another one.
#[test]
fn a_response_from_the_former_address_does_not_vouch_for_another_one() {
    let mut cell = busy_cell();
    let (busy, idle) = busy_and_idle(&cell);
    lose_one_response(&mut cell, &busy);
    cell.delays_renewals_of = Some(busy.clone());
    await_delayed_renewal(&mut cell);
    let report = cell.workers[&busy].report.clone();
    list_with(&mut cell, WorkerReport { address: idle, ..report });
    cell.deliver_delayed_renewals();
    cell.run(1_000);
    cell.list_workers();
    cell.run(3 * LONG_RUN_MS);
    assert_eq!(cell.state("long"), Some(JobState::Completed));
    assert_eq!(cell.starts.len(), 12);
}

fn lose_one_response(cell: &mut FakeCell, id: &str) {
    cell.workers.get_mut(id).expect("a worker").is_silent = true;
    cell.run(1_500);
    cell.workers.get_mut(id).expect("a worker").is_silent = false;
}

fn await_delayed_renewal(cell: &mut FakeCell) {
    for _ in 0..100 {
        cell.run(10);
        if !cell.delayed_renewals.is_empty() {
            return;
        }
    }
    panic!("no renewal is delayed");
}

/// The entry names an incarnation that does not exist. Once it is corrected, the worker is of use again.
#[test]
fn a_worker_is_of_use_again_after_an_entry_with_a_later_incarnation_is_corrected() {
    let mut cell = FakeCell::new(1);
    cell.submit(job("first", vec![step(4)]));
    cell.run(2_000);
    assert_eq!(cell.state("first"), Some(JobState::Completed));
    let report = cell.workers["w0"].report.clone();
    list_with(&mut cell, WorkerReport { incarnation: u64::MAX, ..report });
    cell.run(2_000);
    cell.list_workers();
    cell.submit(job("second", vec![step(4)]));
    cell.run(20_000);
    assert_eq!(cell.state("second"), Some(JobState::Completed));
}

/// Its requests reach the worker in use, which refuses them.
#[test]
fn an_entry_under_an_id_of_its_own_at_the_address_of_a_worker_in_use_changes_nothing() {
    let mut cell = busy_cell();
    let (busy, _) = busy_and_idle(&cell);
    for incarnation in [0, 1, u64::MAX] {
        let report = cell.workers[&busy].report.clone();
        let id = format!("odd{incarnation}");
        list_with(&mut cell, WorkerReport { id, incarnation, ..report });
        cell.run(2_000);
    }
    cell.list_workers();
    cell.run(LONG_RUN_MS);
    assert_eq!(cell.state("long"), Some(JobState::Completed));
    assert_eq!(cell.starts.len(), 12);
}

/// An entry that cannot be read, or is of a former incarnation, leaves what runs on the worker alone.
#[test]
fn an_entry_that_says_less_than_the_former_one_ends_nothing() {
    let mut cell = busy_cell();
    let (busy, idle) = busy_and_idle(&cell);
    let report = cell.workers[&busy].report.clone();
    list_with(&mut cell, WorkerReport { incarnation: 0, address: idle, ..report });
    cell.run(3_000);
    cell.workers.get_mut(&busy).expect("a worker").is_unlisted = true;
    cell.list_workers();
    cell.run(3_000);
    cell.workers.get_mut(&busy).expect("a worker").is_unlisted = false;
    cell.list_workers();
    cell.run(LONG_RUN_MS);
    assert_eq!(cell.state("long"), Some(JobState::Completed));
    assert_eq!(cell.starts.len(), 12);
}

/// A worker reports runs under names that no task has.
#[test]
fn a_run_with_an_odd_name_is_taken_for_no_task() {
    let mut cell = FakeCell::new(2);
    cell.submit(job("two", vec![step(1), step(1)]));
    cell.submit(job("one", vec![step(1)]));
    let worker = cell.workers.get_mut("w0").expect("a worker");
    let names = [
        "",
        ".",
        "one",
        "one.0",
        "one.0.0",
        "one.0.0.1",
        "one.0.1.0",
        "two.1.0.0",
        "two.0.2.0",
        "x.0.0.0",
        "one.18446744073709551615.1.0",
        "two.18446744073709551615.2.0",
        "two.9223372036854775808.0.0",
        "one.0.18446744073709551615.0",
        "one.0.0.18446744073709551615",
        "one.-1.0.0",
        "one.0.0.0.0.0",
    ];
    for task in names {
        let (task, resources) = (task.to_owned(), ResourceSet::default());
        let run =
            FakeRun { task, attempt: u32::MAX, ends_ms: u64::MAX, is_stopped: false, resources };
        worker.runs.push(run);
    }
    cell.run(5_000);
    assert_eq!(cell.state("one"), Some(JobState::Completed));
    assert_eq!(cell.state("two"), Some(JobState::Completed));
    assert_eq!(cell.starts.len(), 3);
}
