//! Learned speeds and run times in the store.
//!
//! They only decide which of the workers that may run a task is preferred and how long it is expected to take,
//! so a leader without them, or with outdated ones, is slower and never unsafe. Values are logarithms in
//! thousandths and variances in hundred-thousandths, which keeps the row of 20,000 workers below 1 MB.

/// Learned speed of a worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WorkerSpeedRecord {
    /// Id of the worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Logarithm of how much longer tasks take than on an average worker of the service, in thousandths.
    #[prost(sint32, tag = "2")]
    pub log_slowness: i32,
    /// Variance of the error of that logarithm, in hundred-thousandths.
    #[prost(uint32, tag = "3")]
    pub variance: u32,
    /// The worker counts as fast.
    #[prost(bool, tag = "4")]
    pub is_fast: bool,
    /// The worker counts as slow.
    #[prost(bool, tag = "5")]
    pub is_slow: bool,
}

/// Learned ratio of run time to estimate in a queue.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QueueRatioRecord {
    /// Name of the queue.
    #[prost(string, tag = "1")]
    pub queue: String,
    /// Logarithm of the ratio, in thousandths.
    #[prost(sint32, tag = "2")]
    pub log_ratio: i32,
    /// Variance of the error of that logarithm, in hundred-thousandths.
    #[prost(uint32, tag = "3")]
    pub variance: u32,
    /// Variance of the logarithms of single steps, in hundred-thousandths.
    #[prost(uint32, tag = "4")]
    pub spread: u32,
}

/// Learned speeds and run times.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WorkerSpeedsRecord {
    /// Time at which they were written, in Unix milliseconds.
    #[prost(uint64, tag = "1")]
    pub written_ms: u64,
    /// Workers of which something has been learned.
    #[prost(message, repeated, tag = "2")]
    pub workers: Vec<WorkerSpeedRecord>,
    /// Queues that have run tasks.
    #[prost(message, repeated, tag = "3")]
    pub queues: Vec<QueueRatioRecord>,
}
