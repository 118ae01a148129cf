//! Placement of tasks that are suspected of having crashed a worker.
//!
//! A suspect starts on the worker with the fewest other attempts, and for some time nothing else is
//! placed there: if it crashes the worker, little is lost, and no other task can be the cause. Few
//! workers at a time run suspects, so that not many are down at once; suspects that turn out to be
//! harmless make room after a moment. Suspects that were accused alone may share a worker (see
//! `lone_suspects.rs`).

use {
    super::{
        CellCore, available::AvailableWorkers, exclusion_set::ExclusionSet, losses::CRASH_REASON,
        placement::PlacementOutcome, step_hosts::StepHosts, worker_exclusion::WorkerExclusion,
    },
    crate::{
        AttemptKey, JobState, ResourceSet, WorkerKey,
        message::PhaseRef,
        table::{TaskEntry, WorkerEntry},
    },
};

/// One in this many workers may run a suspect on probation.
const PROBATION_SHARE: usize = 16;
/// Minimum number of workers that may.
const MIN_PROBATION_WORKERS: usize = 2;
/// One worker for this many steps with suspects that wait may, if that is more.
const WAITING_SHARE: usize = 16;
/// One in this many workers may at most for those that wait.
const MAX_WAITING_SHARE: usize = 12;
/// Maximum number of steps with suspects of a kind that come before all other steps.
const MAX_FIRST_SUSPECTS: usize = 8;
/// Number of workers that a step has tickets for while it waits to be tested together with others.
const MIN_TICKETS: usize = 4;
/// Number of attempts by which a suspect's worker may exceed the worker with the fewest.
const MAX_EXTRA_ATTEMPTS: usize = 2;

impl CellCore {
    /// Returns whether a suspected task of a phase waits to be placed.
    pub(super) fn has_waiting_suspect(&self, phase: PhaseRef) -> bool {
        let entry = &self.jobs[phase.job].phases[phase.phase];
        entry.has_losses && !entry.waiting_tasks(true).is_empty()
    }

    /// Returns the first steps of the backlog with suspects that wait and need tickets. They come before all
    /// others, since each step that comes before may use up the adviser; they are few, and so are the
    /// workers for tests. Those accused with others come first: many of these are not to blame, and a test
    /// that crashes no worker is short. While workers are idle, those that can share workers come first.
    pub(super) fn first_suspects(&self, backlog: &[PhaseRef]) -> Vec<PhaseRef> {
        let needs_ticket = |phase: &PhaseRef| {
            self.has_waiting_suspect(*phase) && self.advice_timing(*phase).is_some()
        };
        let is_lone = |phase: &PhaseRef| {
            let mut tasks = self.jobs[phase.job].phases[phase.phase].tasks.iter();
            tasks.any(|task| task.is_accused_alone)
        };
        let suspects = backlog.iter().copied().filter(needs_ticket);
        let (mut lone, mut others): (Vec<PhaseRef>, Vec<PhaseRef>) = suspects.partition(is_lone);
        others.truncate(MAX_FIRST_SUSPECTS);
        if self.lone_suspects.may_share() && self.may_use_idle() {
            lone.append(&mut others);
            return lone;
        }
        lone.truncate(MAX_FIRST_SUSPECTS);
        others.append(&mut lone);
        others
    }

    /// Gives up a job with a task that has crashed too many workers under former leaders.
    pub(super) fn gives_up_crashing(&mut self, phase: PhaseRef) -> bool {
        let tasks = &self.jobs[phase.job].phases[phase.phase].tasks;
        let has_crashed = tasks.iter().any(TaskEntry::has_crashed_too_often);
        if has_crashed {
            self.end_job(phase.job, JobState::Failed, CRASH_REASON);
        }
        has_crashed
    }

    /// Places a phase's suspects together on calm workers: if one of them crashes its worker, the others
    /// belong to the same job.
    pub(super) fn place_suspects(
        &mut self,
        phase: PhaseRef,
        suspects: &[usize],
        available: &AvailableWorkers,
        budget: &mut usize,
    ) -> PlacementOutcome {
        let may_share = self.may_share_test(phase, suspects);
        if may_share && self.join_test(phase, suspects, budget) {
            return PlacementOutcome::Placed;
        }
        let mut waiting = suspects;
        while !waiting.is_empty() {
            let allowed = self.within_limit(phase, waiting.len()).min(*budget);
            if allowed == 0 {
                return PlacementOutcome::Blocked;
            }
            if (may_share && !self.lone_suspects.is_round()) || !self.has_probation_worker() {
                return match may_share && self.gathers_tickets(phase) {
                    true => PlacementOutcome::Incomplete,
                    false => PlacementOutcome::Blocked,
                };
            }
            let hosts = self.calm_hosts(phase, available);
            let workers = self.calm_candidates(&hosts, available);
            let calmest = &workers[..workers.len().min(1)];
            let plan = hosts.plan_tasks(calmest, allowed);
            if plan.is_empty() {
                return PlacementOutcome::Incomplete;
            }
            let (placed, left) = waiting.split_at(plan.len());
            *budget -= plan.len();
            self.create_attempts(phase, placed, &plan);
            self.start_probation(phase, placed);
            if may_share && placed.len() == suspects.len() {
                self.lone_suspects.join(plan[0]);
            }
            waiting = left;
        }
        PlacementOutcome::Placed
    }

    /// Returns whether the suspects of a phase may be tested together with those of other jobs.
    fn may_share_test(&self, phase: PhaseRef, suspects: &[usize]) -> bool {
        let tasks = &self.jobs[phase.job].phases[phase.phase].tasks;
        self.lone_suspects.may_share()
            && suspects.iter().all(|index| tasks[*index].is_accused_alone)
    }

    /// Places all suspects of a phase on a worker where this placement has begun a test; returns whether
    /// there is one.
    fn join_test(&mut self, phase: PhaseRef, suspects: &[usize], budget: &mut usize) -> bool {
        let count = suspects.len();
        if count == 0 || self.within_limit(phase, count).min(*budget) < count {
            return false;
        }
        let Some(plan) = self.plan_test(phase, count) else { return false };
        *budget -= count;
        self.create_attempts(phase, suspects, &plan);
        self.start_probation(phase, suspects);
        self.lone_suspects.join(plan[0]);
        true
    }

    /// Plans to place tasks of a phase on a worker where this placement has begun a test.
    fn plan_test(&self, phase: PhaseRef, count: usize) -> Option<Vec<WorkerKey>> {
        let hosts = StepHosts::new(self, phase);
        let groups = self.lone_suspects.open_groups();
        let fitting = groups.filter(|worker| hosts.allows(*worker, ExclusionSet::TO_JOIN_TEST));
        let mut plans = fitting.map(|worker| hosts.plan_tasks(&[worker], count));
        plans.find(|plan| plan.len() == count)
    }

    /// Returns whether a phase that waits to be tested with others should get tickets meanwhile, so that
    /// they have some for the same worker.
    fn gathers_tickets(&mut self, phase: PhaseRef) -> bool {
        let hosts = StepHosts::new(self, phase);
        let may_test = |key: &&WorkerKey| hosts.allows(**key, ExclusionSet::TO_JOIN_TEST);
        let has_few = hosts.entry().allowed.keys().filter(may_test).count() < MIN_TICKETS;
        self.lone_suspects.gather() && has_few
    }

    /// Places a gang with a suspected member. All of its members are on probation, and share no worker
    /// with others if there is another way.
    pub(super) fn place_suspect_gang(
        &mut self,
        phase: PhaseRef,
        available: &AvailableWorkers,
        budget: &mut usize,
    ) -> PlacementOutcome {
        let tasks = &self.jobs[phase.job].phases[phase.phase].tasks;
        let members: Vec<usize> =
            (0..tasks.len()).filter(|index| tasks[*index].is_waiting()).collect();
        let is_allowed = self.placeable_tasks(phase, members.len()) == members.len();
        if !self.has_probation_worker() || !is_allowed {
            return PlacementOutcome::Blocked;
        }
        let hosts = StepHosts::new(self, phase);
        let mut workers = self.candidates(&hosts, available);
        workers.sort_by_key(|key| self.workers[*key].attempts.len());
        let plan = self.plan_gang(&hosts, &workers, members.len());
        if plan.is_empty() {
            return PlacementOutcome::Incomplete;
        }
        *budget = budget.saturating_sub(plan.len());
        self.create_attempts(phase, &members, &plan);
        self.start_probation(phase, &members);
        PlacementOutcome::Placed
    }

    /// Returns whether another worker may run a suspect. More workers may while many suspects wait, and
    /// all that are idle while nothing else needs them.
    fn has_probation_worker(&mut self) -> bool {
        let workers = self.workers.len();
        let used = self.workers.values().filter(|worker| worker.probations > 0).count();
        let for_waiting = self.suspect_backlog.waiting() / WAITING_SHARE;
        let idle = match self.may_use_idle() {
            true => self.workers.values().filter(|worker| worker.attempts.is_empty()).count(),
            false => 0,
        };
        let limit = (workers / PROBATION_SHARE)
            .max(for_waiting.min(workers / MAX_WAITING_SHARE))
            .max(MIN_PROBATION_WORKERS);
        let has_worker = used < limit || idle > 0;
        if !has_worker {
            self.suspect_backlog.record_suspects();
        }
        has_worker
    }

    /// Returns whether suspects may have idle workers: nothing else waits, or little of the capacity is
    /// in use, and has been for some time.
    fn may_use_idle(&self) -> bool {
        let is_use_low = self.suspect_backlog.has_use_been_low(self.time.now_ms);
        !self.suspect_backlog.have_others_waited() || (is_use_low && self.is_use_low())
    }

    /// Returns whether other work uses less than half of what the workers without suspects have.
    fn is_use_low(&self) -> bool {
        let (mut used, mut capacity) = (ResourceSet::default(), ResourceSet::default());
        let is_regular = |worker: &&WorkerEntry| !worker.is_silent && worker.probations == 0;
        for worker in self.workers.values().filter(is_regular) {
            used = used.plus(&worker.used);
            capacity = capacity.plus(&worker.report.capacity);
        }
        used.times(2).fits(&capacity)
    }

    /// Begins a placement: takes stock of what the last one left waiting.
    pub(super) fn begin_suspect_backlog(&mut self) {
        self.lone_suspects.begin(self.time.now_ms);
        let is_use_low = self.suspect_backlog.have_suspects_waited() && self.is_use_low();
        self.suspect_backlog.begin(self.time.now_ms, is_use_low);
    }

    /// Returns what decides which workers may run a suspect of a phase. With an adviser, busier workers than
    /// necessary are left out, so that it is asked about the others, a few times.
    fn calm_hosts(&self, phase: PhaseRef, available: &AvailableWorkers) -> StepHosts<'_> {
        let hosts = StepHosts::new(self, phase);
        if !hosts.needs_calm() {
            return hosts;
        }
        let could_run = |key: &&WorkerKey| hosts.allows(**key, ExclusionSet::TO_START_WITH_TICKET);
        let load = |key: &WorkerKey| self.workers[*key].attempts.len();
        let all = available.of(hosts.service()).iter();
        let fewest = all.filter(could_run).map(load).min().unwrap_or(0);
        hosts.with_max_load(fewest + MAX_EXTRA_ATTEMPTS)
    }

    /// Returns the workers that may run a suspect now, those with the fewest attempts first.
    fn calm_candidates(
        &self,
        hosts: &StepHosts<'_>,
        available: &AvailableWorkers,
    ) -> Vec<WorkerKey> {
        let mut workers = self.candidates(hosts, available);
        workers.retain(|key| !hosts.holds(WorkerExclusion::Load, *key));
        workers.sort_by_key(|key| {
            let worker = &self.workers[*key];
            (worker.gang_members, worker.attempts.len())
        });
        workers
    }

    /// Puts the new attempts at tasks of a phase on probation.
    pub(super) fn start_probation(&mut self, phase: PhaseRef, indexes: &[usize]) {
        for index in indexes {
            let attempt = self.jobs[phase.job].phases[phase.phase].tasks[*index].attempt;
            if let Some(key) = attempt {
                self.attempts[key].is_on_probation = true;
                let worker = self.attempts[key].worker;
                self.workers[worker].probations += 1;
                self.log_attempt("attempt_on_probation", key, "");
            }
        }
    }

    /// Ends the probation of an attempt that has not crashed its worker.
    pub(super) fn end_probation(&mut self, key: AttemptKey) {
        let attempt = &mut self.attempts[key];
        if std::mem::take(&mut attempt.is_on_probation) {
            let worker = &mut self.workers[attempt.worker];
            worker.probations = worker.probations.saturating_sub(1);
            self.is_placement_due = true;
        }
    }
}
