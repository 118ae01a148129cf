//! Which borrowers yield when a team claims what it is entitled to.
//!
//! Only work that may run again is displaced, and only as far as its team stays at or above its
//! own entitlement; otherwise the victim would at once be entitled to displace in turn. Of what
//! remains, the cheapest goes first, and whatever turns out not to be needed stays.

use {
    damaskrack_model::{PriorityClass, Resources},
    std::cmp::{Ordering, Reverse},
};

/// Rounding error of shares that does not protect a borrower.
const SHARE_EPSILON: f64 = 1e-9;

/// An attempt that may have to yield.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PreemptionCandidate {
    /// Index of its team; rows of one team have the same.
    pub team: usize,
    /// How far the team's use of the cell is above its entitlement, as a dominant share.
    pub borrowed_share: f64,
    /// Dominant share of the cell that the attempt takes.
    pub share: f64,
    /// What it takes.
    pub resources: Resources,
    /// Its class.
    pub class: PriorityClass,
    /// Whether it may be stopped and run again.
    pub is_preemptible: bool,
    /// Whether a checkpoint keeps the work that it has done.
    pub is_checkpointable: bool,
    /// Time since it started, in milliseconds.
    pub age_ms: u64,
}

impl PreemptionCandidate {
    /// Work that is lost when it stops, in milliseconds.
    fn lost_ms(&self) -> u64 {
        if self.is_checkpointable { 0 } else { self.age_ms }
    }

    fn compare_cost(&self, other: &Self) -> Ordering {
        let cost = |row: &Self| (Reverse(row.is_checkpointable), row.class, row.lost_ms());
        cost(self).cmp(&cost(other)).then(self.age_ms.cmp(&other.age_ms))
    }
}

/// What is still missing on a worker.
#[derive(Debug, Clone, Copy)]
struct RoomGap {
    resources: Resources,
    slots: u32,
}

impl RoomGap {
    fn is_closed(self) -> bool {
        self.slots == 0 && self.resources == Resources::ZERO
    }

    fn is_narrowed_by(self, row: &PreemptionCandidate) -> bool {
        let helps = |lacking: u64, freed: u64| lacking > 0 && freed > 0;
        self.slots > 0
            || helps(self.resources.millicores, row.resources.millicores)
            || helps(self.resources.memory_bytes, row.resources.memory_bytes)
            || helps(self.resources.accelerators, row.resources.accelerators)
    }

    fn after(self, row: &PreemptionCandidate) -> Self {
        Self {
            resources: self.resources.saturating_sub(row.resources),
            slots: self.slots.saturating_sub(1),
        }
    }
}

/// Chooses victims on one worker so that `need` and `slots_lacking` become free.
///
/// Returns their indices, cheapest first, or `None` if displacing every eligible candidate would
/// not suffice. No team is brought below its entitlement, and no victim is superfluous.
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
/// let row = |millicores, age_ms| PreemptionCandidate {
///     team: 0,
///     borrowed_share: 0.5,
///     share: 0.1,
///     resources: cores(millicores),
///     class: PriorityClass::Normal,
///     is_preemptible: true,
///     is_checkpointable: true,
///     age_ms,
/// };
/// let candidates = [row(500, 1), row(2_000, 2), row(2_000, 3)];
/// assert_eq!(choose_victims(&candidates, cores(2_000), 0), Some(vec![1]));
/// assert_eq!(choose_victims(&candidates, cores(5_000), 0), None);
/// ```
#[must_use]
pub fn choose_victims(
    candidates: &[PreemptionCandidate],
    need: Resources,
    slots_lacking: u32,
) -> Option<Vec<usize>> {
    let gap = RoomGap { resources: need, slots: slots_lacking };
    let chosen = gather_victims(candidates, gap)?;
    Some(drop_superfluous(candidates, chosen, gap))
}

fn gather_victims(candidates: &[PreemptionCandidate], mut gap: RoomGap) -> Option<Vec<usize>> {
    let mut order: Vec<usize> =
        (0..candidates.len()).filter(|&index| candidates[index].is_preemptible).collect();
    order.sort_by(|&left, &right| {
        candidates[left].compare_cost(&candidates[right]).then(left.cmp(&right))
    });
    let mut chosen: Vec<usize> = Vec::new();
    for index in order {
        if gap.is_closed() {
            break;
        }
        let row = &candidates[index];
        if gap.is_narrowed_by(row) && may_yield(candidates, &chosen, row) {
            gap = gap.after(row);
            chosen.push(index);
        }
    }
    gap.is_closed().then_some(chosen)
}

/// Tells whether the row's team stays at its entitlement after the chosen rows and this one.
fn may_yield(
    candidates: &[PreemptionCandidate],
    chosen: &[usize],
    row: &PreemptionCandidate,
) -> bool {
    let taken: f64 = chosen
        .iter()
        .map(|&index| &candidates[index])
        .filter(|other| other.team == row.team)
        .map(|other| other.share)
        .sum();
    row.borrowed_share - taken - row.share >= -SHARE_EPSILON
}

/// Drops victims that are not needed, the most expensive first.
fn drop_superfluous(
    candidates: &[PreemptionCandidate],
    chosen: Vec<usize>,
    gap: RoomGap,
) -> Vec<usize> {
    let mut kept = chosen;
    for position in (0..kept.len()).rev() {
        let rest = kept.iter().enumerate().filter(|&(other, _)| other != position);
        let left = rest.fold(gap, |gap, (_, &index)| gap.after(&candidates[index]));
        if left.is_closed() {
            kept.remove(position);
        }
    }
    kept
}
