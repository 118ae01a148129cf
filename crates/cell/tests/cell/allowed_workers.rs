//! Workers on which a task may not start, or should not.

use {
    crate::support::{FakeCell, job, step},
    damaskrack_cell::{CellInput, JobState, StepSpec},
};

#[test]
fn a_leaving_worker_gets_nothing_new() {
    let mut cell = FakeCell::new(2);
    cell.workers.get_mut("w0").unwrap().report.is_leaving = true;
    cell.list_workers();
    cell.submit(job("1", vec![step(6)]));
    cell.run(3_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert!(cell.starts.iter().all(|(_, _, worker)| worker == "w1"));
}

#[test]
fn a_closed_zone_gets_nothing_new_until_it_is_open_again() {
    let mut cell = FakeCell::new(1);
    cell.config.closed_zones.insert("zone".to_owned());
    cell.apply(CellInput::Config(cell.config.clone().into()));
    cell.submit(job("1", vec![step(1)]));
    cell.run(1_000);
    assert!(cell.starts.is_empty());
    cell.config.closed_zones.clear();
    cell.apply(CellInput::Config(cell.config.clone().into()));
    cell.run(2_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

#[test]
fn an_attempt_is_not_sent_to_a_zone_that_closed_while_its_row_was_written() {
    let mut cell = FakeCell::new(1);
    cell.run(100);
    cell.is_store_down = true;
    cell.submit(job("1", vec![step(1)]));
    cell.run(100);
    cell.config.closed_zones.insert("zone".to_owned());
    cell.apply(CellInput::Config(cell.config.clone().into()));
    cell.restore_store();
    cell.run(1_000);
    assert!(cell.starts.is_empty());
}

#[test]
fn a_step_runs_only_where_its_label_is() {
    let mut cell = FakeCell::new(4);
    let labelled = StepSpec { required_label: "r1".to_owned(), ..step(4) };
    cell.submit(job("1", vec![labelled]));
    cell.run(2_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert!(cell.starts.iter().all(|(_, _, worker)| worker == "w1" || worker == "w3"));
}

#[test]
fn no_more_tasks_of_a_step_run_on_a_worker_than_it_allows() {
    let mut cell = FakeCell::new(2);
    cell.submit(job("1", vec![StepSpec { max_per_worker: 1, ..step(4) }]));
    cell.run(300);
    assert_eq!(cell.starts.len(), 2);
    cell.run(3_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

#[test]
fn a_task_runs_in_the_rack_of_its_data_if_there_is_room() {
    let mut cell = FakeCell::new(4);
    cell.submit(job("1", vec![StepSpec { data_rack: "r0".to_owned(), ..step(6) }]));
    cell.run(2_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert!(cell.starts.iter().all(|(_, _, worker)| worker == "w0" || worker == "w2"));
}

#[test]
fn a_coupled_gang_stays_in_one_rack_if_one_has_room() {
    let mut cell = FakeCell::new(4);
    let coupled = StepSpec { is_gang: true, is_rack_coupled: true, ..step(7) };
    cell.submit(job("1", vec![coupled]));
    cell.run(2_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    let rack = |worker: &str| if worker == "w0" || worker == "w2" { "r0" } else { "r1" };
    let first = rack(&cell.starts[0].2);
    assert!(cell.starts.iter().all(|(_, _, worker)| rack(worker) == first));
}
