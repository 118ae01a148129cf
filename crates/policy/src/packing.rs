//! Which worker of a rack takes a task.
//!
//! Best fit by shape: the worker on which the least is left over, and on which what is left over
//! is in proportion, so that processors do not remain without memory or memory without
//! processors. Workers with accelerators are kept for work that needs them.

use {
    crate::shape::{Fractions, fractions},
    damaskrack_model::Resources,
};

/// How much an unbalanced rest weighs against a large one.
const IMBALANCE_WEIGHT: f64 = 2.0;

/// Room on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerFreeCapacity {
    /// What it has.
    pub capacity: Resources,
    /// What is neither used nor promised.
    pub free: Resources,
    /// Task slots that are neither used nor promised.
    pub free_slots: u32,
    /// Whether it takes new work.
    pub is_open: bool,
}

impl WorkerFreeCapacity {
    /// Tells whether the worker can take a task now.
    ///
    /// # Examples
    ///
    /// ```
    /// use {damaskrack_model::Resources, damaskrack_policy::WorkerFreeCapacity};
    ///
    /// let free = Resources { millicores: 1_000, ..Resources::ZERO };
    /// let room = WorkerFreeCapacity { capacity: free, free, free_slots: 0, is_open: true };
    /// assert!(!room.fits(free));
    /// assert!(WorkerFreeCapacity { free_slots: 1, ..room }.fits(free));
    /// ```
    #[must_use]
    pub fn fits(&self, need: Resources) -> bool {
        self.is_open && self.free_slots > 0 && self.free.covers(need)
    }

    /// Rates how badly a task fits; lower is better.
    fn misfit(&self, need: Resources) -> f64 {
        let rest = fractions(self.free.saturating_sub(need), self.capacity);
        rest_size(rest) + IMBALANCE_WEIGHT * (rest[0] - rest[1]).abs()
    }

    /// Tells whether the task would occupy accelerators' neighbours without using them.
    fn strands_accelerators(&self, need: Resources) -> bool {
        need.accelerators == 0 && self.capacity.accelerators > 0
    }
}

fn rest_size(rest: Fractions) -> f64 {
    rest.into_iter().sum()
}

/// Chooses the worker for a task that needs `need`; `None` if it fits nowhere.
///
/// Of equal workers the first is taken, so the choice is the same every time.
///
/// # Examples
///
/// ```
/// use {damaskrack_model::Resources, damaskrack_policy::{WorkerFreeCapacity, choose_worker}};
///
/// let cores = |millicores| Resources { millicores, ..Resources::ZERO };
/// let room = |free| WorkerFreeCapacity {
///     capacity: cores(16_000),
///     free: cores(free),
///     free_slots: 8,
///     is_open: true,
/// };
/// let rooms = [room(16_000), room(500), room(2_000)];
/// assert_eq!(choose_worker(&rooms, cores(1_000)), Some(2));
/// assert_eq!(choose_worker(&rooms, cores(17_000)), None);
/// ```
#[must_use]
pub fn choose_worker(workers: &[WorkerFreeCapacity], need: Resources) -> Option<usize> {
    workers
        .iter()
        .enumerate()
        .filter(|(_, room)| room.fits(need))
        .map(|(index, room)| (room.strands_accelerators(need), room.misfit(need), index))
        .min_by(|left, right| {
            left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)).then(left.2.cmp(&right.2))
        })
        .map(|(_, _, index)| index)
}
