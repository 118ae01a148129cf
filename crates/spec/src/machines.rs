//! The machines.

mod isolation;
mod journal;
mod manifest;
mod rack;
mod resubmission;
mod team;

pub use {
    isolation::IsolationMachine, journal::JournalMachine, manifest::ManifestMachine,
    rack::RackMachine, resubmission::ResubmissionMachine, team::TeamMachine,
};
