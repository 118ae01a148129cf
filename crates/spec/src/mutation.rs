//! Mechanisms that can be removed one at a time.

use {
    crate::MachineName,
    std::{fmt, str::FromStr},
};

/// A mechanism that an exploration goes without.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// An ownership record is replaced only at the revision that the writer has seen.
    RecordSwap,
    /// Each take writes the next epoch.
    EpochGrows,
    /// A process owns only what the record gives to its own boot number.
    BootNumber,
    /// An isolated daemon stops.
    IsolationRule,
    /// Only a daemon that hears half of the members takes pieces over.
    TakerHalf,
    /// Without the store, hearing exactly half of the members is not enough to go on.
    ExactHalf,
    /// Later news of others are compared with the last renewal of the member record, and not with
    /// a daemon's own last news.
    RenewalDate,
    /// A member knows of a taker's news while those that it was told are current, and not while it
    /// was told lately.
    ToldNews,
    /// News of the store are passed on second-hand.
    PassedOnNews,
    /// A taker counts only members that know that it has news of the store.
    ToldHalf,
    /// All daemons count the members of one roster, also those that own nothing.
    AgreedRoster,
    /// A grown roster counts together with the former one.
    JointRoster,
    /// After a new registration only own news count, until they are later than any takeover by
    /// somebody who did not know of it.
    SettledRegistration,
    /// Workers refuse commands under a lower epoch of the rack.
    WorkerFence,
    /// Leases are readings of the worker's clock and not durations from the arrival.
    AbsoluteLease,
    /// A new rack owner waits until leases that a former one renewed have ended.
    LapseWait,
    /// A former rack owner stops within the isolation time.
    FormerOwnerStops,
    /// A rack's void row is a proof only under the epoch that the attempt was sent under.
    VoidEpoch,
    /// A new rack owner says nothing of an attempt before it has heard from its worker.
    RebuildFirst,
    /// No worker restarts, and so loses its fence, while a former rack owner may still act.
    QuietRestart,
    /// Rack owners refuse commands under a lower epoch of the team.
    TeamFence,
    /// A new rack owner takes the teams' epochs from the ownership records.
    RecordFloor,
    /// A new team owner asks every rack before it starts work.
    RollCall,
    /// A non-idempotent task starts only after its intent is durable.
    Intent,
    /// A former team owner cannot write to the journal any more.
    JournalFence,
    /// Attempts without a verdict count against the upper limit.
    UncertainCount,
    /// Attempts that a roll call found count against the upper limit.
    FoundCount,
    /// A task that a former owner may have started is not called not run.
    InheritedDoubt,
    /// An existing journal segment is not overwritten.
    CreateOnly,
    /// A journal write whose answer was lost is read back.
    JournalReadBack,
    /// A new owner reads the journal again if its first write meets a segment.
    ReloadAfterConflict,
    /// Trimming leaves the first segment of each epoch.
    FenceSurvivesTrim,
    /// A change of the manifest whose answer was lost is read back by its change number.
    ReadBack,
    /// The head of the manifest is exchanged only against the revision that was read.
    HeadSwap,
    /// A refusal of a change whose answer was lost is called unknown.
    UncertainChange,
    /// A process takes only later versions of the manifest.
    VersionGrows,
    /// An entry believes that work reached nobody only once every copy was refused.
    EveryCopy,
    /// An owner that gave a request back takes no earlier copy of it any more.
    ReturnStays,
    /// An owner joins a request to attempts that the roll call found.
    AdoptFound,
    /// Non-idempotent work that may have reached a former owner is not started again.
    FirstEpoch,
    /// An owner remembers an answered request until the answer has arrived.
    RememberAnswer,
    /// A leader's write takes effect only if no other leader, and no other write, came between.
    CommitGuard,
    /// Workers refuse orders of an earlier term.
    TermFence,
    /// An attempt is sent only after its row is durable.
    DurableIntent,
    /// An end is acknowledged only after it is durable.
    DurableEnd,
    /// A new leader takes attempts in the rows for running until their workers have answered it.
    InheritedAttempt,
    /// An attempt without an answer is stopped before the task is tried elsewhere.
    StopBeforeRetry,
}

/// A text is not the name of a mutation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseMutationError;

impl fmt::Display for ParseMutationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no such mutation; expected one of")?;
        Mutation::all().try_for_each(|mutation| write!(f, " {mutation}"))
    }
}

impl std::error::Error for ParseMutationError {}

impl Mutation {
    fn all() -> impl Iterator<Item = Self> {
        MachineName::ALL.into_iter().flat_map(Self::of).copied()
    }

    /// Returns the machine that the mechanism belongs to.
    #[must_use]
    pub fn machine(self) -> MachineName {
        let mut machines = MachineName::ALL.into_iter();
        machines
            .find(|machine| Self::of(*machine).contains(&self))
            .expect("each mechanism belongs to a machine")
    }

    /// Returns the mechanisms without which a machine violates a property.
    ///
    /// # Examples
    ///
    /// ```
    /// use damaskrack_spec::{MachineName, Mutation};
    ///
    /// assert!(Mutation::of(MachineName::Journal).contains(&Mutation::CreateOnly));
    /// ```
    #[must_use]
    pub fn of(machine: MachineName) -> &'static [Self] {
        match machine {
            MachineName::Ownership => &[Self::RecordSwap, Self::EpochGrows, Self::BootNumber],
            MachineName::Isolation => &[
                Self::IsolationRule,
                Self::TakerHalf,
                Self::ExactHalf,
                Self::PassedOnNews,
                Self::RenewalDate,
                Self::ToldNews,
                Self::ToldHalf,
                Self::AgreedRoster,
                Self::JointRoster,
                Self::SettledRegistration,
            ],
            MachineName::RackTakeover => &[
                Self::WorkerFence,
                Self::AbsoluteLease,
                Self::LapseWait,
                Self::FormerOwnerStops,
                Self::VoidEpoch,
                Self::RebuildFirst,
                Self::QuietRestart,
            ],
            MachineName::TeamTakeover => &[
                Self::TeamFence,
                Self::RecordFloor,
                Self::RollCall,
                Self::Intent,
                Self::JournalFence,
                Self::UncertainCount,
                Self::FoundCount,
                Self::InheritedDoubt,
            ],
            MachineName::Journal => &[
                Self::CreateOnly,
                Self::JournalReadBack,
                Self::ReloadAfterConflict,
                Self::FenceSurvivesTrim,
            ],
            MachineName::ManifestChange => {
                &[Self::ReadBack, Self::HeadSwap, Self::UncertainChange, Self::VersionGrows]
            }
            MachineName::Resubmission => &[
                Self::EveryCopy,
                Self::ReturnStays,
                Self::AdoptFound,
                Self::FirstEpoch,
                Self::RememberAnswer,
            ],
            MachineName::Leadership => &[
                Self::CommitGuard,
                Self::TermFence,
                Self::DurableIntent,
                Self::DurableEnd,
                Self::InheritedAttempt,
                Self::StopBeforeRetry,
            ],
        }
    }
}

impl fmt::Display for Mutation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, letter) in format!("{self:?}").chars().enumerate() {
            if index > 0 && letter.is_uppercase() {
                f.write_str("_")?;
            }
            write!(f, "{}", letter.to_lowercase())?;
        }
        Ok(())
    }
}

impl FromStr for Mutation {
    type Err = ParseMutationError;

    fn from_str(text: &str) -> Result<Self, ParseMutationError> {
        Self::all().find(|mutation| mutation.to_string() == text).ok_or(ParseMutationError)
    }
}
