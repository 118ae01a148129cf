//! Switches of optional scheduling features.

/// For how long a step may wait for a better worker than those that are free.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum WaitPolicy {
    /// Steps start on any free worker.
    #[default]
    Off,
    /// Each step waits as long as the expected gain exceeds the expected wait.
    Decided,
    /// Each step waits for a fixed time.
    Fixed {
        /// That time, in milliseconds.
        wait_ms: u64,
    },
}

/// Switches of optional scheduling features.
///
/// ```
/// use damaskrack_cell::{FeatureSettings, WaitPolicy};
///
/// let features = FeatureSettings::default();
/// assert!(features.worker_speed && !features.gang_room && !features.admission);
/// assert_eq!(features.place_wait, WaitPolicy::Off);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeatureSettings {
    /// Learned worker speeds and run times decide where tasks run.
    pub worker_speed: bool,
    /// Waiting gangs reserve capacity, and steps may preempt less urgent tasks.
    pub gang_room: bool,
    /// Jobs are admitted by their expected end, and teams beyond their shares are refused first.
    pub admission: bool,
    /// Waiting for better workers.
    pub place_wait: WaitPolicy,
}

impl Default for FeatureSettings {
    fn default() -> Self {
        Self { worker_speed: true, gang_room: false, admission: false, place_wait: WaitPolicy::Off }
    }
}
