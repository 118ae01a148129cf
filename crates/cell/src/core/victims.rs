//! Which attempts to stop so that a whole step can start.
//!
//! The choice is greedy: of all workers, the one whose next place costs the least run time to gain comes
//! first. A step that could not start as a whole stops nothing.

use {
    super::reservations::HostPlaces,
    crate::{AttemptKey, ResourceSet, WorkerKey},
};

/// An attempt that may be stopped.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct PreemptionCandidate {
    pub(super) attempt: AttemptKey,
    pub(super) resources: ResourceSet,
    /// Work that a stop discards, in milliseconds of a core.
    pub(super) cost: f64,
}

/// A worker on which tasks of the step may start.
#[derive(Debug, Clone)]
pub(super) struct HostRoom {
    pub(super) worker: WorkerKey,
    /// Capacity that is free, or will be soon without a stop.
    pub(super) free: ResourceSet,
    /// Capacity that is reserved for other steps, of what is free or will be freed.
    pub(super) reserved: ResourceSet,
    /// Maximum number of tasks of the step.
    pub(super) limit: u64,
    pub(super) candidates: Vec<PreemptionCandidate>,
}

impl HostRoom {
    /// Returns how many tasks of the step fit into an amount of free capacity.
    fn places(&self, free: &ResourceSet, need: &ResourceSet) -> u64 {
        free.minus(&self.reserved).count_fitting(need).min(self.limit)
    }
}

/// What to stop, and where the step then starts.
#[derive(Debug, Default, PartialEq)]
pub(super) struct PreemptionPlan {
    pub(super) hosts: Vec<HostPlaces>,
    pub(super) victims: Vec<PreemptionCandidate>,
}

/// Whether stops allow a step to start.
#[derive(Debug, PartialEq)]
pub(super) enum PreemptionDecision {
    /// Stopping all possible victims would not free enough.
    Impossible,
    /// The step soon has all that it needs without a stop.
    Reserve(PreemptionPlan),
    /// The step has all that it needs once the victims have ended.
    Stop(PreemptionPlan),
}

/// The next places that can be gained on a worker.
#[derive(Debug)]
struct NextPlaces {
    host: usize,
    /// Number of victims that must be stopped for them.
    victims: usize,
    places: u64,
    cost: f64,
}

/// What has been chosen on a worker so far.
#[derive(Debug)]
struct HostChoice {
    room: HostRoom,
    /// Number of the victims chosen, from the first on.
    chosen: usize,
    places: u64,
}

impl HostChoice {
    fn new(mut room: HostRoom, need: &ResourceSet) -> Self {
        room.candidates.sort_by(|a, b| density(a, need).total_cmp(&density(b, need)));
        let places = room.places(&room.free, need);
        Self { room, chosen: 0, places }
    }

    /// Returns the fewest further victims that gain a place.
    fn next_places(&self, host: usize, need: &ResourceSet) -> Option<NextPlaces> {
        let mut free = self.room.free;
        let mut cost = 0.0;
        for (index, victim) in self.room.candidates.iter().enumerate() {
            free = free.plus(&victim.resources);
            if index < self.chosen {
                continue;
            }
            cost += victim.cost;
            let places = self.room.places(&free, need);
            if places > self.places {
                return Some(NextPlaces { host, victims: index + 1, places, cost });
            }
        }
        None
    }

    /// Returns the victims without those that are not needed for some places, the costliest left out first.
    fn needed_victims(&self, places: u64, need: &ResourceSet) -> Vec<PreemptionCandidate> {
        let mut victims = self.room.candidates[..self.chosen].to_vec();
        victims.sort_by(|a, b| b.cost.total_cmp(&a.cost));
        let mut index = 0;
        while index < victims.len() {
            let others = victims.iter().enumerate().filter(|(other, _)| *other != index);
            let free = others.fold(self.room.free, |sum, (_, victim)| sum.plus(&victim.resources));
            match self.room.places(&free, need) >= places {
                true => drop(victims.remove(index)),
                false => index += 1,
            }
        }
        victims
    }
}

/// Returns the cost of a victim relative to the part of a place that it frees.
fn density(victim: &PreemptionCandidate, need: &ResourceSet) -> f64 {
    let part = |own: u64, need: u64| if need > 0 { own as f64 / need as f64 } else { 0.0 };
    let cpu = part(victim.resources.cpu_millis, need.cpu_millis);
    let memory = part(victim.resources.memory_mb, need.memory_mb);
    let accelerators = part(victim.resources.accelerators, need.accelerators);
    victim.cost / cpu.max(memory).max(accelerators).max(f64::MIN_POSITIVE)
}

/// Decides which attempts to stop so that `count` tasks that need `need` each can start.
pub(super) fn choose_victims(
    need: &ResourceSet,
    count: u64,
    rooms: Vec<HostRoom>,
) -> PreemptionDecision {
    let mut choices: Vec<HostChoice> =
        rooms.into_iter().map(|room| HostChoice::new(room, need)).collect();
    let mut places = choices.iter().map(|choice| choice.places).fold(0, u64::saturating_add);
    let mut next: Vec<NextPlaces> = Vec::new();
    if places < count {
        let hosts = choices.iter().enumerate();
        next.extend(hosts.filter_map(|(host, choice)| choice.next_places(host, need)));
    }
    while places < count {
        let per_place =
            |next: &NextPlaces| next.cost / (next.places - choices[next.host].places) as f64;
        let best =
            (0..next.len()).min_by(|a, b| per_place(&next[*a]).total_cmp(&per_place(&next[*b])));
        let Some(best) = best.map(|index| next.swap_remove(index)) else {
            return PreemptionDecision::Impossible;
        };
        let choice = &mut choices[best.host];
        places += best.places - choice.places;
        (choice.places, choice.chosen) = (best.places, best.victims);
        next.extend(choice.next_places(best.host, need));
    }
    let plan = plan_places(need, count, choices);
    match plan.victims.is_empty() {
        true => PreemptionDecision::Reserve(plan),
        false => PreemptionDecision::Stop(plan),
    }
}

/// Distributes the tasks over the workers, first over those on which something is stopped and then over
/// those with the most places.
fn plan_places(need: &ResourceSet, count: u64, mut choices: Vec<HostChoice>) -> PreemptionPlan {
    choices.sort_by_key(|choice| std::cmp::Reverse((choice.chosen > 0, choice.places)));
    let mut plan = PreemptionPlan::default();
    let mut left = count;
    for choice in choices {
        let places = choice.places.min(left);
        if places == 0 {
            continue;
        }
        left -= places;
        plan.hosts.push(HostPlaces { worker: choice.room.worker, places });
        plan.victims.extend(choice.needed_victims(places, need));
    }
    plan
}

#[cfg(test)]
mod tests {
    use {
        super::{HostPlaces, HostRoom, PreemptionCandidate, PreemptionDecision, choose_victims},
        crate::{AttemptKey, ResourceSet, WorkerKey},
        quickcheck::quickcheck,
        slotmap::KeyData,
    };

    /// Free and reserved CPU of a worker, and the CPU and costs of its victims.
    type RoomSpec = (u8, u8, Vec<(u8, u8)>);

    fn cpu(millis: u64) -> ResourceSet {
        ResourceSet { cpu_millis: millis, ..ResourceSet::default() }
    }

    fn room(host: u64, (free, reserved, victims): &RoomSpec) -> HostRoom {
        let victim = |(index, (own, cost)): (u64, &(u8, u8))| PreemptionCandidate {
            attempt: AttemptKey::from(KeyData::from_ffi(host * 1_000 + index)),
            resources: cpu(u64::from(*own)),
            cost: f64::from(*cost),
        };
        HostRoom {
            worker: WorkerKey::from(KeyData::from_ffi(host)),
            free: cpu(u64::from(*free)),
            reserved: cpu(u64::from(*reserved)),
            limit: 4,
            candidates: (1..).zip(victims).map(victim).collect(),
        }
    }

    /// Returns how many tasks of the step fit once all that may be stopped have ended.
    fn max_places(room: &HostRoom, need: u64) -> u64 {
        let candidates = room.candidates.iter();
        let free = candidates.fold(room.free, |sum, candidate| sum.plus(&candidate.resources));
        room.places(&free, &cpu(need))
    }

    /// Returns whether a worker has the planned places with these victims stopped.
    fn suffices(
        rooms: &[HostRoom],
        host: &HostPlaces,
        victims: &[&PreemptionCandidate],
        need: u64,
    ) -> bool {
        let room = rooms.iter().find(|room| room.worker == host.worker);
        room.is_some_and(|room| {
            let own = victims.iter().filter(|victim| room.candidates.contains(victim));
            let free = own.fold(room.free, |sum, victim| sum.plus(&victim.resources));
            room.places(&free, &cpu(need)) >= host.places
        })
    }

    quickcheck! {
        /// Guards against stops that do not let the whole step start, stops that it does not need, and steps that
        /// are given up although they could start.
        fn stops_are_enough_and_all_needed(
            hosts: Vec<RoomSpec>, need: u8, count: u8
        ) -> bool {
            let (need, count) = (u64::from(need) + 1, u64::from(count % 16) + 1);
            let rooms: Vec<HostRoom> = (1..).zip(&hosts).map(|(key, host)| room(key, host)).collect();
            let most: u64 = rooms.iter().map(|room| max_places(room, need)).sum();
            let plan = match choose_victims(&cpu(need), count, rooms.clone()) {
                PreemptionDecision::Impossible => return most < count,
                PreemptionDecision::Reserve(plan) | PreemptionDecision::Stop(plan) => plan,
            };
            let all: Vec<&PreemptionCandidate> = plan.victims.iter().collect();
            let works = |victims: &[&PreemptionCandidate]| {
                plan.hosts.iter().all(|host| suffices(&rooms, host, victims, need))
            };
            let is_minimal = (0..all.len()).all(|index| {
                let mut fewer = all.clone();
                fewer.remove(index);
                !works(&fewer)
            });
            let places: u64 = plan.hosts.iter().map(|host| host.places).sum();
            places == count && works(&all) && is_minimal
        }
    }
}
