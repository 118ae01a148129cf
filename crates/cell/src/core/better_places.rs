//! Where a step would run faster, and when there is room for it.

use {
    super::{
        CellCore,
        advice::INITIAL_GRANT_RATE,
        exclusion_set::ExclusionSet,
        place_wait::{BetterPlace, Opening, StartCase},
        step_hosts::StepHosts,
        worker_exclusion::WorkerExclusion,
    },
    crate::{
        AttemptKey, ResourceSet, WorkerKey,
        message::PhaseRef,
        table::{AttemptState, WorkerEntry},
    },
    rustc_hash::{FxHashMap, FxHashSet},
};

/// Maximum number of workers of a rack, and of the fastest ones, that a step looks at.
const MAX_WORKERS: usize = 16;
/// Maximum number of racks that a gang looks at, those with the most places first.
const MAX_RACKS: usize = 4;
/// Maximum number of workers that all steps look at in a placement. A look takes about a microsecond for
/// ten tasks that run on the worker, so a placement takes little longer.
const MAX_LOOKS: usize = 64;

/// Factor by which a task may exceed its expected run time and still be expected to end. Estimates are wrong by
/// 20 to 50 %, and a task that exceeds this may run many times as long.
const LATE_FACTOR: f64 = 1.25;
/// Time beyond which it does not matter how long a ticket is valid, in milliseconds.
const MAX_LOOKAHEAD_MS: u64 = 3_600_000;

/// What steps have looked at and what they wait for, in one placement.
#[derive(Debug, Default)]
pub(super) struct WaitPass {
    looks: usize,
    /// Resources of the tasks that wait for each worker.
    awaited: FxHashMap<WorkerKey, ResourceSet>,
    /// Time at which a wait ends or the adviser has to be asked.
    pub(super) due_ms: Option<u64>,
}

impl WaitPass {
    /// Returns whether steps may look at more workers.
    pub(super) fn may_look(&self) -> bool {
        self.looks < MAX_LOOKS
    }

    /// Records the number of workers that a step has looked at.
    pub(super) fn record_looks(&mut self, looks: usize) {
        self.looks += looks;
    }

    /// Records that a task waits for a worker, so that others do not count on the same place.
    pub(super) fn await_place(&mut self, worker: WorkerKey, need: ResourceSet) {
        let awaited = self.awaited.entry(worker).or_default();
        *awaited = awaited.plus(&need);
    }

    /// Records a time at which steps have to be placed.
    pub(super) fn record_due(&mut self, due_ms: u64) {
        self.due_ms = Some(self.due_ms.map_or(due_ms, |earliest_ms| earliest_ms.min(due_ms)));
    }
}

/// Better places of a step, and the number of workers that were looked at.
#[derive(Debug)]
pub(super) struct FoundPlaces<P> {
    pub(super) places: Vec<BetterPlace<P>>,
    pub(super) looks: usize,
}

/// A worker on which there is room for some tasks of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WorkerPlaces {
    pub(super) worker: WorkerKey,
    pub(super) tasks: usize,
}

impl CellCore {
    /// Returns the expected run time of a task of a step on a worker, with that of reading its data from
    /// another rack, in milliseconds.
    pub(super) fn run_ms_at(
        &self,
        phase: PhaseRef,
        hosts: &StepHosts<'_>,
        worker: WorkerKey,
    ) -> f64 {
        let factor = match hosts.holds(WorkerExclusion::Rack, worker) {
            true => self.remote_factor(),
            false => 1.0,
        };
        self.expected_run_on(phase, worker) * factor
    }

    /// Returns the expected run time of a gang on some workers, in milliseconds: its members advance at the
    /// speed of the slowest.
    pub(super) fn gang_run_ms(
        &self,
        phase: PhaseRef,
        hosts: &StepHosts<'_>,
        workers: &[WorkerKey],
    ) -> f64 {
        let runs = workers.iter().map(|worker| self.run_ms_at(phase, hosts, *worker));
        let racks: FxHashSet<&str> = workers.iter().map(|key| self.workers[*key].rack()).collect();
        let is_spread = hosts.step().is_rack_coupled && racks.len() > 1;
        runs.fold(0.0, f64::max) * if is_spread { self.remote_factor() } else { 1.0 }
    }

    fn remote_factor(&self) -> f64 {
        self.settings.remote_factor.max(1.0)
    }

    /// Returns busy workers on which a task of a step would run faster, and that may run it.
    pub(super) fn better_workers(
        &self,
        phase: PhaseRef,
        hosts: &StepHosts<'_>,
        case: &StartCase,
    ) -> FoundPlaces<WorkerPlaces> {
        let index = &self.place_index;
        let rack = match hosts.step().data_rack.as_str() {
            "" => &[],
            rack => index.rack(hosts.service(), rack),
        };
        let fastest = index.fastest(hosts.service());
        let mut found = FoundPlaces { places: Vec::new(), looks: 0 };
        let mut seen = FxHashSet::default();
        let first = rack.iter().take(MAX_WORKERS).chain(fastest.iter().take(MAX_WORKERS));
        for key in first.copied().filter(|key| seen.insert(*key)) {
            if !self.workers.contains_key(key) {
                continue;
            }
            let run_ms = self.run_ms_at(phase, hosts, key);
            if case.is_better(run_ms) && self.may_run_later(hosts, key) {
                found.looks += 1;
                found.places.extend(self.better_worker(phase, hosts, key, run_ms));
            }
        }
        found
    }

    /// Returns the first places on a worker for tasks of a step; `None` if there will be none, or if the step
    /// could start there now and other reasons speak against it.
    fn better_worker(
        &self,
        phase: PhaseRef,
        hosts: &StepHosts<'_>,
        worker: WorkerKey,
        run_ms: f64,
    ) -> Option<BetterPlace<WorkerPlaces>> {
        let openings = self.openings(hosts, worker, hosts.entry().unassigned);
        let first_ms = *openings.first()?;
        let needs_call = needs_call(hosts, worker, first_ms);
        if first_ms == 0.0 && !needs_call {
            return None;
        }
        let tasks = openings.iter().take_while(|free_ms| **free_ms <= first_ms).count();
        let place = WorkerPlaces { worker, tasks };
        let chance = self.chance(phase, hosts, worker);
        Some(BetterPlace { place, run_ms, opening: Opening::of(first_ms), needs_call, chance })
    }

    /// Returns racks in which a whole gang would have places, with a worker for each member. Only workers
    /// count that the adviser is known to allow, as all have to be allowed.
    pub(super) fn better_racks(
        &self,
        phase: PhaseRef,
        hosts: &StepHosts<'_>,
        plan: &[WorkerKey],
    ) -> FoundPlaces<Vec<WorkerKey>> {
        let mut planned: FxHashMap<&str, usize> = FxHashMap::default();
        for key in plan {
            *planned.entry(self.workers[*key].rack()).or_default() += 1;
        }
        let mut racks: Vec<(&str, usize)> = planned.into_iter().collect();
        racks.sort_by(|a, b| (b.1, a.0).cmp(&(a.1, b.0)));
        let mut found = FoundPlaces { places: Vec::new(), looks: 0 };
        for (rack, _) in racks.into_iter().take(MAX_RACKS) {
            let workers = self.place_index.rack(hosts.service(), rack);
            let mut openings = Vec::new();
            for key in workers.iter().copied().filter(|key| self.may_run_gang(hosts, *key)) {
                found.looks += 1;
                let times = self.openings(hosts, key, plan.len());
                openings.extend(times.into_iter().map(|free_ms| (free_ms, key)));
            }
            found.places.extend(self.rack_place(phase, hosts, openings, plan.len()));
        }
        found
    }

    /// Returns the place of a gang on workers of one rack, by the times at which each place is free.
    fn rack_place(
        &self,
        phase: PhaseRef,
        hosts: &StepHosts<'_>,
        mut openings: Vec<(f64, WorkerKey)>,
        members: usize,
    ) -> Option<BetterPlace<Vec<WorkerKey>>> {
        openings.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (free_ms, _) = *openings.get(members.checked_sub(1)?)?;
        let place: Vec<WorkerKey> = openings[..members].iter().map(|(_, key)| *key).collect();
        let run_ms = self.gang_run_ms(phase, hosts, &place);
        let needs_call = place.iter().any(|key| needs_call(hosts, *key, free_ms));
        Some(BetterPlace { place, run_ms, opening: Opening::of(free_ms), needs_call, chance: 1.0 })
    }

    /// Returns whether a worker may run a task of a step once there is room and a ticket.
    fn may_run_later(&self, hosts: &StepHosts<'_>, key: WorkerKey) -> bool {
        !self.is_avoided(hosts, key) && hosts.allows(key, ExclusionSet::TO_START_LATER)
    }

    /// Returns whether other reasons than the run time speak against a worker.
    pub(super) fn is_avoided(&self, hosts: &StepHosts<'_>, key: WorkerKey) -> bool {
        let reasons = [WorkerExclusion::Segregation, WorkerExclusion::LongLease];
        reasons.into_iter().any(|reason| hosts.holds(reason, key))
    }

    fn may_run_gang(&self, hosts: &StepHosts<'_>, key: WorkerKey) -> bool {
        let is_known = !hosts.needs_ticket() || hosts.entry().allowed.contains_key(&key);
        is_known && self.may_run_later(hosts, key)
    }

    /// Returns the probability that the adviser allows a worker.
    fn chance(&self, phase: PhaseRef, hosts: &StepHosts<'_>, worker: WorkerKey) -> f64 {
        if !hosts.needs_ticket() || hosts.entry().allowed.contains_key(&worker) {
            return 1.0;
        }
        let queue = &self.jobs[phase.job].record.queue;
        self.grant_rate.get(queue).copied().unwrap_or(INITIAL_GRANT_RATE)
    }

    /// Returns the times from now at which up to `max` tasks of a step find places on a worker, one after the
    /// other, besides those that others wait for, in milliseconds; infinity if such a time is not known.
    fn openings(&self, hosts: &StepHosts<'_>, key: WorkerKey, max: usize) -> Vec<f64> {
        let worker = &self.workers[key];
        if worker.is_overcommitted() {
            return Vec::new();
        }
        let need = hosts.step().resources();
        let max = usize::try_from(hosts.left_by_limit(key)).unwrap_or(usize::MAX).min(max);
        let awaited = self.wait_pass.awaited.get(&key).copied().unwrap_or_default();
        let mut used = worker.used.plus(&awaited);
        let mut ends = self.expected_ends(worker).into_iter();
        let (mut times, mut free_ms) = (Vec::new(), 0.0);
        loop {
            let fitting = worker.report.capacity.minus(&used).count_fitting(&need);
            let count = usize::try_from(fitting).unwrap_or(usize::MAX).min(max);
            times.resize(count.max(times.len()), free_ms);
            match ends.next() {
                Some((end_ms, resources)) if times.len() < max => {
                    used = used.minus(&resources);
                    free_ms = end_ms;
                }
                _ => return times,
            }
        }
    }

    /// Returns the times from now at which the attempts on a worker are expected to end, in order, in
    /// milliseconds, with what they use; infinity for those that are overdue or run until they are
    /// cancelled.
    fn expected_ends(&self, worker: &WorkerEntry) -> Vec<(f64, ResourceSet)> {
        let ends = worker
            .attempts
            .values()
            .map(|key| (self.end_in_ms(*key), self.attempts[*key].resources));
        let mut ends: Vec<(f64, ResourceSet)> = ends.collect();
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        ends
    }

    fn end_in_ms(&self, key: AttemptKey) -> f64 {
        let phase = self.attempts[key].phase;
        let runs_on = self.jobs.get(phase.job).is_none_or(|job| {
            let entry = job.phases.get(phase.phase);
            entry.is_none_or(|entry| job.record.steps[entry.step].is_service)
        });
        if runs_on {
            return f64::INFINITY;
        }
        match self.expected_end_ms(key).saturating_sub(self.time.now_ms) {
            0 => self.late_end_in_ms(key),
            end_ms => end_ms as f64,
        }
    }

    /// Returns the time within which an attempt that has passed its expected end may be expected to end all the
    /// same, in milliseconds; infinity if it is later than estimates usually are.
    fn late_end_in_ms(&self, key: AttemptKey) -> f64 {
        let attempt = &self.attempts[key];
        let AttemptState::Running { since_ms } = attempt.state else { return f64::INFINITY };
        let expected_ms = self.expected_run_on(attempt.phase, attempt.worker);
        let elapsed_ms = self.time.now_ms.saturating_sub(since_ms) as f64;
        match expected_ms * LATE_FACTOR - elapsed_ms {
            left_ms if left_ms > 0.0 => left_ms,
            _ => f64::INFINITY,
        }
    }
}

/// Returns whether there is no ticket for a worker that is valid when there is room on it.
fn needs_call(hosts: &StepHosts<'_>, worker: WorkerKey, free_ms: f64) -> bool {
    // A float-to-integer cast saturates.
    hosts.needs_ticket() && !hosts.has_ticket_for(worker, (free_ms as u64).min(MAX_LOOKAHEAD_MS))
}
