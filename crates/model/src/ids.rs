//! Identifiers that the system itself makes.

use {
    crate::{QueueName, TeamName},
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Number of times that a piece has changed owner; a fence against former owners.
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

/// Correlates an answer with its call: the asking process, its boot and a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// Random number that the asking process drew when it started.
    pub boot: u64,
    /// Counts the calls of that process.
    pub serial: u64,
}

/// A text is not an identifier of the expected form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseIdError;

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a job id; expected TEAM~QUEUE~16 hexadecimal digits")
    }
}

impl std::error::Error for ParseIdError {}

/// Identifies a job, and through its team the daemon that owns it.
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
    /// Team that the work is counted against.
    pub team: TeamName,
    /// Queue that the job entered by.
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

/// Identifies one try at running one task of a job.
///
/// The attempt number of a task grows over all owners of its queue: it starts with the owner's
/// epoch, so two owners never give the same id to different tries.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task in its job, from 0.
    pub task: u32,
    /// Epoch of the queue owner that made the attempt.
    pub epoch: Epoch,
    /// Counts the tries under that epoch, from 0.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}@{}.{}", self.job, self.task, self.epoch.0, self.number)
    }
}
