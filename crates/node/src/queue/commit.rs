//! Carries the journal's writes to the store.
//!
//! One write at a time a team, and a write budget for the whole daemon. Records that arrive
//! meanwhile go together into the next write, so under pressure the commits get larger and not
//! more frequent.
//!
//! A snapshot makes earlier segments superfluous, but the first segment of each epoch stays: it
//! takes the number that the former owner would write next, and a former owner that wakes after
//! any length of time must find that number taken.

use {
    super::{
        QueueContext,
        record::JournalRecord,
        team::{TeamPhase, TeamQueue},
    },
    crate::LogLevel,
    damaskrack_outside::{StoreCall, StoreError, StoreReply},
    damaskrack_ownership::{FoundSegment, JournalStep, MemberStanding},
};

/// Segments after which everything is restated in one.
const SNAPSHOT_SEGMENTS: u64 = 64;
/// Largest snapshot, in bytes; a store value holds one megabyte.
const MAX_SNAPSHOT_BYTES: usize = 900_000;
/// Pause after a failed write, in milliseconds.
const RETRY_MS: u64 = 200;

/// Returns the store key of a segment.
pub(super) fn segment_key(queue: &TeamQueue, number: u64) -> String {
    format!("{}{number:016x}", queue.journal_prefix())
}

/// Starts the next write if there is one and the budget allows it.
pub(super) fn run(queue: &mut TeamQueue, context: &mut QueueContext<'_>) {
    let is_loading = matches!(queue.phase, TeamPhase::Loading { .. } | TeamPhase::Fenced);
    if is_loading || queue.journal_call != 0 || context.view.now < queue.journal_retry_at {
        return;
    }
    if queue.journal.is_fenced() {
        context.out.log(LogLevel::Warning, "journal_fenced", &[("team", &queue.team)]);
        queue.phase = TeamPhase::Fenced;
        return;
    }
    let is_replaceable = context.view.standing == MemberStanding::Isolated;
    if is_replaceable || !queue.journal.wants_write() || !context.budget.try_take(context.view.now)
    {
        return;
    }
    if queue.journal.segments_since_snapshot() >= SNAPSHOT_SEGMENTS {
        snapshot(queue);
    }
    let step = queue.journal.next_step(|| context.out.draw());
    carry_out(queue, step, context);
}

fn snapshot(queue: &mut TeamQueue) {
    let mut records = vec![JournalRecord::Takeover];
    for job in queue.jobs.values().filter(|job| job.is_journalled) {
        records.extend(job.restate());
    }
    let size: usize = serde_json::to_string(&records).map_or(usize::MAX, |text| text.len());
    if size <= MAX_SNAPSHOT_BYTES {
        queue.journal.snapshot(records);
    }
}

fn carry_out(queue: &mut TeamQueue, step: JournalStep, context: &mut QueueContext<'_>) {
    let request = match step {
        JournalStep::Idle | JournalStep::Fenced => return,
        JournalStep::Create { number, value } => {
            StoreCall::Put { key: segment_key(queue, number), expected: 0, value, lease: 0 }
        }
        JournalStep::ReadBack { number } => StoreCall::Get { key: segment_key(queue, number) },
    };
    context.out.count("journal.calls", 1);
    queue.journal_call = context.out.store(request, context.config.store_timeout_ms);
}

/// Takes the end of the journal's store call.
pub(super) fn on_store(
    queue: &mut TeamQueue,
    result: Result<StoreReply, StoreError>,
    context: &mut QueueContext<'_>,
) {
    queue.journal_call = 0;
    match result {
        Ok(StoreReply::Written { .. }) => on_written(queue, context),
        Ok(StoreReply::Conflict { current }) => {
            let value = current.map(|entry| entry.value);
            on_found(queue, value.as_deref(), context);
        }
        Ok(StoreReply::Entries { entries, .. }) => {
            let value = entries.into_iter().next().map(|entry| entry.value);
            on_found(queue, value.as_deref(), context);
        }
        // Whether it took effect or not, reading back settles it.
        _ => {
            queue.journal.on_response_lost();
            queue.journal_retry_at = context.view.now.plus(RETRY_MS);
        }
    }
}

fn on_found(queue: &mut TeamQueue, value: Option<&str>, context: &mut QueueContext<'_>) {
    match queue.journal.on_found(value) {
        FoundSegment::Mine => on_written(queue, context),
        FoundSegment::Absent => {
            let step = queue.journal.on_not_written();
            carry_out(queue, step, context);
        }
        FoundSegment::Foreign => {}
    }
}

fn on_written(queue: &mut TeamQueue, context: &mut QueueContext<'_>) {
    let number = queue.journal.next_number();
    if queue.journal.on_written() {
        trim(queue, number, context);
    }
}

/// Deletes what a snapshot restates, between the segments that close former epochs.
fn trim(queue: &mut TeamQueue, snapshot: u64, context: &mut QueueContext<'_>) {
    let former = queue.epoch_segments.iter().copied().filter(|&first| first < snapshot);
    let mut from = queue.trimmed_below;
    for kept in former.chain([snapshot]) {
        if from < kept {
            let (from, to) = (segment_key(queue, from), segment_key(queue, kept));
            let request = StoreCall::DeleteRange { from, to };
            context.out.store(request, context.config.store_timeout_ms);
        }
        from = from.max(kept + 1);
    }
    queue.trimmed_below = snapshot;
}
