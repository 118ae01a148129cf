//! Names that are chosen by operators and by the platform.
//!
//! Each kind of name is a distinct type, so that a team cannot be passed where a rack is expected.
//! The text is reference-counted, because names are copied into many table entries.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// Longest valid name, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 64;

/// Error for a text that is not a valid name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    Empty,
    /// The text is longer than 64 bytes.
    TooLong,
    /// The text contains a character outside `a-z A-Z 0-9 - _ . :`.
    BadCharacter(char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("a name must not be empty"),
            Self::TooLong => write!(f, "a name has at most {MAX_NAME_BYTES} bytes"),
            Self::BadCharacter(c) => write!(f, "a name must not contain {c:?}"),
        }
    }
}

impl std::error::Error for NameError {}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong);
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    match text.chars().find(|&c| !is_allowed(c)) {
        Some(c) => Err(NameError::BadCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            schemars::JsonSchema,
        )]
        #[serde(try_from = "String", into = "String")]
        #[schemars(with = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates the text and creates a name from it.
            ///
            /// # Errors
            ///
            /// Returns the rule that the text violates: 1 to 64 bytes of `a-z A-Z 0-9 - _ . :`.
            ///
            /// # Examples
            ///
            /// ```
            #[doc = concat!("use damaskrack_model::", stringify!($name), ";")]
            ///
            #[doc = concat!("assert!(", stringify!($name), "::new(\"zadar-1\").is_ok());")]
            #[doc = concat!("assert!(", stringify!($name), "::new(\"\").is_err());")]
            /// ```
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name(text).map(|()| Self(text.into()))
            }

            /// Returns the text of the name.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }
    };
}

name_type!(
    /// Name of a customer who shares the cell.
    TeamName
);
name_type!(
    /// Name of a queue that belongs to one team.
    QueueName
);
name_type!(
    /// Name of an availability zone.
    ZoneName
);
name_type!(
    /// Name of a rack of workers.
    RackName
);
name_type!(
    /// Name of a worker.
    WorkerName
);
name_type!(
    /// Name of a daemon that takes part in the cell.
    MemberName
);
name_type!(
    /// Public part of a key; the secret part never appears in a name.
    KeyName
);
