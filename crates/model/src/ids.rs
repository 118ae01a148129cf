//! Identifiers that the system itself generates.

use {
    crate::{QueueName, TeamName},
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Number of times that a unit of ownership has changed owner. Receivers use it to fence off former
/// owners.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the epoch that the next owner holds.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Correlates a response with its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// Random number that the requesting process chose when it started.
    pub boot: u64,
    /// Number of the request, counted within that process.
    pub serial: u64,
}

/// Error for a text that is not a job id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseIdError;

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a job id; expected TEAM~QUEUE~16 hexadecimal digits")
    }
}

impl std::error::Error for ParseIdError {}

/// Identifies a job. Its team determines the daemon that owns it.
///
/// # Examples
///
/// ```
/// use damaskrack_model::JobId;
///
/// let job: JobId = "harbour~checks~00000000000000ff".parse()?;
/// assert_eq!(job.nonce, 255);
/// assert_eq!(job.to_string(), "harbour~checks~00000000000000ff");
/// # Ok::<(), damaskrack_model::ParseIdError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobId {
    /// Team to which the use of resources is charged.
    pub team: TeamName,
    /// Queue to which the job was submitted.
    pub queue: QueueName,
    /// Random number that makes the id unique.
    pub nonce: u64,
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}~{:016x}", self.team, self.queue, self.nonce)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let mut parts = text.split('~');
        let (Some(team), Some(queue), Some(nonce), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(ParseIdError);
        };
        if nonce.len() != 16 {
            return Err(ParseIdError);
        }
        Ok(Self {
            team: TeamName::new(team).map_err(|_| ParseIdError)?,
            queue: QueueName::new(queue).map_err(|_| ParseIdError)?,
            nonce: u64::from_str_radix(nonce, 16).map_err(|_| ParseIdError)?,
        })
    }
}

impl TryFrom<String> for JobId {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, ParseIdError> {
        text.parse()
    }
}

impl From<JobId> for String {
    fn from(job: JobId) -> Self {
        job.to_string()
    }
}

/// Identifies one attempt to run one task of a job.
///
/// The id includes the epoch of the queue owner, so two owners never give the same id to different
/// attempts, and the ids of a task's attempts increase across owners.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Job to which the task belongs.
    pub job: JobId,
    /// Index of the task in its job, from 0.
    pub task: u32,
    /// Epoch of the queue owner that made the attempt.
    pub epoch: Epoch,
    /// Number of the attempt under that epoch, from 0.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}@{}.{}", self.job, self.task, self.epoch.0, self.number)
    }
}
