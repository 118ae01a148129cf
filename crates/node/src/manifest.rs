//! The operators' manifest: reads it, exchanges it with peers and writes changes of it.

mod change;
mod fetch;

pub(crate) use {change::ManifestWriter, fetch::ManifestReader};
