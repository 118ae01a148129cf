//! Typed keys of the tables.

slotmap::new_key_type! {
    /// A job.
    pub struct JobKey;
    /// A worker.
    pub struct WorkerKey;
    /// An attempt to run a task.
    pub struct AttemptKey;
    /// A call to the adviser.
    pub struct AdviceCallKey;
}
