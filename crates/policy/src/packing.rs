//! Bin packing: chooses the worker of a rack on which a task is placed.
//!
//! This is multi-dimensional best fit. It prefers the worker on which the least free capacity
//! remains and on which the remaining processors and memory are in proportion, so that neither is
//! left unusable for lack of the other. Workers with accelerators are avoided by tasks that need
//! none.

use {
    crate::fractions::{Fractions, fractions},
    damaskrack_model::Resources,
};

/// Weight of the imbalance of the remaining capacity, relative to its size.
const IMBALANCE_WEIGHT: f64 = 2.0;

/// Free capacity of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerFreeCapacity {
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Resources that are neither used nor reserved.
    pub free: Resources,
    /// Task slots that are neither used nor reserved.
    pub free_slots: u32,
    /// Whether the worker accepts new tasks.
    pub is_open: bool,
}

impl WorkerFreeCapacity {
    /// Tells whether a task can be placed on the worker now.
    ///
    /// # Examples
    ///
    /// ```
    /// use {damaskrack_model::Resources, damaskrack_policy::WorkerFreeCapacity};
    ///
    /// let free = Resources { millicores: 1_000, ..Resources::ZERO };
    /// let worker = WorkerFreeCapacity { capacity: free, free, free_slots: 0, is_open: true };
    /// assert!(!worker.fits(free));
    /// assert!(WorkerFreeCapacity { free_slots: 1, ..worker }.fits(free));
    /// ```
    #[must_use]
    pub fn fits(&self, need: Resources) -> bool {
        self.is_open && self.free_slots > 0 && self.free.covers(need)
    }

    /// Returns the cost of placing a task here; lower is better.
    fn placement_cost(&self, need: Resources) -> f64 {
        let remaining = fractions(self.free.saturating_sub(need), self.capacity);
        sum(remaining) + IMBALANCE_WEIGHT * (remaining[0] - remaining[1]).abs()
    }

    /// Tells whether a task that needs no accelerators would take processors and memory of a worker
    /// that has some, and so could leave accelerators unusable.
    fn strands_accelerators(&self, need: Resources) -> bool {
        need.accelerators == 0 && self.capacity.accelerators > 0
    }
}

fn sum(fractions: Fractions) -> f64 {
    fractions.into_iter().sum()
}

/// Chooses the worker for a task that needs `need`; returns `None` if it fits on none.
///
/// Among workers of equal cost the first is chosen, so the choice is deterministic.
///
/// # Examples
///
/// ```
/// use {damaskrack_model::Resources, damaskrack_policy::{WorkerFreeCapacity, choose_worker}};
///
/// let cores = |millicores| Resources { millicores, ..Resources::ZERO };
/// let worker = |free| WorkerFreeCapacity {
///     capacity: cores(16_000),
///     free: cores(free),
///     free_slots: 8,
///     is_open: true,
/// };
/// let workers = [worker(16_000), worker(500), worker(2_000)];
/// assert_eq!(choose_worker(&workers, cores(1_000)), Some(2));
/// assert_eq!(choose_worker(&workers, cores(17_000)), None);
/// ```
#[must_use]
pub fn choose_worker(workers: &[WorkerFreeCapacity], need: Resources) -> Option<usize> {
    workers
        .iter()
        .enumerate()
        .filter(|(_, worker)| worker.fits(need))
        .map(|(index, worker)| {
            (worker.strands_accelerators(need), worker.placement_cost(need), index)
        })
        .min_by(|left, right| {
            left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)).then(left.2.cmp(&right.2))
        })
        .map(|(_, _, index)| index)
}
