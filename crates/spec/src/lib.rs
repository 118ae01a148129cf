//! Model checker for the core protocol.
//!
//! Each state machine models one part of the protocol with few daemons, workers and tasks, and the
//! checker visits every state that any order of messages and faults within the bounds can reach.
//! Where `damaskrack-ownership` makes a decision, the models call the same functions as the
//! daemons; only the environment is simplified. A [`Mutation`] removes one mechanism of the
//! protocol, which shows that the mechanism is needed and that the exploration detects its absence.

mod explore;
mod machine_name;
mod machines;
mod mutation;

pub use {
    explore::{Counterexample, ExplorationOutcome, SpecMachine, explore},
    machine_name::{MachineName, ParseMachineError},
    machines::{
        IncarnationsMachine, IsolationMachine, JournalMachine, LeadershipMachine,
        LeaseBoundsMachine, ManifestMachine, OpenStartsMachine, OwnershipMachine, RackMachine,
        ResubmissionMachine, TeamMachine, TicketsMachine,
    },
    mutation::{Mutation, ParseMutationError},
};
