//! Why a worker may not run a task of a step.

/// Why a worker may not run a task of a step, or should not while there is another.
///
/// The conditions are in [`StepHosts`](super::step_hosts::StepHosts). Whoever chooses workers asks for the
/// reasons that count there, in one of the lists below, and has no conditions of its own.
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
    Room,
    /// The step's queue is kept apart from gangs, or the worker runs tasks that are kept apart.
    Segregation,
    /// The worker's leases may last long: if it is lost, a service stands still for too long.
    LongLease,
    /// The worker is not in the rack that holds the step's data.
    Rack,
    /// The worker is slow.
    Slowness,
    /// The worker runs more attempts than a suspect should be placed beside.
    Load,
}

impl WorkerExclusion {
    /// Reasons that do not depend on the step.
    pub(super) const OF_WORKER: &'static [Self] = &[Self::Registration, Self::Lease, Self::Backoff];
    /// Reasons that keep an available worker of the step's service from running a task now, without an
    /// adviser. A worker with enough free capacity is large enough.
    pub(super) const OF_AVAILABLE: &'static [Self] =
        &[Self::Probation, Self::Room, Self::Label, Self::Limit];
    /// Reasons for which another worker is preferred, the strongest first. They yield if there is none.
    pub(super) const SOFT: [Self; 4] =
        [Self::Segregation, Self::LongLease, Self::Rack, Self::Slowness];
    /// Reasons that keep a worker from running a task now.
    pub(super) const HARD: &'static [Self] = &[
        Self::Ticket,
        Self::Registration,
        Self::Lease,
        Self::Backoff,
        Self::Service,
        Self::Probation,
        Self::Room,
        Self::Label,
        Self::Limit,
    ];
    /// Reasons that keep a suspect off a worker where a test has just begun.
    pub(super) const OF_TEST: &'static [Self] = &[
        Self::Ticket,
        Self::Registration,
        Self::Lease,
        Self::Backoff,
        Self::Service,
        Self::Room,
        Self::Label,
        Self::Limit,
    ];
    /// Reasons for which an available worker is not among those that a suspect's worker is compared with.
    pub(super) const OF_CALMEST: &'static [Self] = &[Self::Probation, Self::Room, Self::Denial];
    /// Reasons for which the adviser is not asked about an available worker.
    pub(super) const OF_ADVICE: &'static [Self] = &[Self::Denial, Self::Capacity, Self::Label];
}
