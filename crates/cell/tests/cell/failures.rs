//! Jobs without failures, and a test for each failure that occurred.

use {
    crate::support::{FakeCell, OTHER_LEASES_MS, WALL_MS, job, step},
    damaskrack_cell::{
        AdviceTiming, CellInput, EndKind, EndedAttempt, JobRecord, JobState, RenewOutcome,
        RenewResponse, ResourceSet, StartOutcome, StartRefusal, StepSpec, TeamConfig,
    },
    quickcheck::quickcheck,
    std::collections::BTreeSet,
};

#[test]
fn a_job_runs_its_steps_in_order_and_completes() {
    let mut cell = FakeCell::new(2);
    let second = StepSpec { after: vec![0], ..step(1) };
    cell.submit(job("1", vec![step(3), second]));
    cell.run(300);
    assert_eq!(cell.state("1"), Some(JobState::Running));
    assert!(cell.starts.iter().all(|(task, ..)| task.starts_with("1.0.0.")));
    cell.run(2_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert_eq!(cell.done.len(), 4);
}

/// The fake cell checks that no start request is sent before the job and its progress are in the
/// store.
#[test]
fn a_job_is_accepted_once_it_is_durable() {
    let mut cell = FakeCell::new(1);
    cell.is_store_down = true;
    cell.apply(CellInput::Submitted { record: job("1", vec![step(1)]), reply: 7 });
    cell.run(200);
    assert!(cell.replies.is_empty() && cell.starts.is_empty());
    cell.restore_store();
    cell.run(100);
    assert_eq!(cell.replies.first().map(|(reply, _)| *reply), Some(7));
    assert!(cell.jobs.contains_key("1"));
    cell.apply(CellInput::Submitted { record: job("1", vec![step(1)]), reply: 8 });
    cell.run(2_000);
    assert_eq!(cell.replies.len(), 2);
    assert_eq!(cell.starts.len(), 1);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

#[test]
fn a_task_that_fails_too_often_fails_its_job() {
    let mut cell = FakeCell::new(1);
    cell.workers.get_mut("w0").unwrap().fails = true;
    cell.submit(job("1", vec![step(1)]));
    cell.run(8_000);
    assert_eq!(cell.state("1"), Some(JobState::Failed));
    assert_eq!(cell.starts.len(), 2);
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut cell = FakeCell::new(2);
    cell.submit(job("1", vec![step(5)]));
    cell.run(200);
    cell.submit(job("2", vec![StepSpec { is_gang: true, ..step(4) }]));
    cell.run(200);
    assert!(cell.starts.iter().all(|(task, ..)| !task.starts_with("2.")));
    cell.run(2_000);
    assert_eq!(cell.state("2"), Some(JobState::Completed));
}

#[test]
fn a_team_stays_within_its_limit() {
    let mut cell = FakeCell::new(2);
    let limit = ResourceSet { cpu_millis: 3_000, ..ResourceSet::default() };
    cell.config.teams.insert("team".to_owned(), TeamConfig { limit, ..TeamConfig::default() });
    cell.start_leader();
    cell.submit(job("1", vec![step(6)]));
    cell.run(300);
    assert_eq!(cell.starts.len(), 3);
    cell.run(2_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

#[test]
fn a_timed_job_starts_each_occurrence_when_it_is_due() {
    let mut cell = FakeCell::new(1);
    let mut timed = job("1", vec![step(1)]);
    timed.occurrences = 2;
    timed.first_due_ms = cell.wall_ms() + 1_000;
    timed.interval_ms = 1_000;
    cell.submit(timed);
    cell.run(950);
    assert!(cell.starts.is_empty());
    cell.run(600);
    assert_eq!(cell.starts.len(), 1);
    cell.run(2_500);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

#[test]
fn a_cancelled_job_stops_and_starts_nothing_more() {
    let mut cell = FakeCell::new(1);
    cell.submit(job("1", vec![step(6)]));
    cell.run(200);
    cell.apply(CellInput::Cancel { id: "1".to_owned(), caller: None, reply: 1 });
    cell.run(300);
    assert_eq!(cell.state("1"), Some(JobState::Cancelled));
    let started = cell.starts.len();
    cell.run(2_000);
    assert_eq!(cell.starts.len(), started);
    assert!(cell.workers["w0"].runs.is_empty());
}

#[test]
fn an_end_is_acknowledged_only_once_it_is_durable() {
    let mut cell = FakeCell::new(1);
    cell.submit(job("1", vec![step(1)]));
    cell.run(300);
    cell.is_store_down = true;
    cell.run(3_000);
    assert_eq!(cell.workers["w0"].ended.len(), 1);
    assert_ne!(cell.state("1"), Some(JobState::Completed));
    cell.restore_store();
    cell.run(500);
    assert!(cell.workers["w0"].ended.is_empty());
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// Workers carry out some requests late. A gang whose member has no response is not stopped for it.
#[test]
fn a_start_without_a_response_is_repeated_at_its_worker() {
    let mut cell = FakeCell::new(2);
    cell.run(100);
    cell.workers.values_mut().for_each(|worker| worker.defers_next_starts = 1);
    cell.submit(job("1", vec![StepSpec { is_gang: true, ..step(4) }]));
    cell.run(200);
    assert_eq!(cell.starts.len(), 4);
    assert!(cell.starts.iter().all(|(_, attempt, _)| *attempt == 1));
    for worker in ["w0", "w1"] {
        assert!(cell.run_deferred_starts(worker).iter().all(|o| *o == StartOutcome::Started));
    }
    assert_eq!(cell.starts.len(), 4, "a request that is carried out late starts no second run");
    cell.run(1_500);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// The first request may still be carried out, so the refusal of the second one proves nothing.
#[test]
fn a_repeated_start_that_is_refused_is_stopped_before_its_task_starts_elsewhere() {
    let mut cell = FakeCell::new(2);
    cell.run(100);
    for worker in cell.workers.values_mut() {
        worker.defers_next_starts = 1;
        worker.refuses_starts = true;
    }
    cell.submit(job("1", vec![step(1)]));
    cell.run(50);
    cell.workers.values_mut().for_each(|worker| worker.refuses_starts = false);
    cell.run(4_000);
    for id in ["w0", "w1"] {
        for outcome in cell.run_deferred_starts(id) {
            assert_eq!(outcome, StartOutcome::Refused(StartRefusal::Stale));
        }
    }
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

#[test]
fn a_start_carried_out_late_is_fenced_by_its_stop() {
    let mut cell = FakeCell::new(2);
    cell.workers.get_mut("w0").unwrap().defers_starts = true;
    cell.submit(job("1", vec![step(1)]));
    cell.run(300);
    let outcomes = cell.run_deferred_starts("w0");
    for outcome in outcomes {
        assert_eq!(outcome, StartOutcome::Refused(StartRefusal::Stale));
    }
    cell.run(4_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

#[test]
fn a_new_leader_keeps_what_runs() {
    let mut cell = FakeCell::new(2);
    cell.run_ms = 3_000;
    cell.submit(job("1", vec![step(6)]));
    cell.run(300);
    cell.start_leader();
    cell.run(8_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert_eq!(cell.starts.len(), 6);
}

/// Guards against expiring a worker's leases because its first response to a new leader carried no
/// deadline of that leader.
#[test]
fn a_new_leader_does_not_take_a_worker_for_lapsed_while_an_end_is_not_durable() {
    let mut cell = FakeCell::new(1);
    cell.submit(job("1", vec![step(1)]));
    cell.run(100);
    cell.run_ms = 3_000;
    cell.submit(job("2", vec![step(2)]));
    cell.run(100);
    cell.is_store_down = true;
    cell.run(500);
    cell.start_leader();
    cell.run(800);
    cell.restore_store();
    cell.run(4_000);
    assert_eq!(cell.state("2"), Some(JobState::Completed));
    assert_eq!(cell.starts.len(), 3);
}

/// Guards against unanswered renewals that extend the assumed leases of a lost worker, which delays
/// its tasks' restart elsewhere.
#[test]
fn tasks_of_a_worker_that_is_gone_start_elsewhere_once_its_leases_are_over() {
    let mut cell = FakeCell::new(2);
    // Until then requests to a former incarnation may have extended the leases.
    cell.run(OTHER_LEASES_MS);
    cell.run_ms = 20_000;
    cell.submit(job("1", vec![step(5)]));
    cell.run(300);
    let lost = cell.starts[0].2.clone();
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    cell.run_ms = 500;
    cell.run(5_000);
    assert_eq!(cell.starts.len(), 5, "the leases have not expired yet");
    cell.run(4_000);
    assert!(cell.starts.len() > 5);
}

/// Guards against tasks that are placed again and again on a worker that does not respond although it
/// is registered: it is empty, and whatever is placed there is taken for lost at once.
#[test]
fn a_worker_that_does_not_respond_gets_nothing_new_until_it_responds() {
    let mut cell = FakeCell::new(2);
    cell.run_ms = 600_000;
    cell.submit(job("1", vec![StepSpec { is_service: true, ..step(1) }]));
    cell.run(1_000);
    let lost = cell.starts[0].2.clone();
    cell.workers.get_mut(&lost).unwrap().is_silent = true;
    cell.run(10_000);
    assert_eq!(cell.starts.len(), 2);
    cell.take_logs();
    cell.submit(job("2", vec![step(6)]));
    cell.run(5_000);
    let placed = cell.take_logs().iter().filter(|entry| entry.event == "phase_placed").count();
    assert_eq!(placed, 1, "three tasks fit the other worker");
    cell.workers.get_mut(&lost).unwrap().is_silent = false;
    cell.run(3_000);
    assert!(cell.starts[2..].iter().any(|(_, _, worker)| *worker == lost), "it is used again");
}

/// Guards against a backoff that doubles with each of the attempts that are lost together.
#[test]
fn tasks_that_are_lost_together_start_again_without_a_long_backoff() {
    let mut cell = FakeCell::new(8);
    cell.run_ms = 600_000;
    cell.submit(job("1", vec![StepSpec { is_service: true, ..step(16) }]));
    cell.run(1_000);
    let lost: BTreeSet<String> = cell.starts.iter().map(|(_, _, worker)| worker.clone()).collect();
    for id in &lost {
        cell.workers.get_mut(id).unwrap().is_silent = true;
    }
    cell.take_logs();
    while !cell.take_logs().iter().any(|entry| entry.event == "worker_empty") {
        cell.run(10);
    }
    let released_ms = cell.now_ms;
    while cell.starts.len() < 32 && cell.now_ms < released_ms + 20_000 {
        cell.run(10);
    }
    let waited_ms = cell.now_ms - released_ms;
    assert!(waited_ms <= 500, "started again after {waited_ms} ms");
}

/// Guards against overcommitting a worker: runs of a job that had ended at the takeover were not
/// counted while they were being stopped.
#[test]
fn what_is_being_stopped_counts_after_a_takeover() {
    let mut cell = FakeCell::new(1);
    cell.run_ms = 2_000;
    cell.submit(job("1", vec![step(4)]));
    cell.run(300);
    cell.workers.get_mut("w0").unwrap().stop_ms = 900;
    cell.apply(CellInput::Cancel { id: "1".to_owned(), caller: None, reply: 1 });
    cell.run(100);
    cell.start_leader();
    cell.submit(job("2", vec![step(4)]));
    cell.run(4_000);
    assert_eq!(cell.state("2"), Some(JobState::Completed));
}

/// Guards against applying the end numbers of a former incarnation to the new one, whose own ends
/// were then ignored.
#[test]
fn an_answer_of_a_former_incarnation_changes_nothing() {
    let mut cell = FakeCell::new(1);
    cell.delays_renewals_of = Some("w0".to_owned());
    cell.run(100);
    let Some(CellInput::RenewFinished { worker, .. }) = cell.delayed_renewals.pop() else {
        panic!("no renewal")
    };
    cell.delays_renewals_of = None;
    cell.add_worker("w0", 2, "r0");
    cell.list_workers();
    let ended = |number| EndedAttempt {
        number,
        task: "9.0.0.0".to_owned(),
        attempt: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    };
    let report = RenewResponse {
        incarnation: 1,
        ended: (1..=9).map(ended).collect(),
        ..RenewResponse::default()
    };
    cell.apply(CellInput::RenewFinished { worker, outcome: RenewOutcome::Answered(report) });
    cell.submit(job("1", vec![step(4)]));
    cell.run(2_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert_eq!(cell.starts.len(), 4);
}

#[test]
fn a_start_carries_a_ticket_where_the_queue_has_an_adviser() {
    let mut cell = FakeCell::new(4);
    cell.add_adviser(AdviceTiming { call_us: 9_000, worker_us: 100, valid_ms: 1_500 });
    cell.allowed.insert("w3".to_owned());
    cell.start_leader();
    cell.submit(job("1", vec![step(2)]));
    cell.run(2_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert!(cell.starts.iter().all(|(_, _, worker)| worker == "w3"));
    assert!(!cell.advice_requests.is_empty());
}

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

#[test]
fn a_service_task_starts_again_however_it_ends() {
    let mut cell = FakeCell::new(1);
    cell.submit(job("1", vec![StepSpec { is_service: true, ..step(1) }]));
    cell.run(3_000);
    assert!(cell.starts.len() >= 3);
    assert_eq!(cell.state("1"), Some(JobState::Running));
}

/// Guards against acknowledging the end of an attempt that is not in the tables and running its
/// task again.
#[test]
fn a_done_end_of_an_unknown_attempt_counts() {
    let mut cell = FakeCell::new(1);
    cell.workers.get_mut("w0").unwrap().report.is_leaving = true;
    cell.list_workers();
    cell.submit(job("1", vec![step(1)]));
    cell.run(100);
    let worker = cell.workers.get_mut("w0").unwrap();
    worker.last_end = 1;
    worker.ended.push(EndedAttempt {
        number: 1,
        task: "1.0.0.0".to_owned(),
        attempt: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    });
    cell.start_leader();
    cell.run(1_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert!(cell.starts.is_empty());
}

/// Guards against losing an end: a worker that was unlisted and listed again reported an end whose
/// job had ended in the tables but not in the store. It was acknowledged, and the next leader ran
/// the task again.
#[test]
fn an_end_listed_again_is_acknowledged_only_once_it_is_durable() {
    let mut cell = FakeCell::new(1);
    cell.submit(job("1", vec![step(1)]));
    cell.run(200);
    cell.is_store_down = true;
    cell.run(600);
    cell.apply(CellInput::Workers(Vec::new()));
    cell.run(100);
    cell.list_workers();
    cell.run(2_500);
    assert_eq!(cell.workers["w0"].ended.len(), 1, "the end is not durable");
    cell.start_leader();
    cell.restore_store();
    cell.run(1_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    assert_eq!(cell.starts.len(), 1);
}

/// After a worker crashed, another one started on its address and received the requests for the
/// first.
#[test]
fn a_worker_whose_address_another_one_has_is_over() {
    let mut cell = FakeCell::new(2);
    cell.run_ms = 3_000;
    cell.submit(job("1", vec![step(1)]));
    cell.run(200);
    let lost = cell.starts[0].2.clone();
    let worker = cell.workers.get_mut(&lost).unwrap();
    worker.runs.clear();
    worker.is_replaced = true;
    cell.run(1_500);
    assert_eq!(cell.starts.len(), 2, "its task is started elsewhere at once");
    assert_ne!(cell.starts[1].2, lost);
}

/// A new incarnation may be of another kind, and rejects tickets of the former one.
#[test]
fn a_worker_that_restarts_is_asked_about_anew() {
    let mut cell = FakeCell::new(1);
    cell.add_adviser(AdviceTiming { call_us: 9_000, worker_us: 100, valid_ms: 60_000 });
    cell.allowed.insert("none".to_owned());
    cell.start_leader();
    cell.submit(job("1", vec![step(1)]));
    cell.run(500);
    assert_eq!(cell.advice_requests.len(), 1, "a denied worker is not requested again");
    cell.allowed.clear();
    cell.workers.get_mut("w0").unwrap().report.incarnation += 1;
    cell.list_workers();
    cell.run(2_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// Keeps large blocks of free capacity for the steps that need them.
#[test]
fn gangs_ask_for_the_roomiest_workers_and_others_for_the_fullest() {
    let mut cell = FakeCell::new(3);
    cell.run_ms = 60_000;
    cell.submit(job("1", vec![step(1)]));
    cell.run(500);
    let used = cell.starts[0].2.clone();
    cell.add_adviser(AdviceTiming { call_us: 9_000, worker_us: 100, valid_ms: 1_500 });
    cell.start_leader();
    cell.run(500);
    cell.submit(job("2", vec![step(1)]));
    cell.run(100);
    assert_eq!(cell.advice_requests[0].workers[0], used);
    let gang = StepSpec { is_gang: true, ..step(1) };
    cell.submit(job("3", vec![gang]));
    cell.run(100);
    assert_ne!(cell.advice_requests.last().unwrap().workers[0], used);
}

/// Steps that request tickets for the same few workers could not all be placed on them.
#[test]
fn steps_that_ask_together_name_different_workers() {
    let mut cell = FakeCell::new(40);
    cell.add_adviser(AdviceTiming { call_us: 9_000, worker_us: 100, valid_ms: 1_500 });
    cell.start_leader();
    cell.apply(CellInput::Daemons(vec![1, 2, 3, 4]));
    for id in ["1", "2", "3", "4"] {
        cell.submit(job(id, vec![step(2)]));
    }
    cell.run(40);
    let first: BTreeSet<&String> =
        cell.advice_requests.iter().map(|request| &request.workers[0]).collect();
    assert_eq!(first.len(), 4, "{:?}", cell.advice_requests);
}

#[test]
fn no_order_is_sent_with_a_ticket_that_ran_out_while_its_row_was_written() {
    let mut cell = FakeCell::new(2);
    cell.add_adviser(AdviceTiming { call_us: 9_000, worker_us: 100, valid_ms: 1_500 });
    cell.start_leader();
    cell.submit(job("1", vec![step(2)]));
    cell.is_store_down = true;
    cell.run(3_000);
    assert_eq!(cell.held_commits.len(), 1);
    cell.restore_store();
    assert!(cell.starts.is_empty());
    cell.run(1_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

#[test]
fn a_ticket_for_a_worker_that_is_gone_is_of_no_use() {
    let mut cell = FakeCell::new(2);
    cell.add_adviser(AdviceTiming { call_us: 9_000, worker_us: 100, valid_ms: 60_000 });
    cell.start_leader();
    cell.submit(job("1", vec![step(12)]));
    cell.run(100);
    cell.workers.get_mut("w0").unwrap().is_silent = true;
    let left = cell.workers["w1"].report.clone();
    cell.apply(CellInput::Workers(vec![left]));
    cell.run(20_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// A daemon that briefly loses its connection to the leader also loses the adviser's response.
#[test]
fn a_question_whose_answer_is_lost_is_asked_again() {
    let mut cell = FakeCell::new(2);
    cell.add_adviser(AdviceTiming { call_us: 10_000, worker_us: 1_000, valid_ms: 1_500 });
    cell.start_leader();
    cell.run(100);
    cell.lost_advice = 1;
    cell.submit(job("1", vec![step(1)]));
    cell.run(4_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

#[test]
fn a_question_whose_answer_is_lost_may_outlive_its_job() {
    let mut cell = FakeCell::new(2);
    cell.add_adviser(AdviceTiming { call_us: 10_000, worker_us: 1_000, valid_ms: 1_500 });
    cell.start_leader();
    cell.run(100);
    cell.lost_advice = 1;
    cell.submit(job("1", vec![step(1)]));
    cell.run(100);
    cell.apply(CellInput::Cancel { id: "1".to_owned(), caller: None, reply: 1 });
    cell.run(100);
    cell.submit(job("2", vec![step(1)]));
    cell.run(4_000);
    assert_eq!(cell.state("2"), Some(JobState::Completed));
}

/// Without a connected daemon the adviser cannot be called.
#[test]
fn a_step_waits_while_no_daemon_can_ask_for_tickets() {
    let mut cell = FakeCell::new(2);
    cell.add_adviser(AdviceTiming { call_us: 9_000, worker_us: 100, valid_ms: 1_500 });
    cell.start_leader();
    cell.apply(CellInput::Daemons(Vec::new()));
    cell.submit(job("1", vec![step(1)]));
    cell.run(500);
    assert!(cell.starts.is_empty());
    cell.apply(CellInput::Daemons(vec![1]));
    cell.run(2_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
}

/// Limits the number of rows that a new leader has to read.
#[test]
fn only_the_end_of_a_job_is_kept_once_nothing_of_it_can_run() {
    let mut cell = FakeCell::new(1);
    cell.workers.get_mut("w0").unwrap().stop_ms = 400;
    cell.submit(job("1", vec![step(1)]));
    cell.run(200);
    cell.apply(CellInput::Cancel { id: "1".to_owned(), caller: None, reply: 7 });
    cell.run(100);
    assert_eq!(cell.state("1"), Some(JobState::Cancelled));
    assert!(cell.jobs.contains_key("1"), "its task is still being stopped");
    cell.run(2_000);
    assert!(cell.jobs.is_empty() && cell.progress.is_empty());
    assert!(cell.ended["1"].phases.is_empty());
    cell.start_leader();
    assert_eq!(cell.state("1"), Some(JobState::Cancelled));
    cell.submit(job("1", vec![step(1)]));
    cell.run(1_000);
    assert_eq!(cell.starts.len(), 1, "a job submitted again is the same job");
}

/// The job is cancelled while its worker is unreachable, so its attempt may run on. Its end must not
/// be in the row that a new leader reads later than the job's own.
#[test]
fn a_cancelled_job_that_may_still_run_is_known_to_the_next_leader_at_once() {
    let mut cell = FakeCell::new(1);
    cell.submit(job("1", vec![step(2)]));
    cell.run(200);
    cell.workers.get_mut("w0").unwrap().is_silent = true;
    cell.apply(CellInput::Cancel { id: "1".to_owned(), caller: None, reply: 7 });
    cell.run(100);
    assert!(cell.ended.is_empty() && cell.jobs.contains_key("1"));
    cell.start_leader();
    assert_eq!(cell.state("1"), Some(JobState::Cancelled));
}

/// What is being stopped still counts: a new leader started the team's next job beside it, above the limit.
#[test]
fn a_new_leader_counts_attempts_that_are_being_stopped_against_the_limit() {
    for occurrences in [0, 1] {
        let mut cell = FakeCell::new(1);
        cell.run_ms = 60_000;
        cell.reconfigure(|config| {
            config.teams.get_mut("team").unwrap().limit.cpu_millis = 4_000;
        });
        let timed = JobRecord { occurrences, first_due_ms: WALL_MS, ..job("1", vec![step(4)]) };
        cell.submit(timed);
        cell.run(200);
        cell.workers.get_mut("w0").unwrap().stop_ms = 3_000;
        cell.apply(CellInput::Cancel { id: "1".to_owned(), caller: None, reply: 7 });
        cell.run(100);
        cell.workers.get_mut("w0").unwrap().is_silent = true;
        cell.add_worker("w1", 1, "r1");
        cell.start_leader();
        assert_eq!(cell.state("1"), Some(JobState::Cancelled));
        cell.submit(job("2", vec![step(4)]));
        cell.run(1_000);
        assert_eq!(
            cell.starts.len(),
            4,
            "the limit allows none beside those that are being stopped"
        );
        cell.workers.get_mut("w0").unwrap().is_silent = false;
        cell.run(1_000);
        assert_eq!(cell.starts.len(), 4, "they are still being stopped");
        cell.run(4_000);
        assert_eq!(cell.starts.len(), 8, "the limit is free again");
        assert!(!cell.progress.contains_key("1") && !cell.jobs.contains_key("1"));
        assert!(cell.ended["1"].phases.is_empty());
        cell.start_leader();
        assert_eq!(cell.state("1"), Some(JobState::Cancelled));
    }
}

/// The commits of all jobs waited for a row that the store never took.
#[test]
fn a_job_whose_rows_the_store_rejects_ends_and_concerns_no_other() {
    let mut cell = FakeCell::new(2);
    cell.run_ms = 300;
    cell.submit(job("begun", vec![step(2), StepSpec { after: vec![0], ..step(2) }]));
    cell.submit(job("other", vec![step(2), StepSpec { after: vec![0], ..step(2) }]));
    cell.run(150);
    // Its attempts run, and their ends find the row too large.
    let ids = ["begun", "stored", "large", "larger"];
    cell.rejected = ids.iter().map(|id| ((*id).to_owned(), *id != "larger")).collect();
    cell.submit(job("stored", vec![step(1)]));
    for (id, reply) in ["large", "larger"].into_iter().zip(1..) {
        cell.apply(CellInput::Submitted { record: job(id, vec![step(1)]), reply });
    }
    cell.run(3_000);
    assert_eq!(cell.state("other"), Some(JobState::Completed));
    let failed = Some(JobState::Failed);
    assert_eq!(cell.replies.len(), 2, "{:?}", cell.replies);
    assert!(cell.replies.iter().all(|(_, state)| *state == failed), "{:?}", cell.replies);
    for _ in 0..2 {
        for id in ids {
            assert_eq!(cell.state(id), Some(JobState::Failed), "{id}");
            assert!(cell.ended.contains_key(id) && !cell.jobs.contains_key(id), "{id}");
        }
        cell.start_leader();
    }
    let ends = cell.workers.values().map(|worker| worker.ended.len()).sum::<usize>();
    assert_eq!(ends, 0, "every end is acknowledged");
    let is_started = |id: &&str| cell.starts.iter().any(|(task, ..)| task.starts_with(*id));
    assert_eq!(ids.iter().copied().filter(is_started).collect::<Vec<_>>(), ["begun"]);
    cell.submit(job("later", vec![step(8)]));
    cell.run(2_000);
    assert_eq!(cell.state("later"), Some(JobState::Completed));
}

/// A caller repeats a submission after a takeover, before the new leader has read all ended jobs.
#[test]
fn a_job_that_may_have_ended_is_left_to_a_conditional_write() {
    let mut cell = FakeCell::new(1);
    cell.core = damaskrack_cell::CellCore::new(damaskrack_cell::CellSettings::default());
    cell.apply(CellInput::Submitted { record: job("1", vec![step(1)]), reply: 7 });
    cell.run(100);
    assert_eq!(cell.admitted, [7]);
    assert!(cell.jobs.is_empty() && cell.replies.is_empty());
    cell.apply(CellInput::EndedKnown);
    cell.apply(CellInput::Submitted { record: job("1", vec![step(1)]), reply: 8 });
    cell.run(100);
    assert_eq!(cell.replies.first().map(|(reply, _)| *reply), Some(8));
}

#[test]
fn rows_of_an_ended_job_go_after_their_time() {
    let mut cell = FakeCell::new(1);
    cell.submit(job("1", vec![step(1)]));
    cell.run(2_000);
    assert_eq!(cell.state("1"), Some(JobState::Completed));
    cell.run(140_000);
    assert_eq!(cell.state("1"), None);
    assert!(cell.jobs.is_empty() && cell.progress.is_empty() && cell.ended.is_empty());
}

quickcheck! {
    /// For any sequence of faults, no task runs twice and no worker exceeds its capacity, which the
    /// fakes check, and all jobs end once the faults are over.
    fn every_job_ends_once(faults: Vec<(u8, u8, u16)>) -> bool {
        let mut cell = FakeCell::new(3);
        for (number, (kind, worker, pause_ms)) in faults.into_iter().take(12).enumerate() {
            let is_gang = kind % 5 == 0;
            cell.submit(job(&number.to_string(), vec![StepSpec { is_gang, ..step(3) }]));
            let id = format!("w{}", worker % 3);
            let now_ms = cell.now_ms;
            match kind % 7 {
                0 => cell.start_leader(),
                1 => cell.workers.get_mut(&id).unwrap().is_silent = true,
                2 => cell.workers.get_mut(&id).unwrap().defers_starts = true,
                3 => {
                    cell.add_worker(&id, now_ms, "r0");
                    cell.list_workers();
                }
                4 => cell.is_store_down = true,
                5 => {
                    cell.run_deferred_starts(&id);
                }
                _ => cell.restore_store(),
            }
            cell.run(u64::from(pause_ms % 900));
        }
        cell.restore_store();
        let ids: Vec<String> = cell.workers.keys().cloned().collect();
        for id in ids {
            let worker = cell.workers.get_mut(&id).unwrap();
            worker.is_silent = false;
            worker.defers_starts = false;
            cell.run_deferred_starts(&id);
        }
        cell.run(40_000);
        let ended = |id: &String| cell.state(id).is_none_or(JobState::is_final);
        cell.jobs.keys().all(ended)
    }
}
