//! Who may cancel a job, and whose job a submission with a known id is.

use {
    super::support::{FakeCell, job, step},
    damaskrack_cell::{CellInput, JobCaller, JobRecord, JobState, ProgressRecord},
};

fn caller(queue: &str, team: &str) -> JobCaller {
    JobCaller { queue: queue.to_owned(), team: team.to_owned(), is_queue_open: false }
}

fn cancel(cell: &mut FakeCell, caller: &JobCaller, reply: u64) {
    cell.apply(CellInput::Cancel { id: "1".to_owned(), caller: Some(caller.clone()), reply });
}

/// A caller with another team's key stopped the work of a team whose id it knew.
#[test]
fn a_job_is_cancelled_by_its_own_team_on_its_own_queue_only() {
    let mut cell = FakeCell::new(2);
    cell.submit(job("1", vec![step(2)]));
    cell.run(50);
    for (other, reply) in
        [caller("queue", "other"), caller("queue", ""), caller("other", "team")].iter().zip(1..)
    {
        assert_eq!(cell.core.state_for("1", other), None, "{other:?}");
        cancel(&mut cell, other, reply);
        cell.run(50);
        assert_eq!(cell.replies, [(reply, None)], "{other:?}");
        cell.replies.clear();
    }
    assert_eq!(cell.state("1"), Some(JobState::Running));
    cancel(&mut cell, &caller("queue", "team"), 9);
    cell.run(50);
    assert_eq!(cell.replies, [(9, Some(JobState::Cancelled))]);
}

/// A submission was acknowledged although only another team's job with its id ever ran.
#[test]
fn a_job_of_another_team_with_a_known_id_is_not_acknowledged() {
    let mut cell = FakeCell::new(2);
    cell.run_ms = 200;
    cell.submit(job("1", vec![step(1)]));
    let other = JobRecord { team: "other".to_owned(), ..job("1", vec![step(1)]) };
    // Running, ended, and ended under a former leader.
    for (round, reply) in (0..3).zip([10, 20, 30]) {
        cell.run(if round == 0 { 50 } else { 1_000 });
        if round == 2 {
            cell.start_leader();
        }
        cell.apply(CellInput::Submitted { record: other.clone(), reply });
        cell.apply(CellInput::Offered { record: other.clone(), reply: reply + 1 });
        cell.apply(CellInput::Submitted { record: job("1", vec![step(1)]), reply: reply + 2 });
        cell.run(100);
        assert_eq!(cell.taken, [reply, reply + 1], "in round {round}");
        assert_eq!(cell.admitted, Vec::<u64>::new(), "in round {round}");
        assert_eq!(cell.replies.len(), 1, "the same job again is the same job");
        cell.taken.clear();
        cell.replies.clear();
    }
    assert_eq!(cell.starts.len(), 1, "{:?}", cell.starts);
}

/// Rows of ended jobs that a version before wrote do not name the owner.
#[test]
fn the_row_of_a_former_version_without_an_owner_is_readable() {
    let mut cell = FakeCell::new(1);
    let progress =
        ProgressRecord { state: JobState::Completed as i32, ..ProgressRecord::default() };
    cell.ended.insert("1".to_owned(), progress);
    cell.start_leader();
    assert_eq!(cell.core.state_for("1", &caller("queue", "team")), Some(JobState::Completed));
    cell.apply(CellInput::Submitted { record: job("1", vec![step(1)]), reply: 1 });
    cell.run(500);
    assert_eq!(cell.replies, [(1, Some(JobState::Completed))]);
    assert_eq!(cell.starts, Vec::<(String, u32, String)>::new());
}
