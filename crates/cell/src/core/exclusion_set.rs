//! Sets of reasons why a worker may not run a task.

use {super::worker_exclusion::WorkerExclusion, std::iter};

/// Reservations, the last of the hard reasons. Nearly all placements have none, and looking for them at each worker
/// takes a sixth longer.
const RESERVATION: u32 = 1 << WorkerExclusion::Reservation as u32;

/// A set of reasons why a worker may not run a task, or should not.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExclusionSet(u32);

impl ExclusionSet {
    /// The reasons that never yield, also not to want of another worker.
    pub(super) const HARD: Self = {
        let mut set = 0;
        let mut index = 0;
        while index < WorkerExclusion::ALL.len() {
            let reason = WorkerExclusion::ALL[index];
            assert!(reason as usize == index, "all reasons are in the order of their declaration");
            if !reason.is_soft() {
                set |= 1_u32 << index;
            }
            index += 1;
        }
        Self(set)
    };
    /// What may keep a worker with a ticket from running a task now.
    pub(super) const TO_START: Self = Self::HARD;
    /// What may keep an available worker of the step's service from running a task now; what it has to do
    /// with the worker alone is known.
    pub(super) const TO_START_ON_AVAILABLE: Self =
        Self::HARD.but(&WorkerExclusion::OF_AVAILABILITY);
    /// What may keep a worker from running a task once others there have been stopped.
    pub(super) const TO_START_AFTER_STOPS: Self =
        Self::HARD.but(&[WorkerExclusion::FreeCapacity, WorkerExclusion::Reservation]);
    /// What may keep a worker from running a task once it has a ticket and others there have been stopped.
    pub(super) const TO_START_WITH_TICKET_AFTER_STOPS: Self =
        Self::TO_START_AFTER_STOPS.but(&[WorkerExclusion::Ticket]);
    /// What may keep a suspect from joining a test that has just begun on a worker.
    pub(super) const TO_JOIN_TEST: Self = Self::HARD.but(&[WorkerExclusion::Probation]);
    /// What may keep an available worker of the step's service from running a task once it has a ticket.
    pub(super) const TO_START_WITH_TICKET: Self =
        Self::TO_START_ON_AVAILABLE.but(&[WorkerExclusion::Ticket]);

    /// What may keep a worker from running a task once tasks there have ended and it has a ticket.
    pub(super) const TO_START_LATER: Self =
        Self::HARD.but(&[WorkerExclusion::Ticket, WorkerExclusion::FreeCapacity]);

    /// Returns the set without some reasons.
    const fn but(self, reasons: &[WorkerExclusion]) -> Self {
        let mut set = self.0;
        let mut index = 0;
        while index < reasons.len() {
            set &= !(1 << reasons[index] as u32);
            index += 1;
        }
        Self(set)
    }

    /// Returns whether reservations are among the reasons.
    pub(super) const fn has_reservation(self) -> bool {
        self.0 & RESERVATION != 0
    }

    /// Returns the reasons of the set but reservations, in the order in which they are looked for.
    pub(super) fn without_reservation(self) -> impl Iterator<Item = WorkerExclusion> {
        let mut left = self.0 & !RESERVATION;
        iter::from_fn(move || {
            let index = left.trailing_zeros() as usize;
            left &= left.saturating_sub(1);
            WorkerExclusion::ALL.get(index).copied()
        })
    }
}
