//! Tests of the decoding of jobs' rows.

use {
    super::{StoredJobs, decode_job},
    crate::{StoreItem, forward_frame::ForwardedFrame, frame, write_frame::ForwardedWrite},
    bytes::BytesMut,
    damaskrack_cell::{JobRecord, JobState, ProgressRecord},
    prost::Message,
    quickcheck::quickcheck,
    slog::{Discard, Logger, o},
};

fn logger() -> Logger {
    Logger::root(Discard, o!())
}

fn item(key: &str, value: Vec<u8>) -> StoreItem {
    StoreItem { key: key.to_owned(), value, revision: 1, is_deleted: false }
}

fn job(id: &str) -> StoreItem {
    let record = JobRecord { id: id.to_owned(), ..JobRecord::default() };
    item(&format!("cell/job/{id}"), record.encode_to_vec())
}

fn progress(id: &str) -> StoreItem {
    let row = ProgressRecord { state: JobState::Running as i32, ..ProgressRecord::default() };
    item(&format!("cell/progress/{id}"), row.encode_to_vec())
}

/// Without its progress, tasks of the job that run or have completed would be started again.
#[test]
fn a_job_whose_progress_cannot_be_read_is_not_run() {
    let damaged = StoreItem { value: vec![0xff; 3], ..progress("2") };
    let jobs = [job("1"), job("2"), job("3")];
    let read = StoredJobs::decode(&jobs, &[progress("1"), damaged, progress("4")], &logger());
    let found: Vec<_> = read.jobs.iter().map(|(job, row)| (&*job.id, row.is_some())).collect();
    assert_eq!(found, [("1", true), ("3", false)]);
    assert_eq!(read.ended.keys().collect::<Vec<_>>(), ["4"]);
}

/// An empty value is a valid row of a job without an id.
#[test]
fn a_row_under_the_key_of_another_job_is_skipped() {
    let jobs = [item("cell/job/1", Vec::new()), item("cell/job/2", job("3").value), job("4")];
    let read = StoredJobs::decode(&jobs, &[], &logger());
    let found: Vec<_> = read.jobs.iter().map(|(job, _)| &*job.id).collect();
    assert_eq!(found, ["4"]);
}

quickcheck! {
    fn any_bytes_are_decoded_or_refused(bytes: Vec<u8>) -> bool {
        decode_job(&item("cell/job/1", bytes.clone()), &logger());
        let row = item("cell/progress/1", bytes.clone());
        StoredJobs::decode(&[job("1")], &[row], &logger());
        let buffer = || BytesMut::from(bytes.as_slice());
        frame::decode::<frame::EntryFrame>(buffer());
        frame::decode::<frame::LeaderFrame>(buffer());
        frame::decode::<ForwardedFrame>(buffer());
        if let Some(write) = frame::decode::<ForwardedWrite>(buffer()) {
            write.decode_transaction();
        }
        true
    }
}
