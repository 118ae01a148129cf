//! Tests of the job sink.

use {
    super::JobSink,
    crate::{StoreItem, follow::ItemSink, leader_event::LeaderEvent},
    damaskrack_cell::{CellInput, JobRecord},
    prost::Message,
    slog::{Discard, Logger, o},
    tokio::sync::mpsc,
};

fn item(id: &str) -> StoreItem {
    let record = JobRecord { id: id.to_owned(), ..JobRecord::default() };
    StoreItem {
        key: format!("cell/job/{id}"),
        value: record.encode_to_vec(),
        revision: 1,
        is_deleted: false,
    }
}

fn received(events: &mut mpsc::Receiver<LeaderEvent>) -> Vec<String> {
    let mut ids = Vec::new();
    while let Ok(LeaderEvent::Input(input)) = events.try_recv()
        && let CellInput::Accepted(record) = *input
    {
        ids.push(record.id);
    }
    ids
}

/// The leader is busy with a long backlog, so that its queue of events is full when a watch returns.
#[test]
fn a_job_that_finds_the_queue_full_is_passed_on_later() {
    let (sender, mut events) = mpsc::channel(2);
    let mut sink = JobSink::new(sender, Logger::root(Discard, o!()));
    ["1", "2", "3"].iter().for_each(|id| sink.update(item(id)));
    sink.caught_up(0);
    assert_eq!(received(&mut events), ["1", "2"]);
    sink.caught_up(0);
    assert_eq!(received(&mut events), ["3"]);
}

#[test]
fn a_row_that_cannot_be_decoded_is_skipped() {
    let (sender, mut events) = mpsc::channel(2);
    let mut sink = JobSink::new(sender, Logger::root(Discard, o!()));
    sink.update(StoreItem { value: vec![0xff; 3], ..item("1") });
    sink.update(item("2"));
    sink.caught_up(0);
    assert_eq!(received(&mut events), ["2"]);
}
