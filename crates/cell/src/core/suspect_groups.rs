//! Tasks that are suspected of the same crash.

use crate::{JobKey, message::TaskRef};

/// Time for which the suspects of a crash are remembered, in milliseconds.
const RETENTION_MS: u64 = 60_000;

/// The suspects of one crash.
#[derive(Debug)]
struct SuspectGroup {
    tasks: Vec<TaskRef>,
    recorded_ms: u64,
}

/// The suspects of recent crashes with more than one.
#[derive(Debug, Default)]
pub(super) struct SuspectGroups {
    groups: Vec<SuspectGroup>,
}

impl SuspectGroups {
    /// Adds the suspects of a crash.
    pub(super) fn add(&mut self, tasks: Vec<TaskRef>, now_ms: u64) {
        self.groups.retain(|group| group.recorded_ms + RETENTION_MS > now_ms);
        if tasks.len() > 1 {
            self.groups.push(SuspectGroup { tasks, recorded_ms: now_ms });
        }
    }

    /// Removes the crashes of which a job is suspected, and returns all of their suspects.
    pub(super) fn take_beside(&mut self, job: JobKey) -> Vec<TaskRef> {
        let is_suspect =
            |group: &SuspectGroup| group.tasks.iter().any(|task| task.phase.job == job);
        let (explained, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.groups).into_iter().partition(is_suspect);
        self.groups = left;
        explained.into_iter().flat_map(|group| group.tasks).collect()
    }
}
