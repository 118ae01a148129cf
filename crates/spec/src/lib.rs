//! The core protocol as small state machines, explored state by state.
//!
//! Each machine covers one mechanism with few daemons, workers and tasks, and with every order of
//! messages and faults within its bounds. Decisions are those of `damaskrack-ownership`, which
//! the daemons call too; only the surroundings are simplified. A [`Mutation`] removes one
//! mechanism, so that it shows whether the exploration would notice its absence and whether the
//! mechanism is needed.

mod explore;
mod machine_name;
mod machines;
mod mutation;

pub use {
    explore::{Counterexample, ExplorationOutcome, SpecMachine, explore},
    machine_name::{MachineName, ParseMachineError},
    machines::{
        IsolationMachine, JournalMachine, LeadershipMachine, ManifestMachine, OwnershipMachine,
        RackMachine, ResubmissionMachine, TeamMachine,
    },
    mutation::{Mutation, ParseMutationError},
};
