//! Checkpoint storage shared by the workers of a platform.

use {
    damaskrack_model::{AttemptId, JobId},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

type CheckpointMap = BTreeMap<(JobId, u32), u64>;

/// Remaining run time of checkpointed tasks, shared by every worker of a platform.
///
/// # Examples
///
/// ```
/// use {damaskrack_model::{AttemptId, Epoch}, damaskrack_standin::CheckpointPlace};
///
/// let job = "harbour~checks~00000000000000ff".parse()?;
/// let first = AttemptId { job, task: 0, epoch: Epoch(1), number: 0 };
/// let place = CheckpointPlace::default();
/// place.save(&first, 700);
/// let second = AttemptId { number: 1, ..first };
/// assert_eq!(place.load(&second), Some(700));
/// # Ok::<(), damaskrack_model::ParseIdError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct CheckpointPlace {
    remaining_ms: Arc<Mutex<CheckpointMap>>,
}

impl CheckpointPlace {
    /// Saves the remaining run time of an attempt's task, in milliseconds.
    pub fn save(&self, attempt: &AttemptId, remaining_ms: u64) {
        self.lock().insert((attempt.job.clone(), attempt.task), remaining_ms);
    }

    /// Returns the checkpointed run time that remains for an attempt's task, in milliseconds.
    #[must_use]
    pub fn load(&self, attempt: &AttemptId) -> Option<u64> {
        self.lock().get(&(attempt.job.clone(), attempt.task)).copied()
    }

    /// Deletes the checkpoint of a task that has ended.
    pub fn forget(&self, attempt: &AttemptId) {
        self.lock().remove(&(attempt.job.clone(), attempt.task));
    }

    fn lock(&self) -> MutexGuard<'_, CheckpointMap> {
        self.remaining_ms.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
