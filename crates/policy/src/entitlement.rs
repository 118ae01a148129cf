//! What part of the cell each team is entitled to.
//!
//! Weighted dominant-resource fairness by progressive filling: the dominant shares of all teams
//! grow together, in proportion to their weights, until a team has all it wants or a resource
//! that it needs is used up. What one team leaves is thereby lent to the others by weight. Unlike
//! a split of each resource on its own, this gives a team no reason to overstate a demand.

use {
    crate::shape::{Fractions, RESOURCE_COUNT, dominant, fractions},
    damaskrack_model::Resources,
};

/// Rounding error that is not worth another round of filling.
const FILL_EPSILON: f64 = 1e-12;

/// What a team asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TeamDemand {
    /// Weight of its share, at least 1.
    pub weight: u32,
    /// What its running and waiting work takes.
    pub wanted: Resources,
    /// Its upper limit.
    pub limit: Resources,
}

/// A team during filling.
#[derive(Debug)]
struct TeamFill {
    weight: f64,
    /// Use of each resource for a dominant share of 1.
    profile: Fractions,
    /// Dominant share that the team can use at most.
    ceiling: f64,
    share: f64,
    is_growing: bool,
}

/// Returns the dominant share of the cell that each team is entitled to, in the order of
/// `demands`.
///
/// No share exceeds the team's demand or limit, the shares together exceed no resource, and no
/// share is below the smaller of the team's demand and its fraction of all weights.
///
/// # Examples
///
/// ```
/// use {damaskrack_model::Resources, damaskrack_policy::{TeamDemand, entitlements}};
///
/// let cores = |millicores| Resources { millicores, ..Resources::ZERO };
/// let team = |weight, wanted| TeamDemand {
///     weight,
///     wanted: cores(wanted),
///     limit: cores(u64::MAX),
/// };
/// let shares = entitlements(cores(100), &[team(1, 10), team(1, 100), team(2, 100)]);
/// assert!((shares[0] - 0.1).abs() < 1e-9);
/// assert!((shares[1] - 0.3).abs() < 1e-9);
/// assert!((shares[2] - 0.6).abs() < 1e-9);
/// ```
#[must_use]
pub fn entitlements(capacity: Resources, demands: &[TeamDemand]) -> Vec<f64> {
    let mut fills: Vec<TeamFill> =
        demands.iter().map(|demand| TeamFill::new(capacity, demand)).collect();
    let mut left: Fractions = [1.0; RESOURCE_COUNT];
    // Each round stops a team or uses up a resource, which bounds their number.
    for _ in 0..fills.len() + RESOURCE_COUNT {
        if !fill_round(&mut fills, &mut left) {
            break;
        }
    }
    fills.into_iter().map(|fill| fill.share).collect()
}

impl TeamFill {
    fn new(capacity: Resources, demand: &TeamDemand) -> Self {
        let usable = lesser(demand.wanted, demand.limit);
        let shares = fractions(usable, capacity);
        let largest = dominant(shares);
        let profile = if largest > 0.0 { shares.map(|share| share / largest) } else { shares };
        Self {
            weight: f64::from(demand.weight.max(1)),
            profile,
            ceiling: largest.min(1.0),
            share: 0.0,
            is_growing: largest > 0.0,
        }
    }

    fn uses(&self, resource: usize) -> bool {
        self.profile[resource] > 0.0
    }

    fn grow(&mut self, level: f64) {
        self.share = (self.share + self.weight * level).min(self.ceiling);
        if self.ceiling - self.share <= FILL_EPSILON {
            self.is_growing = false;
        }
    }
}

fn lesser(left: Resources, right: Resources) -> Resources {
    Resources {
        millicores: left.millicores.min(right.millicores),
        memory_bytes: left.memory_bytes.min(right.memory_bytes),
        accelerators: left.accelerators.min(right.accelerators),
    }
}

/// Raises the growing shares until the next team or resource stops; `false` if none grows.
fn fill_round(fills: &mut [TeamFill], left: &mut Fractions) -> bool {
    if !fills.iter().any(|fill| fill.is_growing) {
        return false;
    }
    let rates = growth_rates(fills);
    let level = next_level(fills, &rates, left);
    for fill in fills.iter_mut().filter(|fill| fill.is_growing) {
        fill.grow(level);
    }
    for (rest, rate) in left.iter_mut().zip(rates) {
        *rest = (*rest - rate * level).max(0.0);
    }
    for fill in fills.iter_mut() {
        if (0..RESOURCE_COUNT).any(|resource| fill.uses(resource) && left[resource] <= FILL_EPSILON)
        {
            fill.is_growing = false;
        }
    }
    true
}

/// Returns how fast each resource is used up while the level rises by 1.
fn growth_rates(fills: &[TeamFill]) -> Fractions {
    let mut rates: Fractions = [0.0; RESOURCE_COUNT];
    for fill in fills.iter().filter(|fill| fill.is_growing) {
        for (rate, part) in rates.iter_mut().zip(fill.profile) {
            *rate += fill.weight * part;
        }
    }
    rates
}

fn next_level(fills: &[TeamFill], rates: &Fractions, left: &Fractions) -> f64 {
    let by_team = fills
        .iter()
        .filter(|fill| fill.is_growing)
        .map(|fill| (fill.ceiling - fill.share) / fill.weight);
    let by_resource =
        rates.iter().zip(left).filter(|&(&rate, _)| rate > 0.0).map(|(rate, rest)| rest / rate);
    by_team.chain(by_resource).fold(f64::INFINITY, f64::min).max(0.0)
}
