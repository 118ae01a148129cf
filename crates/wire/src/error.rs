//! Errors of encoding and decoding frames.

use std::fmt;

/// Error of encoding or decoding a frame.
#[derive(Debug)]
pub enum WireError {
    /// The connection failed, ended inside a frame, or sent a length above the limit.
    Io(std::io::Error),
    /// The frame to send is longer than the limit; nothing was written.
    TooLong {
        /// Its length, in bytes.
        bytes: usize,
    },
    /// There is no space to receive the frame.
    NoSpace {
        /// Its length, in bytes.
        bytes: usize,
    },
    /// The bytes are not valid protocol buffers.
    Malformed(prost::DecodeError),
    /// A required field is missing.
    Missing(&'static str),
    /// A field holds a value outside its range.
    Invalid(&'static str),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "link failed: {error}"),
            Self::TooLong { bytes } => write!(f, "frame of {bytes} bytes is too long"),
            Self::NoSpace { bytes } => write!(f, "no space for a frame of {bytes} bytes"),
            Self::Malformed(error) => write!(f, "malformed frame: {error}"),
            Self::Missing(field) => write!(f, "frame without `{field}`"),
            Self::Invalid(field) => write!(f, "frame with an invalid `{field}`"),
        }
    }
}

impl std::error::Error for WireError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io(error) => Some(error),
            Self::Malformed(error) => Some(error),
            Self::TooLong { .. } | Self::NoSpace { .. } | Self::Missing(_) | Self::Invalid(_) => {
                None
            }
        }
    }
}

impl From<std::io::Error> for WireError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<prost::DecodeError> for WireError {
    fn from(error: prost::DecodeError) -> Self {
        Self::Malformed(error)
    }
}
