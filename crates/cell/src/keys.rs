//! Typed keys of the scheduler's tables.

slotmap::new_key_type! {
    /// Key of a job.
    pub struct JobKey;
    /// Key of a worker.
    pub struct WorkerKey;
    /// Key of an attempt to run a task.
    pub struct AttemptKey;
    /// Key of an attempt that was lost with its worker.
    pub(crate) struct LossKey;
    /// Key of a call to the adviser.
    pub struct AdviceCallKey;
}
