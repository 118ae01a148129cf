//! Errors of the stand-ins.

use {
    damaskrack_model::{NameError, WorkerName},
    std::{fmt, io, path::PathBuf},
};

/// An error in starting a stand-in or changing its faults.
#[derive(Debug)]
pub enum StandinError {
    /// A server cannot listen on its address.
    Listen(io::Error),
    /// A name in the plan is invalid.
    Name(NameError),
    /// The named worker does not exist.
    UnknownWorker(WorkerName),
    /// A file cannot be read.
    File {
        /// Path of the file.
        path: PathBuf,
        /// Reason why it cannot be read.
        reason: String,
    },
}

impl fmt::Display for StandinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(error) => write!(f, "cannot listen: {error}"),
            Self::Name(error) => write!(f, "invalid name: {error}"),
            Self::UnknownWorker(worker) => write!(f, "there is no worker {worker}"),
            Self::File { path, reason } => write!(f, "cannot read {}: {reason}", path.display()),
        }
    }
}

impl std::error::Error for StandinError {}

impl From<io::Error> for StandinError {
    fn from(error: io::Error) -> Self {
        Self::Listen(error)
    }
}

impl From<NameError> for StandinError {
    fn from(error: NameError) -> Self {
        Self::Name(error)
    }
}
