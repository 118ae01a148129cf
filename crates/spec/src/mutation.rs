//! Mechanisms of the protocol that an exploration can remove.

use {
    crate::MachineName,
    std::{fmt, str::FromStr},
};

/// A mechanism that an exploration removes; each variant describes the mechanism when present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// An ownership record is replaced only if it still has the revision that the writer read.
    RecordSwap,
    /// Each takeover increments the epoch.
    EpochGrows,
    /// A process owns a unit of ownership only if the record names its own boot number.
    BootNumber,
    /// An isolated daemon stops acting as an owner.
    IsolationRule,
    /// Only a daemon of whose recent store read at least half of the members know takes over units
    /// of ownership.
    TakerHalf,
    /// A daemon without a recent store read must hear more than half of the members to continue;
    /// exactly half is not enough.
    ExactHalf,
    /// Later store reads of other members are compared with the last renewal of a daemon's member
    /// record, not with its own latest store read.
    RenewalDate,
    /// A member counts as informed of a daemon's store read while the read that it was told of is
    /// recent; that the message was recent is not enough.
    ToldNews,
    /// Members forward the time of the latest store read that they have heard of from others.
    PassedOnNews,
    /// A daemon that takes over counts only members that know that it has a recent store read.
    ToldHalf,
    /// All daemons count the members of one roster, including those that own nothing.
    AgreedRoster,
    /// After the roster has grown, decisions need enough members of the former roster too.
    JointRoster,
    /// After a new registration only a daemon's own store reads count, until they are later than
    /// any takeover by a member that did not know of the registration.
    SettledRegistration,
    /// Workers reject commands under a lower epoch of the rack.
    WorkerFence,
    /// Leases end at a time on the worker's clock, not after a duration from the request's arrival.
    AbsoluteLease,
    /// A new rack owner waits until leases that the former owner may have renewed have expired.
    LapseWait,
    /// A former rack owner stops within the isolation time after it was replaced.
    FormerOwnerStops,
    /// A rack's response that it does not know an attempt proves that the attempt never ran only
    /// under the epoch that the attempt was sent under.
    VoidEpoch,
    /// A new rack owner reports nothing about an attempt before the attempt's worker has responded
    /// or its leases have expired.
    RebuildFirst,
    /// No worker restarts while a former rack owner may still act, because a restart resets the
    /// worker's epoch fence.
    QuietRestart,
    /// Rack owners reject commands under a lower epoch of the team.
    TeamFence,
    /// A new rack owner initializes its fences with the teams' epochs in the ownership records.
    RecordFloor,
    /// A new team owner asks every rack for the attempts that run there before it starts work.
    RollCall,
    /// A non-idempotent task starts only after its intent is durable.
    Intent,
    /// A former team owner can no longer write to the journal.
    JournalFence,
    /// Attempts whose start is neither confirmed nor rejected count against the upper limit.
    UncertainCount,
    /// Attempts found by the reconciliation count against the upper limit.
    FoundCount,
    /// A task that a former owner may have started is not reported as not run.
    InheritedDoubt,
    /// An existing journal segment is never overwritten.
    CreateOnly,
    /// A journal segment is read back if the response to its write was lost.
    JournalReadBack,
    /// A new owner reads the journal again if its first write finds an existing segment.
    ReloadAfterConflict,
    /// Trimming the journal keeps the first segment of each epoch, which fences former owners.
    FenceSurvivesTrim,
    /// The head of the manifest is read back if the response to a change was lost; the change
    /// number tells whether the change took effect.
    ReadBack,
    /// The head of the manifest is replaced only if it still has the revision that was read.
    HeadSwap,
    /// A rejected change is reported as unknown if the response to an earlier try was lost.
    UncertainChange,
    /// A process adopts only later versions of the manifest.
    VersionGrows,
    /// An entry daemon concludes that a request reached no owner only after every copy was refused.
    EveryCopy,
    /// An owner that returned a request no longer accepts that copy or earlier ones.
    ReturnStays,
    /// An owner assigns attempts found by the reconciliation to the request that they belong to.
    AdoptFound,
    /// Non-idempotent work that may have reached a former owner is not started by a later one.
    FirstEpoch,
    /// An owner keeps an answered request until its response has arrived.
    RememberAnswer,
    /// A leader's write takes effect only if no other leader and no other write came in between.
    CommitGuard,
    /// Workers reject start requests of an earlier term.
    TermFence,
    /// An attempt is sent to its worker only after its row in the store is durable.
    DurableIntent,
    /// The end of an attempt is acknowledged to its worker only after it is durable.
    DurableEnd,
    /// A new leader treats attempts in the rows as running until their workers have responded.
    InheritedAttempt,
    /// An attempt whose start was not confirmed is stopped before the task is retried elsewhere.
    StopBeforeRetry,
    /// No lease is extended from the moment at which the write of a bound is sent.
    BoundFromSending,
    /// A lease is extended again only after the removal of its bound is durable.
    DurableRemoval,
    /// A new leader extends no lease whose bound is in the store.
    InheritedBound,
    /// A new leader that finds no bound allows for a former leader that acts until its isolation
    /// ends.
    InheritedIsolation,
    /// A former leader can no longer write a bound.
    BoundGuard,
    /// A former leader counts as ended only once it has stopped.
    EndedFirst,
    /// A former leader that counts as ended does not begin later.
    EndedForGood,
    /// All former leaders that may act must have ended, not only the last one.
    SeriesOfLeaders,
    /// Leases last for their whole duration after the former leaders have ended.
    LeaseAfterEnd,
    /// Requests to a former incarnation may have been granted the longest lease of a worker.
    OtherLeases,
    /// Nothing is placed on an incarnation that may accept requests to a former one.
    FenceBeforePlacement,
    /// A row says that leases are bounded only once those of other requests are over.
    KnownLeases,
    /// A task of which a start may still be carried out starts on no other worker, unless its worker is
    /// gone.
    BindsTask,
    /// Such a task starts again only on an incarnation that refuses the former starts.
    FencesBeforeStart,
    /// The task's row tells the next leader of starts that may still be carried out.
    RowCarriesBinding,
    /// Once the starts can no longer be carried out, the worker must respond, or the longest lease pass.
    WaitsForResponseAfterDelay,
    /// A start is repeated only once the row has it.
    DurableRepeat,
    /// A new leader allows for starts that a former one sends until its isolation ends.
    DelayAfterIsolation,
    /// An end is acknowledged only once no start of its task can be carried out.
    EndAfterOpenStarts,
    /// A worker whose entry has been removed does not start again under its id while a start may be
    /// carried out.
    GoneForGood,
    /// A worker that runs an attempt of a task starts no other one that was meant for a former
    /// incarnation.
    OneRunAfterRestart,
    /// A start whose ticket may be of an incarnation that the leader has not heard from holds its task until the
    /// end of the ticket and the longest lease.
    UnidentifiedStartHolds,
    /// The longest lease counts from the end of the ticket, as a start may be carried out until then.
    LeaseAfterTicketEnds,
    /// Only a request that was sent after a ticket arrived tells of which incarnations the ticket can be.
    TicketBeforeRequest,
    /// A restart ends an attempt only if its ticket is known to be of a former incarnation.
    OnlyIdentifiedIsLost,
    /// A start may have been granted the longest lease by an incarnation that the leader heard from later.
    LongestLeaseAfterSwitch,
    /// The task's row tells the next leader whether the start was identified.
    RowSaysIdentified,
}

/// Mechanisms of the isolation rule.
const ISOLATION_MECHANISMS: &[Mutation] = &[
    Mutation::IsolationRule,
    Mutation::TakerHalf,
    Mutation::ExactHalf,
    Mutation::PassedOnNews,
    Mutation::RenewalDate,
    Mutation::ToldNews,
    Mutation::ToldHalf,
    Mutation::AgreedRoster,
    Mutation::JointRoster,
    Mutation::SettledRegistration,
];

/// Mechanisms of the bound on the leases of a worker that does not respond.
const LEASE_BOUNDS_MECHANISMS: &[Mutation] = &[
    Mutation::BoundFromSending,
    Mutation::DurableRemoval,
    Mutation::InheritedBound,
    Mutation::InheritedIsolation,
    Mutation::BoundGuard,
    Mutation::EndedFirst,
    Mutation::EndedForGood,
    Mutation::SeriesOfLeaders,
    Mutation::LeaseAfterEnd,
];

/// Mechanisms, and two assumptions, for starts that a later incarnation of the worker may carry out.
const OPEN_STARTS_MECHANISMS: &[Mutation] = &[
    Mutation::BindsTask,
    Mutation::FencesBeforeStart,
    Mutation::RowCarriesBinding,
    Mutation::WaitsForResponseAfterDelay,
    Mutation::DurableRepeat,
    Mutation::DelayAfterIsolation,
    Mutation::EndAfterOpenStarts,
    Mutation::GoneForGood,
    Mutation::OneRunAfterRestart,
];

/// Mechanisms for starts whose tickets are of the incarnation that the adviser knows.
const TICKETS_MECHANISMS: &[Mutation] = &[
    Mutation::UnidentifiedStartHolds,
    Mutation::LeaseAfterTicketEnds,
    Mutation::TicketBeforeRequest,
    Mutation::OnlyIdentifiedIsLost,
    Mutation::LongestLeaseAfterSwitch,
    Mutation::RowSaysIdentified,
];

/// Error for a text that is not the name of a mutation.
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

    /// Returns the mechanisms that a machine needs: without any one of them it violates a property.
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
            MachineName::Isolation => ISOLATION_MECHANISMS,
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
            MachineName::LeaseBounds => LEASE_BOUNDS_MECHANISMS,
            MachineName::Incarnations => {
                &[Self::OtherLeases, Self::FenceBeforePlacement, Self::KnownLeases]
            }
            MachineName::OpenStarts => OPEN_STARTS_MECHANISMS,
            MachineName::Tickets => TICKETS_MECHANISMS,
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
