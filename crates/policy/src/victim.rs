//! Preemption: chooses the attempts that are stopped to make capacity for a team below its
//! entitlement.
//!
//! Only work that may run again is preempted, and only while its team stays at or above its own
//! entitlement; otherwise that team would at once be entitled to preempt in turn. The cheapest
//! eligible attempts are chosen first, and any that turn out not to be needed are dropped.

use {
    damaskrack_model::{PriorityClass, Resources},
    std::cmp::{Ordering, Reverse},
};

/// Largest rounding error by which a team may appear to fall below its entitlement.
const SHARE_EPSILON: f64 = 1e-9;

/// A running attempt that may be preempted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PreemptionCandidate {
    /// Index of its team; candidates of one team have the same index.
    pub team: usize,
    /// Amount by which its team's use of the cell exceeds the entitlement, as a dominant share.
    pub borrowed_share: f64,
    /// Dominant share of the cell that it uses.
    pub share: f64,
    /// Resources that it uses.
    pub resources: Resources,
    /// Its priority class.
    pub class: PriorityClass,
    /// Whether it may be stopped and run again.
    pub is_preemptible: bool,
    /// Whether a checkpoint preserves the work that it has done.
    pub is_checkpointable: bool,
    /// Time since it started, in milliseconds.
    pub age_ms: u64,
}

impl PreemptionCandidate {
    /// Returns the work that is lost when it is stopped, in milliseconds.
    fn lost_ms(&self) -> u64 {
        if self.is_checkpointable { 0 } else { self.age_ms }
    }

    /// Orders candidates by the cost of preempting them.
    fn compare_cost(&self, other: &Self) -> Ordering {
        let cost = |candidate: &Self| {
            (Reverse(candidate.is_checkpointable), candidate.class, candidate.lost_ms())
        };
        cost(self).cmp(&cost(other)).then(self.age_ms.cmp(&other.age_ms))
    }
}

/// Resources and slots that are still lacking on a worker.
#[derive(Debug, Clone, Copy)]
struct CapacityShortfall {
    resources: Resources,
    slots: u32,
}

impl CapacityShortfall {
    fn is_covered(self) -> bool {
        self.slots == 0 && self.resources == Resources::ZERO
    }

    fn is_reduced_by(self, candidate: &PreemptionCandidate) -> bool {
        let reduces = |lacking: u64, freed: u64| lacking > 0 && freed > 0;
        self.slots > 0
            || reduces(self.resources.millicores, candidate.resources.millicores)
            || reduces(self.resources.memory_bytes, candidate.resources.memory_bytes)
            || reduces(self.resources.accelerators, candidate.resources.accelerators)
    }

    fn without(self, candidate: &PreemptionCandidate) -> Self {
        Self {
            resources: self.resources.saturating_sub(candidate.resources),
            slots: self.slots.saturating_sub(1),
        }
    }
}

/// Chooses victims on one worker so that `need` and `slots_lacking` become free.
///
/// Returns their indices, cheapest first, or `None` if preempting every eligible candidate would
/// not suffice. No team is brought below its entitlement, and every victim is needed.
///
/// # Examples
///
/// ```
/// use {
///     damaskrack_model::{PriorityClass, Resources},
///     damaskrack_policy::{PreemptionCandidate, choose_victims},
/// };
///
/// let cores = |millicores| Resources { millicores, ..Resources::ZERO };
/// let candidate = |millicores, age_ms| PreemptionCandidate {
///     team: 0,
///     borrowed_share: 0.5,
///     share: 0.1,
///     resources: cores(millicores),
///     class: PriorityClass::Normal,
///     is_preemptible: true,
///     is_checkpointable: true,
///     age_ms,
/// };
/// let candidates = [candidate(500, 1), candidate(2_000, 2), candidate(2_000, 3)];
/// assert_eq!(choose_victims(&candidates, cores(2_000), 0), Some(vec![1]));
/// assert_eq!(choose_victims(&candidates, cores(5_000), 0), None);
/// ```
#[must_use]
pub fn choose_victims(
    candidates: &[PreemptionCandidate],
    need: Resources,
    slots_lacking: u32,
) -> Option<Vec<usize>> {
    let shortfall = CapacityShortfall { resources: need, slots: slots_lacking };
    let chosen = select_victims(candidates, shortfall)?;
    Some(drop_unneeded(candidates, chosen, shortfall))
}

/// Chooses the cheapest eligible candidates until the shortfall is covered.
fn select_victims(
    candidates: &[PreemptionCandidate],
    mut shortfall: CapacityShortfall,
) -> Option<Vec<usize>> {
    let mut order: Vec<usize> =
        (0..candidates.len()).filter(|&index| candidates[index].is_preemptible).collect();
    order.sort_by(|&left, &right| {
        candidates[left].compare_cost(&candidates[right]).then(left.cmp(&right))
    });
    let mut chosen: Vec<usize> = Vec::new();
    for index in order {
        if shortfall.is_covered() {
            break;
        }
        let candidate = &candidates[index];
        if shortfall.is_reduced_by(candidate) && keeps_entitlement(candidates, &chosen, candidate) {
            shortfall = shortfall.without(candidate);
            chosen.push(index);
        }
    }
    shortfall.is_covered().then_some(chosen)
}

/// Tells whether the candidate's team stays at or above its entitlement when the candidate is
/// preempted as well as the victims chosen so far.
fn keeps_entitlement(
    candidates: &[PreemptionCandidate],
    chosen: &[usize],
    candidate: &PreemptionCandidate,
) -> bool {
    let taken: f64 = chosen
        .iter()
        .map(|&index| &candidates[index])
        .filter(|other| other.team == candidate.team)
        .map(|other| other.share)
        .sum();
    candidate.borrowed_share - taken - candidate.share >= -SHARE_EPSILON
}

/// Drops victims that are not needed, starting with the most expensive.
fn drop_unneeded(
    candidates: &[PreemptionCandidate],
    chosen: Vec<usize>,
    shortfall: CapacityShortfall,
) -> Vec<usize> {
    let mut kept = chosen;
    for position in (0..kept.len()).rev() {
        let others = kept.iter().enumerate().filter(|&(other, _)| other != position);
        let uncovered =
            others.fold(shortfall, |shortfall, (_, &index)| shortfall.without(&candidates[index]));
        if uncovered.is_covered() {
            kept.remove(position);
        }
    }
    kept
}
