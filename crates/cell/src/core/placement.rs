//! Placement: which worker runs a task.
//!
//! A task goes to the worker with the least free CPU that fits it, so that large blocks of free
//! capacity remain for large tasks. Workers in the rack that holds the task's data are preferred, and
//! those on which the job ends in time, the slowest first. A gang is placed as a whole or not at all, in one
//! rack if its tasks are coupled and a rack has enough free capacity, and on workers of similar speed if it
//! ends in time there.

use {
    super::{
        CellCore, available::AvailableWorkers, chosen_waits::HeldPlan, exclusion_set::ExclusionSet,
        step_hosts::StepHosts, worker_exclusion::WorkerExclusion,
    },
    crate::{
        JobRecord, JobState, WorkerKey,
        message::PhaseRef,
        table::{AfterCommit, AttemptState, WorkerEntry},
    },
    rustc_hash::FxHashMap,
};

/// Number of failures in a row after which a worker gets no new work for a while.
const FAILURE_STREAK_LIMIT: u32 = 3;
/// Time for which a worker gets no new work after that, in milliseconds.
const FAILURE_BACKOFF_MS: u64 = 4_000;

/// Outcome of placing a step's tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementOutcome {
    /// Every task was placed.
    Placed,
    /// Some tasks were not placed, and tickets for other workers might help.
    Incomplete,
    /// Tickets would not help: the team is at its limit, members of the gang are still running, or
    /// too many start requests are in flight, or tasks wait by choice.
    Blocked,
}

impl PlacementOutcome {
    /// Returns the outcome for a step of which two parts were placed.
    fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Incomplete, _) | (_, Self::Incomplete) => Self::Incomplete,
            (Self::Blocked, _) | (_, Self::Blocked) => Self::Blocked,
            (Self::Placed, Self::Placed) => Self::Placed,
        }
    }
}

impl CellCore {
    /// Returns whether a worker may get new work, apart from a backoff. None may by an outdated list,
    /// which does not tell which workers shut down or shrink, or while requests to a former incarnation
    /// may still extend its leases.
    pub(super) fn is_schedulable(&self, worker: &WorkerEntry) -> bool {
        self.is_worker_list_current()
            && self.is_in_service(worker)
            && worker.has_accepted_token
            && !worker.needs_fence()
            && !worker.is_identity_due
            && worker.lease.has_clock()
            && !self.lease_bounds.contain(&worker.report.id)
    }

    /// Returns whether a worker is registered, not shutting down and in an open zone, whether or
    /// not it has responded to this leader.
    pub(super) fn is_in_service(&self, worker: &WorkerEntry) -> bool {
        worker.is_listed
            && !worker.report.is_leaving
            && !self.config.closed_zones.contains(&worker.report.zone)
    }

    /// Returns the service whose workers run a job's tasks.
    pub(super) fn service_of<'a>(&'a self, job: &'a JobRecord) -> &'a str {
        let queue = self.config.queues.get(&job.queue);
        queue.map_or(&job.service, |queue| &queue.service)
    }

    /// Places as many tasks of a step as possible.
    pub(super) fn place_phase(
        &mut self,
        phase: PhaseRef,
        available: &AvailableWorkers,
        budget: &mut usize,
    ) -> PlacementOutcome {
        let entry = &self.jobs[phase.job].phases[phase.phase];
        let is_gang = self.is_gang(phase);
        if *budget == 0 || !entry.retry.is_due(self.time.now_ms) {
            return PlacementOutcome::Blocked;
        }
        if self.has_running_members(phase) {
            return PlacementOutcome::Blocked;
        }
        if !entry.has_losses && !entry.has_bindings() {
            let count = entry.unassigned;
            return self.place_tasks(phase, count, available, budget);
        }
        if self.gives_up_crashing(phase) {
            return PlacementOutcome::Blocked;
        }
        let bound = self.place_bound_tasks(phase, budget);
        if is_gang && bound != PlacementOutcome::Placed {
            return bound;
        }
        let entry = &self.jobs[phase.job].phases[phase.phase];
        let suspects = entry.waiting_tasks(true);
        let others = entry.unassigned.saturating_sub(suspects.len() + entry.bound_tasks().len());
        if is_gang && !suspects.is_empty() {
            return self.place_suspect_gang(phase, available, budget);
        }
        let outcome = self.place_tasks(phase, others, available, budget);
        let suspected = self.place_suspects(phase, &suspects, available, budget);
        outcome.and(suspected).and(bound)
    }

    /// Places as many as possible of the `count` tasks of a step that are not suspected of having
    /// crashed a worker, or all members of a gang.
    fn place_tasks(
        &mut self,
        phase: PhaseRef,
        count: usize,
        available: &AvailableWorkers,
        budget: &mut usize,
    ) -> PlacementOutcome {
        if count == 0 {
            return PlacementOutcome::Placed;
        }
        let is_gang = self.is_gang(phase);
        // The members of a gang are sent together, even if the window is smaller.
        let wanted = if is_gang { count } else { count.min(*budget) };
        let allowed = self.placeable_tasks(phase, wanted);
        if allowed == 0 {
            return PlacementOutcome::Blocked;
        }
        let hosts = StepHosts::new(self, phase);
        let mut workers = self.candidates(&hosts, available);
        self.best_first(phase, &mut workers);
        let plan = match is_gang {
            true => self.plan_gang(&hosts, &workers, wanted),
            false => hosts.plan_tasks(&workers, allowed),
        };
        let HeldPlan { plan, held } = self.hold_for_better(phase, plan);
        let placed = plan.len();
        *budget = budget.saturating_sub(placed);
        if placed > 0 {
            let tasks = self.jobs[phase.job].phases[phase.phase].waiting_tasks(false);
            self.create_attempts(phase, &tasks, &plan);
        }
        if placed + held < allowed {
            self.suspect_backlog.record_other();
        }
        match placed {
            _ if placed == wanted => PlacementOutcome::Placed,
            _ if placed == allowed => PlacementOutcome::Blocked,
            _ if placed + held == allowed && !self.must_ask_for_awaited(phase) => {
                PlacementOutcome::Blocked
            }
            _ => PlacementOutcome::Incomplete,
        }
    }

    /// Returns whether members of a gang are still running, so that it cannot be placed as a whole.
    pub(super) fn has_running_members(&self, phase: PhaseRef) -> bool {
        let entry = &self.jobs[phase.job].phases[phase.phase];
        self.is_gang(phase) && entry.unassigned < entry.unfinished
    }

    /// Returns how many of `wanted` tasks of a step may be placed within the team's limit: of a gang, all or none.
    pub(super) fn placeable_tasks(&self, phase: PhaseRef, wanted: usize) -> usize {
        match self.within_limit(phase, wanted) {
            allowed if allowed < wanted && self.is_gang(phase) => 0,
            allowed => allowed,
        }
    }

    /// Returns how many of `wanted` tasks of a step the team's limit allows.
    pub(super) fn within_limit(&self, phase: PhaseRef, wanted: usize) -> usize {
        let job = &self.jobs[phase.job];
        let need = job.record.steps[job.phases[phase.phase].step].resources();
        let team = &job.record.team;
        let Some(limit) = self.config.teams.get(team).map(|team| team.limit) else { return wanted };
        let mut used = self.team_used.get(team).copied().unwrap_or_default();
        (0..wanted)
            .take_while(|_| {
                used = used.plus(&need);
                used.is_within(&limit)
            })
            .count()
    }

    /// Returns the workers that may run a task of a step now, in order of preference.
    pub(super) fn candidates(
        &self,
        hosts: &StepHosts<'_>,
        available: &AvailableWorkers,
    ) -> Vec<WorkerKey> {
        let mut workers: Vec<WorkerKey> = match hosts.needs_ticket() {
            // Few workers have tickets, so it is enough to check those.
            true => {
                let with_ticket = |key: &WorkerKey| !hosts.holds(WorkerExclusion::Ticket, *key);
                let advised = hosts.entry().allowed.keys().copied().filter(with_ticket);
                advised.filter(|key| hosts.allows(*key, ExclusionSet::TO_START)).collect()
            }
            false => {
                let available = available.of(hosts.service()).iter().copied();
                available
                    .filter(|key| hosts.allows(*key, ExclusionSet::TO_START_ON_AVAILABLE))
                    .collect()
            }
        };
        workers.sort_by_cached_key(|key| {
            let load = if hosts.is_kept_apart() { self.exposure(*key) } else { (false, 0) };
            let free_cpu = self.workers[*key].free().cpu_millis;
            let is_excluded = |reason| hosts.holds(reason, *key);
            let takes_reserved = hosts.takes_reserved(*key);
            let preference = WorkerExclusion::OF_PREFERENCE.map(is_excluded);
            (takes_reserved, preference, hosts.speed_rank(*key), load, free_cpu)
        });
        workers
    }

    pub(super) fn plan_gang(
        &self,
        hosts: &StepHosts<'_>,
        workers: &[WorkerKey],
        count: usize,
    ) -> Vec<WorkerKey> {
        let suffices = |key: &&WorkerKey| hosts.speed_rank(**key).is_sufficient();
        let sufficient: Vec<WorkerKey> = workers.iter().filter(suffices).copied().collect();
        let sets = [sufficient.as_slice(), workers];
        let sets = &sets[usize::from(sufficient.len() == workers.len())..];
        let in_rack = sets.iter().filter(|_| hosts.step().is_rack_coupled);
        let in_rack = in_rack.map(|set| self.plan_in_rack(hosts, set, count));
        // The slowest worker decides, so members on faster ones would only keep these from other steps.
        let alike = hosts.by_speed(sufficient.clone()).into_iter();
        let alike = alike.map(|set| hosts.plan_tasks(&set, count));
        let anywhere = sets.iter().map(|set| hosts.plan_tasks(set, count));
        let mut plans = in_rack.chain(alike).chain(anywhere);
        plans.find(|plan| plan.len() == count).unwrap_or_default()
    }

    fn plan_in_rack(
        &self,
        hosts: &StepHosts<'_>,
        workers: &[WorkerKey],
        count: usize,
    ) -> Vec<WorkerKey> {
        let mut racks: FxHashMap<&str, Vec<WorkerKey>> = FxHashMap::default();
        for key in workers {
            racks.entry(self.workers[*key].rack()).or_default().push(*key);
        }
        let plans = racks.values().map(|rack| hosts.plan_tasks(rack, count));
        plans.max_by_key(Vec::len).unwrap_or_default()
    }

    /// Creates attempts at tasks of a step on the planned workers.
    pub(super) fn create_attempts(&mut self, phase: PhaseRef, tasks: &[usize], plan: &[WorkerKey]) {
        let entry = &self.jobs[phase.job].phases[phase.phase];
        let last_number = entry.tasks.iter().map(|task| task.last_number).max().unwrap_or(0);
        let gang_number = last_number.saturating_add(1);
        let is_gang = self.jobs[phase.job].record.steps[entry.step].is_gang;
        for (&index, worker) in tasks.iter().zip(plan) {
            let own = self.jobs[phase.job].phases[phase.phase].tasks[index].last_number;
            let number = if is_gang { gang_number } else { own.saturating_add(1) };
            let key = self.insert_attempt(phase, index, number, *worker, AttemptState::Persisting);
            self.reservations.take_place(phase, *worker);
            self.mark_dirty(phase.job, Some(AfterCommit::Send(key)));
        }
        if self.settings.features.admission {
            self.record_class_start(phase, plan.len());
        }
        let job = &mut self.jobs[phase.job];
        job.phases[phase.phase].fruitless_calls = 0;
        job.phases[phase.phase].explained_ms = None;
        job.phases[phase.phase].end_wait();
        if job.state == JobState::Queued {
            job.state = JobState::Running;
        }
        let name = job.phase_name(phase.phase);
        self.log("phase_placed", name, format!("tasks={}", plan.len()));
    }

    /// Starts a backoff for workers that keep failing their attempts.
    pub(super) fn back_off_failing(&mut self) {
        let until_ms = self.time.now_ms + FAILURE_BACKOFF_MS;
        let mut backed_off = Vec::new();
        for worker in self.workers.values_mut() {
            if worker.failure_streak >= FAILURE_STREAK_LIMIT {
                worker.failure_streak = 0;
                worker.backoff_until_ms = until_ms;
                backed_off.push(worker.report.id.clone());
            }
        }
        for id in backed_off {
            self.log("worker_avoided", id, format!("failures={FAILURE_STREAK_LIMIT}"));
        }
    }
}
