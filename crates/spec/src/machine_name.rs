//! Names by which the state machines are selected.

use {
    crate::{
        ExplorationOutcome, IncarnationsMachine, IsolationMachine, JournalMachine,
        LeadershipMachine, LeaseBoundsMachine, ManifestMachine, Mutation, OpenStartsMachine,
        OwnershipMachine, RackMachine, ResubmissionMachine, SpecMachine, TeamMachine,
        TicketsMachine, explore,
    },
    std::{fmt, str::FromStr},
};

/// A part of the protocol that is explored on its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineName {
    /// Changes of the ownership record of a unit of ownership.
    Ownership,
    /// The rule by which a daemon that may have been replaced stops.
    Isolation,
    /// Takeover of a rack, with the workers' leases and epoch fences.
    RackTakeover,
    /// Takeover of a team, with the reconciliation of attempts, intents and the upper limit.
    TeamTakeover,
    /// Concurrent writes of a former and a new owner to one journal.
    Journal,
    /// Concurrent changes of the manifest by two operators.
    ManifestChange,
    /// A request that the entry daemon sends more than once.
    Resubmission,
    /// Change of a cell's leader, with its term, commit guard and rows in the store.
    Leadership,
    /// Durable bound on the leases of a worker that does not respond, while leaders change.
    LeaseBounds,
    /// Leases on a worker that restarts under its id, while requests to a former incarnation are late.
    Incarnations,
    /// Starts without a ticket that a later incarnation of the worker may carry out.
    OpenStarts,
    /// Starts with tickets, which are of the incarnation that the adviser knows.
    Tickets,
}

/// Error for a text that is not the name of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseMachineError;

impl fmt::Display for ParseMachineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no such machine; expected one of")?;
        MachineName::ALL.iter().try_for_each(|name| write!(f, " {name}"))
    }
}

impl std::error::Error for ParseMachineError {}

impl MachineName {
    /// All machines, in the order in which they are explored.
    pub const ALL: [Self; 12] = [
        Self::Ownership,
        Self::Isolation,
        Self::RackTakeover,
        Self::TeamTakeover,
        Self::Journal,
        Self::ManifestChange,
        Self::Resubmission,
        Self::Leadership,
        Self::LeaseBounds,
        Self::Incarnations,
        Self::OpenStarts,
        Self::Tickets,
    ];

    /// Returns the name that selects the machine on the command line.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ownership => "ownership",
            Self::Isolation => "isolation",
            Self::RackTakeover => "rack_takeover",
            Self::TeamTakeover => "team_takeover",
            Self::Journal => "journal",
            Self::ManifestChange => "manifest_change",
            Self::Resubmission => "resubmission",
            Self::Leadership => "leadership",
            Self::LeaseBounds => "lease_bounds",
            Self::Incarnations => "incarnations",
            Self::OpenStarts => "open_starts",
            Self::Tickets => "tickets",
        }
    }

    /// Explores the machine without the mechanisms in `removed`.
    ///
    /// # Examples
    ///
    /// ```
    /// use damaskrack_spec::{MachineName, Mutation};
    ///
    /// let outcome = MachineName::ManifestChange.explore(&[Mutation::ReadBack]);
    /// assert!(outcome.counterexample.is_some());
    /// ```
    #[must_use]
    pub fn explore(self, removed: &[Mutation]) -> ExplorationOutcome {
        match self {
            Self::Ownership => explore(&OwnershipMachine::new(removed)),
            Self::Isolation => explore(&IsolationMachine::new(removed)),
            Self::RackTakeover => explore(&RackMachine::new(removed)),
            Self::TeamTakeover => explore(&TeamMachine::new(removed)),
            Self::Journal => explore(&JournalMachine::new(removed)),
            Self::ManifestChange => explore(&ManifestMachine::new(removed)),
            Self::Resubmission => explore(&ResubmissionMachine::new(removed)),
            Self::Leadership => explore(&LeadershipMachine::new(removed)),
            Self::LeaseBounds => explore(&LeaseBoundsMachine::new(removed)),
            Self::Incarnations => explore(&IncarnationsMachine::new(removed)),
            Self::OpenStarts => explore(&OpenStartsMachine::new(removed)),
            Self::Tickets => explore(&TicketsMachine::new(removed)),
        }
    }
}

impl fmt::Display for MachineName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for MachineName {
    type Err = ParseMachineError;

    fn from_str(text: &str) -> Result<Self, ParseMachineError> {
        Self::ALL.into_iter().find(|name| name.as_str() == text).ok_or(ParseMachineError)
    }
}
