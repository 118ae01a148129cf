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

    /// Removes a task that is not to blame from the suspects of all crashes. Returns the tasks of the jobs
    /// that are left as the only suspects of a crash.
    pub(super) fn clear(&mut self, task: TaskRef) -> Vec<TaskRef> {
        let mut left_alone = Vec::new();
        for SuspectGroup { tasks, .. } in &mut self.groups {
            let before = tasks.len();
            tasks.retain(|suspect| *suspect != task);
            let is_alone = tasks.windows(2).all(|pair| pair[0].phase.job == pair[1].phase.job);
            if tasks.len() < before && is_alone {
                left_alone.append(tasks);
            }
        }
        self.groups.retain(|group| !group.tasks.is_empty());
        left_alone
    }
}
