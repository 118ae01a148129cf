//! Computes the share of the cell that each team is entitled to.
//!
//! This is weighted dominant-resource fairness by progressive filling: the dominant shares of all
//! teams grow together, in proportion to their weights, until a team's demand is met or a resource
//! that it needs is used up. What one team does not use is thereby lent to the others by weight.
//! Unlike dividing each resource separately, this gives a team no reason to overstate its demand.

use {
    crate::fractions::{Fractions, RESOURCE_COUNT, dominant, fractions},
    damaskrack_model::Resources,
};

/// Differences up to this are taken for rounding errors and cause no further round of filling.
const FILL_EPSILON: f64 = 1e-12;

/// Demand of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TeamDemand {
    /// Weight of its share, at least 1.
    pub weight: u32,
    /// Resources of its running and waiting work.
    pub wanted: Resources,
    /// Upper limit of the team's use.
    pub limit: Resources,
}

/// State of a team during progressive filling.
#[derive(Debug)]
struct TeamFill {
    weight: f64,
    /// Use of each resource at a dominant share of 1.
    profile: Fractions,
    /// Largest dominant share that the team can use.
    max_share: f64,
    share: f64,
    /// Whether the share can still grow.
    is_growing: bool,
}

/// Returns the dominant share of the cell that each team is entitled to, in the order of `demands`.
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
    let mut remaining: Fractions = [1.0; RESOURCE_COUNT];
    // Each round ends the growth of a team or uses up a resource, which bounds the rounds.
    for _ in 0..fills.len() + RESOURCE_COUNT {
        if !fill_round(&mut fills, &mut remaining) {
            break;
        }
    }
    fills.into_iter().map(|fill| fill.share).collect()
}

impl TeamFill {
    fn new(capacity: Resources, demand: &TeamDemand) -> Self {
        let usable = component_min(demand.wanted, demand.limit);
        let shares = fractions(usable, capacity);
        let dominant_share = dominant(shares);
        let profile =
            if dominant_share > 0.0 { shares.map(|share| share / dominant_share) } else { shares };
        Self {
            weight: f64::from(demand.weight.max(1)),
            profile,
            max_share: dominant_share.min(1.0),
            share: 0.0,
            is_growing: dominant_share > 0.0,
        }
    }

    fn needs(&self, resource: usize) -> bool {
        self.profile[resource] > 0.0
    }

    fn grow(&mut self, level_increase: f64) {
        self.share = (self.share + self.weight * level_increase).min(self.max_share);
        if self.max_share - self.share <= FILL_EPSILON {
            self.is_growing = false;
        }
    }
}

fn component_min(left: Resources, right: Resources) -> Resources {
    Resources {
        millicores: left.millicores.min(right.millicores),
        memory_bytes: left.memory_bytes.min(right.memory_bytes),
        accelerators: left.accelerators.min(right.accelerators),
    }
}

/// Grows the shares until the next team's demand is met or resource is used up; returns `false` if
/// no share can grow.
fn fill_round(fills: &mut [TeamFill], remaining: &mut Fractions) -> bool {
    if !fills.iter().any(|fill| fill.is_growing) {
        return false;
    }
    let rates = growth_rates(fills);
    let level_increase = max_level_increase(fills, &rates, remaining);
    for fill in fills.iter_mut().filter(|fill| fill.is_growing) {
        fill.grow(level_increase);
    }
    for (amount, rate) in remaining.iter_mut().zip(rates) {
        *amount = (*amount - rate * level_increase).max(0.0);
    }
    for fill in fills.iter_mut() {
        if (0..RESOURCE_COUNT)
            .any(|resource| fill.needs(resource) && remaining[resource] <= FILL_EPSILON)
        {
            fill.is_growing = false;
        }
    }
    true
}

/// Returns how much of each resource is used up when the level rises by 1, that is, when each
/// growing share rises by its weight.
fn growth_rates(fills: &[TeamFill]) -> Fractions {
    let mut rates: Fractions = [0.0; RESOURCE_COUNT];
    for fill in fills.iter().filter(|fill| fill.is_growing) {
        for (rate, part) in rates.iter_mut().zip(fill.profile) {
            *rate += fill.weight * part;
        }
    }
    rates
}

/// Returns how far the level can rise before a team's demand is met or a resource is used up.
fn max_level_increase(fills: &[TeamFill], rates: &Fractions, remaining: &Fractions) -> f64 {
    let by_team = fills
        .iter()
        .filter(|fill| fill.is_growing)
        .map(|fill| (fill.max_share - fill.share) / fill.weight);
    let by_resource = rates
        .iter()
        .zip(remaining)
        .filter(|&(&rate, _)| rate > 0.0)
        .map(|(rate, amount)| amount / rate);
    by_team.chain(by_resource).fold(f64::INFINITY, f64::min).max(0.0)
}
