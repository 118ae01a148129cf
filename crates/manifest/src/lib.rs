//! The operators' manifest: teams, keys, availability zones and queues.
//!
//! Pipelines generate a manifest and submit it as a whole. It is validated as a whole before it is
//! accepted, and stored in sections so that a change transfers only the sections that differ.

mod change;
mod check;
mod document;
mod duplicates;
mod error;
mod head;
mod keys;
mod parse;
mod schema;
mod secret;
mod section;
mod shape;

pub use {
    change::{ChangeKind, FieldChange, ManifestChange, diff_manifests},
    check::{MAX_KEYS, MAX_QUEUES, MAX_SECTION_BYTES, MAX_TEAMS, MAX_ZONES, check_manifest},
    document::{
        KeyEntry, ManifestDocument, QueueEntry, TeamEntry, TeamLimit, ZoneEntry, ZoneState,
    },
    error::ManifestError,
    head::{HEAD_KEY, ManifestHead, section_key},
    keys::{KeyCheckOutcome, KeyIndex, check_key, is_key_valid},
    parse::parse_manifest,
    schema::manifest_schema,
    secret::make_key,
    section::{ManifestSection, replace_section, section_hash, section_json},
};
