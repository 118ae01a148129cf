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
    rustc_hash::FxHashMap,
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

/// Where a team stands at a service. All values are shares of the service's capacity.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct TeamStanding {
    used: f64,
    /// Used by running tasks, and wanted by those that could start.
    wanted: f64,
    /// The team's share, with what is lent to it.
    entitled: f64,
    /// The team's part of the weights of all teams with jobs.
    weight_part: f64,
}

impl TeamStanding {
    /// Returns whether the team uses its share or more.
    fn is_full(&self) -> bool {
        self.used >= self.entitled && self.used > 0.0
    }
}

/// The teams' standings at one service.
#[derive(Debug, Default)]
pub(super) struct ServiceShares {
    /// Total capacity of the workers in service.
    pub(super) capacity: ResourceSet,
    /// Share of the capacity that is in use.
    pub(super) used: f64,
    /// Sum of what the teams want, as a share of the capacity.
    wanted: f64,
    teams: FxHashMap<String, TeamStanding>,
}

impl ServiceShares {
    /// Returns the part of the capacity in use that a team can count on: its part of the weights, or of
    /// all that the teams are entitled to with what is lent to it.
    pub(super) fn available_part(&self, team: &str) -> f64 {
        let Some(own) = self.team(team) else { return 1.0 };
        let all: f64 = self.teams.values().map(|standing| standing.entitled).sum();
        let entitled_part = if all > 0.0 { own.entitled / all } else { 0.0 };
        entitled_part.max(own.weight_part)
    }

    /// Returns how many times its part of the weights each team wants of all that is wanted. What nobody
    /// else wants is free for a team, so less than the whole capacity counts as all of it.
    pub(super) fn demand_ratios(&self) -> impl Iterator<Item = (&str, f64)> {
        let all = self.wanted.max(1.0);
        self.teams.iter().map(move |(team, standing)| {
            (team.as_str(), standing.wanted / all / standing.weight_part)
        })
    }

    fn team(&self, team: &str) -> Option<TeamStanding> {
        self.teams.get(team).copied()
    }
}

/// The teams' standings, by service.
#[derive(Debug, Default)]
pub(super) struct TeamShares {
    measured_ms: u64,
    services: FxHashMap<String, ServiceShares>,
}

impl TeamShares {
    /// Returns whether a team uses its share of a service or more.
    pub(super) fn is_full(&self, service: &str, team: &str) -> bool {
        self.standing(service, team).is_some_and(|standing| standing.is_full())
    }

    /// Returns the standings at the services with known workers.
    pub(super) fn services(&self) -> impl Iterator<Item = (&str, &ServiceShares)> {
        self.services.iter().map(|(service, shares)| (service.as_str(), shares))
    }

    /// Returns the standings at a service, if it has known workers.
    pub(super) fn of(&self, service: &str) -> Option<&ServiceShares> {
        self.services.get(service)
    }

    fn standing(&self, service: &str, team: &str) -> Option<TeamStanding> {
        self.services.get(service)?.team(team)
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
        let services = capacities.into_iter().map(|(service, capacity)| {
            let shares = match uses.get(&service) {
                Some(teams) => self.service_shares(capacity, teams),
                None => ServiceShares { capacity, ..ServiceShares::default() },
            };
            (service, shares)
        });
        let services = services.collect();
        self.shares = TeamShares { measured_ms: self.time.now_ms, services };
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

    /// Returns where each team stands at a service.
    fn service_shares(
        &self,
        capacity: ResourceSet,
        teams: &FxHashMap<String, TeamUse>,
    ) -> ServiceShares {
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
        let all_weights: f64 = demands.iter().map(|demand| f64::from(demand.weight)).sum();
        let entitled = entitlements(to_resources(&capacity), &demands);
        let standings =
            names.iter().zip(&demands).zip(entitled).map(|((name, demand), entitled)| {
                let team = &teams[*name];
                let standing = TeamStanding {
                    used: dominant_share(&team.used, &capacity),
                    wanted: dominant_share(&team.wanted, &capacity),
                    entitled,
                    weight_part: f64::from(demand.weight) / all_weights,
                };
                ((*name).clone(), standing)
            });
        let sum = |part: fn(&TeamUse) -> ResourceSet| {
            let all =
                teams.values().fold(ResourceSet::default(), |sum, team| sum.plus(&part(team)));
            dominant_share(&all, &capacity)
        };
        ServiceShares {
            capacity,
            used: sum(|team| team.used),
            wanted: sum(|team| team.wanted),
            teams: standings.collect(),
        }
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
pub(super) fn dominant_share(used: &ResourceSet, capacity: &ResourceSet) -> f64 {
    let part = |used: u64, whole: u64| if whole > 0 { used as f64 / whole as f64 } else { 0.0 };
    part(used.cpu_millis, capacity.cpu_millis)
        .max(part(used.memory_mb, capacity.memory_mb))
        .max(part(used.accelerators, capacity.accelerators))
}
