//! Ranks the racks on which a queue owner tries to place a task.
//!
//! The summaries that queue owners see may be out of date, so several owners that all chose the one
//! best rack would collide there and be refused. Each owner instead samples a few racks at random
//! and ranks those: collisions become rare and the cost does not grow with the number of racks.

use {crate::fractions::fractions, damaskrack_model::Resources, std::cmp::Ordering};

/// Most racks that are returned.
pub const MAX_CANDIDATES: usize = 4;

/// Number of suitable racks that are compared: the d of "power of d choices".
const SAMPLE_SIZE: usize = 3;

/// Most racks that are examined to find that many.
const MAX_EXAMINED: usize = 64;

/// Free capacity of a rack as a queue owner knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RackFreeCapacity {
    /// Whether the rack accepts tasks.
    pub is_open: bool,
    /// Total resources of its workers.
    pub capacity: Resources,
    /// Free resources, summed over its workers.
    pub free: Resources,
    /// Free task slots, summed over its workers.
    pub free_slots: u32,
    /// Free resources of the worker that has the most.
    pub largest_free: Resources,
    /// Largest capacity of one of its workers.
    pub largest_worker: Resources,
    /// Number of tasks of the same job in the rack's availability zone. It is set for services, so
    /// that their tasks spread over zones; for other work it is 0.
    pub same_job_tasks: u32,
}

impl RackFreeCapacity {
    fn fits(&self, need: Resources) -> bool {
        self.is_open && self.free_slots > 0 && self.largest_free.covers(need)
    }

    fn could_hold(&self, need: Resources) -> bool {
        self.is_open && self.largest_worker.covers(need)
    }

    /// Returns the cost of placing a task here, lower being better: first whether it takes capacity
    /// beside accelerators that it does not need, then how much and how unbalanced the remaining
    /// capacity is.
    fn placement_cost(&self, need: Resources) -> (bool, f64) {
        let is_stranding = need.accelerators == 0 && self.capacity.accelerators > 0;
        let remaining = fractions(self.free.saturating_sub(need), self.capacity);
        (is_stranding, remaining.into_iter().sum::<f64>() + (remaining[0] - remaining[1]).abs())
    }
}

/// Ranks up to [`MAX_CANDIDATES`] racks that have free capacity for a task, best first.
///
/// `draw` is a random number that determines which racks are sampled.
///
/// # Examples
///
/// ```
/// use {damaskrack_model::Resources, damaskrack_policy::{RackFreeCapacity, rank_racks}};
///
/// let cores = |millicores| Resources { millicores, ..Resources::ZERO };
/// let rack = |free, same_job_tasks| RackFreeCapacity {
///     is_open: true,
///     capacity: cores(128_000),
///     free: cores(free),
///     free_slots: 8,
///     largest_free: cores(free),
///     largest_worker: cores(16_000),
///     same_job_tasks,
/// };
/// let racks = [rack(8_000, 0), rack(100, 0), rack(4_000, 0), rack(1_000, 2)];
/// assert_eq!(rank_racks(&racks, cores(1_000), 7), [2, 0, 3]);
/// ```
#[must_use]
pub fn rank_racks(racks: &[RackFreeCapacity], need: Resources, draw: u64) -> Vec<usize> {
    let mut sample = sample_racks(racks, draw, |rack| rack.fits(need));
    sample.sort_by(|&left, &right| {
        compare_cost(&racks[left], &racks[right], need).then(left.cmp(&right))
    });
    sample.truncate(MAX_CANDIDATES);
    sample
}

/// Ranks up to [`MAX_CANDIDATES`] racks that could hold a task if other tasks were preempted.
///
/// This serves a team below its entitlement when no rack has free capacity: the rack owner then
/// preempts tasks of teams above theirs. Racks with more free capacity need fewer victims and come
/// first.
///
/// # Examples
///
/// ```
/// use {
///     damaskrack_model::Resources,
///     damaskrack_policy::{RackFreeCapacity, rank_full_racks, rank_racks},
/// };
///
/// let cores = |millicores| Resources { millicores, ..Resources::ZERO };
/// let full = RackFreeCapacity {
///     is_open: true,
///     capacity: cores(128_000),
///     free: cores(0),
///     free_slots: 0,
///     largest_free: cores(0),
///     largest_worker: cores(16_000),
///     same_job_tasks: 0,
/// };
/// assert!(rank_racks(&[full], cores(1_000), 7).is_empty());
/// assert_eq!(rank_full_racks(&[full], cores(1_000), 7), [0]);
/// ```
#[must_use]
pub fn rank_full_racks(racks: &[RackFreeCapacity], need: Resources, draw: u64) -> Vec<usize> {
    let mut sample = sample_racks(racks, draw, |rack| rack.could_hold(need));
    // The sort is stable, so equal racks keep the random order of the sample, which spreads load.
    sample.sort_by(|&left, &right| compare_free(&racks[left], &racks[right], need));
    sample.truncate(MAX_CANDIDATES);
    sample
}

fn compare_cost(left: &RackFreeCapacity, right: &RackFreeCapacity, need: Resources) -> Ordering {
    let (left_stranding, left_cost) = left.placement_cost(need);
    let (right_stranding, right_cost) = right.placement_cost(need);
    left.same_job_tasks
        .cmp(&right.same_job_tasks)
        .then(left_stranding.cmp(&right_stranding))
        .then(left_cost.total_cmp(&right_cost))
}

fn compare_free(left: &RackFreeCapacity, right: &RackFreeCapacity, need: Resources) -> Ordering {
    let free = |rack: &RackFreeCapacity| rack.largest_free.dominant_share(rack.largest_worker);
    let is_stranding = |rack: &RackFreeCapacity| rack.placement_cost(need).0;
    left.same_job_tasks
        .cmp(&right.same_job_tasks)
        .then(is_stranding(left).cmp(&is_stranding(right)))
        .then(free(right).total_cmp(&free(left)))
}

/// Examines racks in a random order until enough are suitable.
///
/// The stride between racks is coprime to their number, so no rack is examined twice and only the
/// result is allocated.
fn sample_racks(
    racks: &[RackFreeCapacity],
    draw: u64,
    is_suitable: impl Fn(&RackFreeCapacity) -> bool,
) -> Vec<usize> {
    let mut sample = Vec::with_capacity(SAMPLE_SIZE);
    if racks.is_empty() {
        return sample;
    }
    let count = racks.len();
    let start = usize::try_from(draw % count as u64).unwrap_or(0);
    let stride = random_stride(count, draw >> 32);
    let mut index = start;
    for _ in 0..count.min(MAX_EXAMINED) {
        if is_suitable(&racks[index]) {
            sample.push(index);
            if sample.len() == SAMPLE_SIZE {
                break;
            }
        }
        index = (index + stride) % count;
    }
    sample
}

/// Returns a random stride that is coprime to `count`.
fn random_stride(count: usize, draw: u64) -> usize {
    let first = usize::try_from(draw % count as u64).unwrap_or(0).max(1);
    (first..first + count).find(|&stride| greatest_common_divisor(stride, count) == 1).unwrap_or(1)
}

fn greatest_common_divisor(left: usize, right: usize) -> usize {
    if right == 0 { left } else { greatest_common_divisor(right, left % right) }
}
