//! State machines of the protocol, one module each.

mod incarnations;
mod isolation;
mod journal;
mod leadership;
mod lease_bounds;
mod manifest;
mod open_starts;
mod ownership;
mod rack;
mod resubmission;
mod team;
mod tickets;

pub use {
    incarnations::IncarnationsMachine, isolation::IsolationMachine, journal::JournalMachine,
    leadership::LeadershipMachine, lease_bounds::LeaseBoundsMachine, manifest::ManifestMachine,
    open_starts::OpenStartsMachine, ownership::OwnershipMachine, rack::RackMachine,
    resubmission::ResubmissionMachine, team::TeamMachine, tickets::TicketsMachine,
};
