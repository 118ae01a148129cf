//! Why a worker may not run a task of a step.

/// Why a worker may not run a task of a step, or should not while there is another.
///
/// The conditions are in [`StepHosts`](super::step_hosts::StepHosts). Whoever chooses workers asks for all
/// reasons but those that an [`ExclusionSet`](super::exclusion_set::ExclusionSet) leaves out, and has no
/// conditions of its own, so a new reason counts everywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WorkerExclusion {
    /// The worker is not registered, shuts down, or is in a closed zone.
    Registration,
    /// The worker has not responded to this leader, or not lately, or a former leader's leases hold.
    Lease,
    /// The worker keeps failing or refusing tasks.
    Backoff,
    /// The worker belongs to another service.
    Service,
    /// The worker does not have the required label.
    Label,
    /// The worker is too small, even if it ran nothing else.
    Capacity,
    /// The adviser denies the worker.
    Denial,
    /// The queue has an adviser, and there is no valid ticket for the worker.
    Ticket,
    /// A suspect is tested on the worker.
    Probation,
    /// The worker runs as many tasks of the step as it may.
    Limit,
    /// The worker has too little free capacity.
    FreeCapacity,
    /// What is free on the worker is reserved for other steps.
    Reservation,
    /// The step's queue is kept apart from gangs, or the worker runs tasks that are kept apart.
    Segregation,
    /// The worker's leases may last long: if it is lost, a service stands still for too long.
    LongLease,
    /// The worker is not in the rack that holds the step's data.
    Rack,
    /// The worker is so slow, always or at present, that the job would end late.
    Slowness,
    /// The worker runs more attempts than a suspect should be placed beside.
    Load,
}

impl WorkerExclusion {
    /// All reasons, in the order in which they are looked for: those that end with other tasks are the last
    /// of the hard ones, so the others do not hold when one of these is found.
    pub(super) const ALL: [Self; 17] = [
        Self::Registration,
        Self::Lease,
        Self::Backoff,
        Self::Service,
        Self::Label,
        Self::Capacity,
        Self::Denial,
        Self::Ticket,
        Self::Probation,
        Self::Limit,
        Self::FreeCapacity,
        Self::Reservation,
        Self::Segregation,
        Self::LongLease,
        Self::Rack,
        Self::Slowness,
        Self::Load,
    ];
    /// Reasons that do not depend on the step.
    pub(super) const OF_WORKER: [Self; 3] = [Self::Registration, Self::Lease, Self::Backoff];
    /// Reasons that hold for no available worker of the step's service.
    pub(super) const OF_AVAILABILITY: [Self; 4] =
        [Self::Registration, Self::Lease, Self::Backoff, Self::Service];
    /// Reasons for which another worker is preferred for any task, the strongest first.
    pub(super) const OF_PREFERENCE: [Self; 4] =
        [Self::Segregation, Self::LongLease, Self::Slowness, Self::Rack];

    /// Returns the log event of a step that waits for this reason to end.
    pub(super) const fn wait_event(self) -> &'static str {
        match self {
            Self::Registration => "step_waits_for_registration",
            Self::Lease => "step_waits_for_lease",
            Self::Backoff => "step_waits_for_backoff",
            Self::Service => "step_waits_for_service",
            Self::Label => "step_waits_for_label",
            Self::Capacity => "step_waits_for_capacity",
            Self::Denial => "step_waits_for_other_workers",
            Self::Ticket => "step_waits_for_ticket",
            Self::Probation => "step_waits_for_probation",
            Self::Limit => "step_waits_for_worker_limit",
            Self::FreeCapacity => "step_waits_for_free_capacity",
            Self::Reservation => "step_waits_for_reserved_capacity",
            Self::Segregation | Self::LongLease | Self::Rack | Self::Slowness | Self::Load => {
                "step_waits_for_preference"
            }
        }
    }

    /// Returns whether the reason yields if no other worker may run the task.
    pub(super) const fn is_soft(self) -> bool {
        match self {
            Self::Registration
            | Self::Lease
            | Self::Backoff
            | Self::Service
            | Self::Label
            | Self::Capacity
            | Self::Denial
            | Self::Ticket
            | Self::Probation
            | Self::Limit
            | Self::FreeCapacity
            | Self::Reservation => false,
            Self::Segregation | Self::LongLease | Self::Rack | Self::Slowness | Self::Load => true,
        }
    }
}
