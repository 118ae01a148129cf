//! The operators' manifest: following it, spreading it and changing it.

mod change;
mod fetch;

pub(crate) use {change::ManifestWriter, fetch::ManifestReader};
