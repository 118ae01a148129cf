//! The teams' shares of a full cell.
//!
//! Each team is entitled to a share by its weight; what a team does not use is lent to the others
//! (see [`entitlements`]). While a team uses its share or more, the jobs of teams below theirs come
//! before its own within a priority class, so that a team with many jobs does not cost the others.

use {
    super::CellCore,
    crate::ResourceSet,
    damaskrack_model::Resources,
    damaskrack_policy::{TeamDemand, entitlements},
    rustc_hash::{FxHashMap, FxHashSet},
};

/// Time for which the shares are reused, in milliseconds.
const MEASURE_INTERVAL_MS: u64 = 50;
/// Factor from the configuration's weights to whole numbers.
const WEIGHT_SCALE: f64 = 100.0;
/// Bytes in a mebibyte.
const MEBIBYTE: u64 = 1 << 20;

/// What a team uses and wants of a service, at the last measurement.
#[derive(Debug, Clone, Copy, Default)]
struct TeamUse {
    used: ResourceSet,
    /// Resources of running tasks and of tasks that could start.
    wanted: ResourceSet,
}

/// The teams that use their shares or more, by service.
#[derive(Debug, Default)]
pub(super) struct TeamShares {
    measured_ms: u64,
    full: FxHashMap<String, FxHashSet<String>>,
}

impl TeamShares {
    /// Returns whether a team uses its share of a service or more.
    pub(super) fn is_full(&self, service: &str, team: &str) -> bool {
        self.full.get(service).is_some_and(|teams| teams.contains(team))
    }
}

impl CellCore {
    /// Measures the teams' shares again if the last measurement is old.
    pub(super) fn update_shares(&mut self) {
        if self.time.now_ms < self.shares.measured_ms + MEASURE_INTERVAL_MS {
            return;
        }
        let uses = self.team_uses();
        let capacities = self.service_capacities();
        let full = uses.iter().filter_map(|(service, teams)| {
            let capacity = capacities.get(service)?;
            Some((service.clone(), self.full_teams(*capacity, teams)))
        });
        let full = full.collect();
        self.shares = TeamShares { measured_ms: self.time.now_ms, full };
    }

    /// Returns the total capacity of the workers in service, by service.
    pub(super) fn service_capacities(&self) -> FxHashMap<String, ResourceSet> {
        let mut capacities: FxHashMap<String, ResourceSet> = FxHashMap::default();
        for worker in self.workers.values().filter(|worker| self.is_in_service(worker)) {
            let known = capacities.entry(worker.report.service.clone()).or_default();
            *known = known.plus(&worker.report.capacity);
        }
        capacities
    }

    /// Returns what each team uses and wants, by service.
    fn team_uses(&self) -> FxHashMap<String, FxHashMap<String, TeamUse>> {
        let mut uses: FxHashMap<String, FxHashMap<String, TeamUse>> = FxHashMap::default();
        for job in self.live.iter().map(|key| &self.jobs[*key]) {
            let teams = uses.entry(self.service_of(&job.record).to_owned()).or_default();
            let team = teams.entry(job.record.team.clone()).or_default();
            for (index, phase) in job.phases.iter().enumerate() {
                let resources = job.record.steps[phase.step].resources();
                let running = phase.unfinished.saturating_sub(phase.unassigned) as u64;
                let waiting = if job.is_ready(index) { phase.unassigned as u64 } else { 0 };
                team.used = team.used.plus(&resources.times(running));
                team.wanted = team.wanted.plus(&resources.times(running + waiting));
            }
        }
        uses
    }

    /// Returns the teams that use their entitlement or more.
    fn full_teams(
        &self,
        capacity: ResourceSet,
        teams: &FxHashMap<String, TeamUse>,
    ) -> FxHashSet<String> {
        let whole = to_resources(&capacity);
        let names: Vec<&String> = teams.keys().collect();
        let demand = |name: &&String| {
            let team = self.config.teams.get(*name);
            TeamDemand {
                // A float-to-integer cast saturates.
                weight: (team.map_or(1.0, |team| team.weight) * WEIGHT_SCALE).max(1.0) as u32,
                wanted: to_resources(&teams[*name].wanted),
                limit: to_limit(&team.map(|team| team.limit).unwrap_or_default()),
            }
        };
        let demands: Vec<TeamDemand> = names.iter().map(demand).collect();
        let shares = entitlements(whole, &demands);
        let full = names.iter().zip(shares).filter(|(name, share)| {
            let used = dominant_share(&teams[**name].used, &capacity);
            used >= *share && used > 0.0
        });
        full.map(|(name, _)| (*name).clone()).collect()
    }
}

fn to_resources(set: &ResourceSet) -> Resources {
    Resources {
        millicores: set.cpu_millis,
        memory_bytes: set.memory_mb.saturating_mul(MEBIBYTE),
        accelerators: set.accelerators,
    }
}

/// Converts a limit, in which 0 means "no limit".
fn to_limit(limit: &ResourceSet) -> Resources {
    let bound = |amount: u64| if amount == 0 { u64::MAX } else { amount };
    to_resources(&ResourceSet {
        cpu_millis: bound(limit.cpu_millis),
        memory_mb: bound(limit.memory_mb),
        accelerators: bound(limit.accelerators),
    })
}

/// Returns the largest fraction of a capacity that an amount takes of any resource.
fn dominant_share(used: &ResourceSet, capacity: &ResourceSet) -> f64 {
    let part = |used: u64, whole: u64| if whole > 0 { used as f64 / whole as f64 } else { 0.0 };
    part(used.cpu_millis, capacity.cpu_millis)
        .max(part(used.memory_mb, capacity.memory_mb))
        .max(part(used.accelerators, capacity.accelerators))
}
