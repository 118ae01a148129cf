//! Which racks a queue owner asks for room, in which order.
//!
//! Summaries lag, so several queue owners that all chose the one best rack would collide there
//! and be refused. Each looks at a few racks drawn at random instead and takes the best of those:
//! collisions become rare and the cost does not grow with the number of racks.

use {crate::shape::fractions, damaskrack_model::Resources, std::cmp::Ordering};

/// Most racks that are ranked.
pub const MAX_CANDIDATES: usize = 4;

/// Racks that are compared, in the sense of "power of d choices".
const SAMPLE_SIZE: usize = 3;

/// Most racks that are looked at to find that many with room.
const MAX_LOOKS: usize = 64;

/// What a queue owner knows about a rack.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RackFreeCapacity {
    /// Whether it takes work.
    pub is_open: bool,
    /// What all its workers have.
    pub capacity: Resources,
    /// What is free, summed over its workers.
    pub free: Resources,
    /// Free task slots, summed over its workers.
    pub free_slots: u32,
    /// What is free on the worker with the most room.
    pub largest_free: Resources,
    /// Largest capacity of one of its workers.
    pub largest_worker: Resources,
    /// Tasks of the same job in the rack's availability zone. Services fill this in so that they
    /// spread over zones; for other work it is 0.
    pub same_job_tasks: u32,
}

impl RackFreeCapacity {
    fn fits(&self, need: Resources) -> bool {
        self.is_open && self.free_slots > 0 && self.largest_free.covers(need)
    }

    fn could_hold(&self, need: Resources) -> bool {
        self.is_open && self.largest_worker.covers(need)
    }

    /// Rates how badly a task fits the rack; lower is better.
    fn misfit(&self, need: Resources) -> (bool, f64) {
        let strands = need.accelerators == 0 && self.capacity.accelerators > 0;
        let rest = fractions(self.free.saturating_sub(need), self.capacity);
        (strands, rest.into_iter().sum::<f64>() + (rest[0] - rest[1]).abs())
    }
}

/// Ranks up to [`MAX_CANDIDATES`] racks that have room for a task, best first.
///
/// `draw` is a random number that decides which racks are looked at.
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
        compare_fit(&racks[left], &racks[right], need).then(left.cmp(&right))
    });
    sample.truncate(MAX_CANDIDATES);
    sample
}

/// Ranks up to [`MAX_CANDIDATES`] racks whose workers could hold a task if others yielded.
///
/// This is for work of a team below its entitlement when no rack has room: the rack owner
/// displaces borrowers. Racks with more free room need fewer victims and come first.
///
/// # Examples
///
/// ```
/// use {damaskrack_model::Resources, damaskrack_policy::{RackFreeCapacity, rank_full_racks, rank_racks}};
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
    // The sort is stable, so equal racks keep the random order of the sample and load spreads.
    sample.sort_by(|&left, &right| compare_room(&racks[left], &racks[right], need));
    sample.truncate(MAX_CANDIDATES);
    sample
}

fn compare_fit(left: &RackFreeCapacity, right: &RackFreeCapacity, need: Resources) -> Ordering {
    let (left_strands, left_misfit) = left.misfit(need);
    let (right_strands, right_misfit) = right.misfit(need);
    left.same_job_tasks
        .cmp(&right.same_job_tasks)
        .then(left_strands.cmp(&right_strands))
        .then(left_misfit.total_cmp(&right_misfit))
}

fn compare_room(left: &RackFreeCapacity, right: &RackFreeCapacity, need: Resources) -> Ordering {
    let room = |rack: &RackFreeCapacity| rack.largest_free.dominant_share(rack.largest_worker);
    let strands = |rack: &RackFreeCapacity| rack.misfit(need).0;
    left.same_job_tasks
        .cmp(&right.same_job_tasks)
        .then(strands(left).cmp(&strands(right)))
        .then(room(right).total_cmp(&room(left)))
}

/// Looks at racks in a random order until enough pass.
///
/// The order is a walk with a stride that has no factor in common with the number of racks, so
/// no rack is looked at twice and nothing is allocated but the result.
fn sample_racks(
    racks: &[RackFreeCapacity],
    draw: u64,
    passes: impl Fn(&RackFreeCapacity) -> bool,
) -> Vec<usize> {
    let mut sample = Vec::with_capacity(SAMPLE_SIZE);
    if racks.is_empty() {
        return sample;
    }
    let count = racks.len();
    let start = usize::try_from(draw % count as u64).unwrap_or(0);
    let stride = walk_stride(count, draw >> 32);
    let mut index = start;
    for _ in 0..count.min(MAX_LOOKS) {
        if passes(&racks[index]) {
            sample.push(index);
            if sample.len() == SAMPLE_SIZE {
                break;
            }
        }
        index = (index + stride) % count;
    }
    sample
}

fn walk_stride(count: usize, draw: u64) -> usize {
    let first = usize::try_from(draw % count as u64).unwrap_or(0).max(1);
    (first..first + count).find(|&stride| common_divisor(stride, count) == 1).unwrap_or(1)
}

fn common_divisor(left: usize, right: usize) -> usize {
    if right == 0 { left } else { common_divisor(right, left % right) }
}
