//! Why a stand-in does not do what it is told.

use {
    damaskrack_model::{NameError, WorkerName},
    std::{fmt, io, path::PathBuf},
};

/// Why a stand-in did not start or change.
#[derive(Debug)]
pub enum StandinError {
    /// An address cannot be listened on.
    Listen(io::Error),
    /// A name of the plan is not valid.
    Name(NameError),
    /// There is no such worker.
    UnknownWorker(WorkerName),
    /// A file cannot be read.
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
}

impl fmt::Display for StandinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(error) => write!(f, "cannot listen: {error}"),
            Self::Name(error) => write!(f, "bad name: {error}"),
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
