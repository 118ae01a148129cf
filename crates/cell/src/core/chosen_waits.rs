//! Steps that wait for better workers by choice.
//!
//! A step that waits reserves nothing: the free workers that it passes over go to the next steps of the same
//! placement. Its wait is decided anew every few placements, and ends for good once the step has waited
//! as long as it may since it could first have started.

use {
    super::{
        CellCore,
        better_places::{FoundPlaces, WaitPass, WorkerPlaces},
        call_workers::MAX_WORKERS,
        place_wait::{BetterPlace, PlaceWait, StartCase, StartDecision},
        step_hosts::StepHosts,
        worker_exclusion::WorkerExclusion,
    },
    crate::{WaitPolicy, WorkerKey, message::PhaseRef, table::ChosenWait},
};

/// Time after which a wait is decided anew, in milliseconds. Expected ends change with reports of progress, which
/// come less often.
const REVIEW_MS: u64 = 100;

/// The part of a plan that starts, and the number of tasks that wait by choice.
#[derive(Debug)]
pub(super) struct HeldPlan {
    pub(super) plan: Vec<WorkerKey>,
    pub(super) held: usize,
}

/// A wait that has been decided, and the number of workers that were looked at.
#[derive(Debug, Default)]
struct WaitChoice {
    wait: Option<ChosenWait>,
    looks: usize,
}

impl CellCore {
    /// Begins a placement.
    pub(super) fn begin_wait_pass(&mut self) {
        self.wait_pass = WaitPass::default();
        if self.waits_by_choice() {
            self.refresh_place_index();
        }
    }

    fn waits_by_choice(&self) -> bool {
        self.settings.features.place_wait != WaitPolicy::Off
    }

    /// Moves the workers to the front that are as good as those for which a step waits by choice.
    pub(super) fn best_first(&self, phase: PhaseRef, workers: &mut [WorkerKey]) {
        let wait = self.phase(phase).and_then(|entry| entry.chosen_wait.as_ref());
        let Some(wait) = wait.filter(|_| self.waits_by_choice()) else { return };
        let hosts = StepHosts::new(self, phase);
        workers.sort_by_cached_key(|key| {
            let is_avoided = self.is_avoided(&hosts, *key);
            (is_avoided, self.run_ms_at(phase, &hosts, *key) > wait.run_ms)
        });
    }

    /// Decides which tasks of a plan wait for better workers.
    pub(super) fn hold_for_better(&mut self, phase: PhaseRef, plan: Vec<WorkerKey>) -> HeldPlan {
        if !self.waits_by_choice() {
            return HeldPlan { plan, held: 0 };
        }
        let former = self.phase_mut(phase).and_then(|entry| entry.chosen_wait.take());
        if plan.is_empty() || self.is_service_step(phase) {
            return HeldPlan { plan, held: 0 };
        }
        let plan = self.sorted_by_run(phase, plan);
        let wait = match former.as_ref() {
            Some(wait) if self.is_still_decided(wait) => self.kept_wait(phase, wait, &plan),
            _ => {
                let choice = self.choose_wait(phase, &plan);
                self.wait_pass.record_looks(choice.looks);
                choice.wait
            }
        };
        self.log_wait(phase, former.as_ref(), wait.as_ref(), &plan);
        match wait {
            Some(wait) => self.hold(phase, plan, wait),
            None => HeldPlan { plan, held: 0 },
        }
    }

    /// Returns whether the adviser has to be asked about workers that a step waits for.
    pub(super) fn must_ask_for_awaited(&self, phase: PhaseRef) -> bool {
        !self.workers_to_ask_about(phase).is_empty()
    }

    /// Returns the workers that a step waits for by choice and that the adviser has to be asked about now.
    pub(super) fn workers_to_ask_about(&self, phase: PhaseRef) -> Vec<WorkerKey> {
        let now_ms = self.time.now_ms;
        let wait = self.phase(phase).and_then(|entry| entry.chosen_wait.as_ref());
        let is_due = |wait: &&ChosenWait| wait.ask_ms.is_some_and(|ask_ms| ask_ms <= now_ms);
        let Some(wait) = wait.filter(is_due) else { return Vec::new() };
        let hosts = StepHosts::new(self, phase);
        let mut workers = wait.workers.clone();
        workers.sort_unstable();
        workers.dedup();
        workers.truncate(MAX_WORKERS);
        let timing = self.advice_timing(phase);
        let call_ms = timing.map_or(0, |timing| timing.duration_us(workers.len()) / 1_000);
        let needed_ms = wait.until_ms.saturating_sub(now_ms).min(call_ms);
        workers.retain(|key| {
            !hosts.holds(WorkerExclusion::Denial, *key) && !hosts.has_ticket_for(*key, needed_ms)
        });
        workers
    }

    /// Keeps the tasks of a plan that wait from starting.
    fn hold(&mut self, phase: PhaseRef, mut plan: Vec<WorkerKey>, wait: ChosenWait) -> HeldPlan {
        let held = wait.workers.len();
        plan.truncate(plan.len().saturating_sub(held));
        let job = &self.jobs[phase.job];
        let need = job.record.steps[job.phases[phase.phase].step].resources();
        wait.workers.iter().for_each(|worker| self.wait_pass.await_place(*worker, need));
        self.wait_pass.record_due(wait.until_ms);
        let ask_ms = wait.ask_ms.filter(|ask_ms| *ask_ms > self.time.now_ms);
        ask_ms.into_iter().for_each(|ask_ms| self.wait_pass.record_due(ask_ms));
        let now_ms = self.time.now_ms;
        if let Some(entry) = self.phase_mut(phase) {
            entry.startable_ms.get_or_insert(now_ms);
            entry.chosen_wait = Some(wait);
        }
        HeldPlan { plan, held }
    }

    fn is_still_decided(&self, wait: &ChosenWait) -> bool {
        let now_ms = self.time.now_ms;
        now_ms < wait.until_ms && (now_ms < wait.review_ms || !self.wait_pass.may_look())
    }

    /// Returns what is left of a wait: the tasks that can start where they would be as fast do.
    fn kept_wait(
        &self,
        phase: PhaseRef,
        wait: &ChosenWait,
        plan: &[WorkerKey],
    ) -> Option<ChosenWait> {
        let hosts = StepHosts::new(self, phase);
        let is_good = |key: &WorkerKey| self.run_ms_at(phase, &hosts, *key) <= wait.run_ms;
        let good = match hosts.step().is_gang {
            true if self.gang_run_ms(phase, &hosts, plan) <= wait.run_ms => plan.len(),
            true => 0,
            false => plan.iter().take_while(|key| is_good(key)).count(),
        };
        let held = wait.workers.len().saturating_sub(good).min(plan.len() - good);
        let workers = wait.workers[..held].to_vec();
        (held > 0).then_some(ChosenWait { workers, ..*wait })
    }

    /// Decides whether a step waits.
    fn choose_wait(&self, phase: PhaseRef, plan: &[WorkerKey]) -> WaitChoice {
        let hosts = StepHosts::new(self, phase);
        match () {
            () if !self.wait_pass.may_look() => WaitChoice::default(),
            // A gang advances at the speed of its slowest member, so one better worker is no gain.
            () if hosts.step().is_gang && !hosts.step().is_rack_coupled => WaitChoice::default(),
            () if hosts.step().is_gang => self.choose_rack(phase, &hosts, plan),
            () => self.choose_workers(phase, &hosts, plan),
        }
    }

    fn choose_rack(
        &self,
        phase: PhaseRef,
        hosts: &StepHosts<'_>,
        plan: &[WorkerKey],
    ) -> WaitChoice {
        let run_ms = self.gang_run_ms(phase, hosts, plan);
        let inside_ms = self.expected_run_ms(phase).min(run_ms);
        let case = self.start_case(phase, hosts, plan, run_ms);
        if !case.is_better(inside_ms) {
            return WaitChoice::default();
        }
        let FoundPlaces { places, looks } = self.better_racks(phase, hosts, plan);
        let decision = PlaceWait::new(self.settings.features.place_wait).decide(&case, &places);
        let wait = match decision {
            StartDecision::StartNow => None,
            StartDecision::Wait { place, wait_ms } => {
                let chosen = places.iter().find(|known| known.place == place);
                let best_ms = chosen.map_or(run_ms, |place| place.run_ms);
                let ask_ms = chosen.and_then(|place| self.ask_ms(&case, place));
                Some(self.wait_until(place, best_ms, wait_ms, ask_ms))
            }
        };
        WaitChoice { wait, looks }
    }

    /// Decides for each task of a plan whether it waits, from the one with the longest run time on. A place
    /// counts for one task.
    fn choose_workers(
        &self,
        phase: PhaseRef,
        hosts: &StepHosts<'_>,
        plan: &[WorkerKey],
    ) -> WaitChoice {
        let last_ms = plan.last().map_or(0.0, |key| self.run_ms_at(phase, hosts, *key));
        let case = self.start_case(phase, hosts, plan, last_ms);
        let FoundPlaces { mut places, looks } = self.better_workers(phase, hosts, &case);
        let policy = PlaceWait::new(self.settings.features.place_wait);
        let mut wait: Option<ChosenWait> = None;
        for key in plan.iter().rev() {
            let case = StartCase { run_ms: self.run_ms_at(phase, hosts, *key), ..case };
            let StartDecision::Wait { place, wait_ms } = policy.decide(&case, &places) else {
                break;
            };
            let Some(index) = places.iter().position(|known| known.place == place) else { break };
            let ask_ms = self.ask_ms(&case, &places[index]);
            let next = self.wait_until(vec![place.worker], places[index].run_ms, wait_ms, ask_ms);
            wait = Some(wait.map_or_else(|| next.clone(), |wait| wait.and(&next)));
            use_place(&mut places, index);
        }
        WaitChoice { wait, looks }
    }

    fn wait_until(
        &self,
        workers: Vec<WorkerKey>,
        run_ms: f64,
        wait_ms: f64,
        ask_ms: Option<u64>,
    ) -> ChosenWait {
        let now_ms = self.time.now_ms;
        // A float-to-integer cast saturates.
        let until_ms = now_ms.saturating_add(wait_ms as u64);
        ChosenWait { workers, run_ms, until_ms, review_ms: now_ms + REVIEW_MS, ask_ms }
    }

    /// Returns the time at which the adviser has to be asked about a place, so that it responds when the place
    /// is free.
    fn ask_ms<P>(&self, case: &StartCase, place: &BetterPlace<P>) -> Option<u64> {
        let lead_ms = (place.opening.free_ms() - case.call_ms).max(0.0);
        // A float-to-integer cast saturates.
        place.needs_call.then(|| self.time.now_ms.saturating_add(lead_ms as u64))
    }

    /// Returns the longest run time of a task of a step on planned workers, in milliseconds.
    pub(super) fn plan_run_ms(&self, phase: PhaseRef, plan: &[WorkerKey]) -> f64 {
        self.gang_run_ms(phase, &StepHosts::new(self, phase), plan)
    }

    /// Returns the case of a step that could start by a plan now and run for some time.
    fn start_case(
        &self,
        phase: PhaseRef,
        hosts: &StepHosts<'_>,
        plan: &[WorkerKey],
        run_ms: f64,
    ) -> StartCase {
        let now_ms = self.time.now_ms;
        let named = plan.len().min(MAX_WORKERS);
        let call_us = self.advice_timing(phase).map_or(0, |timing| timing.duration_us(named));
        let valid_ms = |key: &WorkerKey| {
            let held = hosts.entry().allowed.get(key);
            held.map_or(0, |held| held.times.valid_until_ms.saturating_sub(now_ms))
        };
        let ticket_ms = match hosts.needs_ticket() {
            true => plan.iter().map(valid_ms).min().unwrap_or(0) as f64,
            false => f64::INFINITY,
        };
        StartCase {
            run_ms,
            waited_ms: self.waited_ms(phase),
            left: self.time_left(phase),
            call_ms: call_us as f64 / 1_000.0,
            ticket_ms,
        }
    }

    /// Returns the time since a step could first have started, in milliseconds. How long it has waited under
    /// a former leader is not known, so it counts from the job's acceptance then.
    fn waited_ms(&self, phase: PhaseRef) -> f64 {
        let job = &self.jobs[phase.job];
        let waited_ms = match job.is_inherited {
            true => self.time.wall_ms.saturating_sub(self.step_due_ms(phase)),
            false => {
                let first_ms = job.phases[phase.phase].startable_ms.unwrap_or(self.time.now_ms);
                self.time.now_ms - first_ms
            }
        };
        waited_ms as f64
    }

    fn sorted_by_run(&self, phase: PhaseRef, mut plan: Vec<WorkerKey>) -> Vec<WorkerKey> {
        let hosts = StepHosts::new(self, phase);
        plan.sort_by_cached_key(|key| self.whole_run_ms(phase, &hosts, *key));
        plan
    }

    /// Returns the run time of a task of a step on a worker in whole milliseconds.
    fn whole_run_ms(&self, phase: PhaseRef, hosts: &StepHosts<'_>, worker: WorkerKey) -> u64 {
        // A float-to-integer cast saturates.
        self.run_ms_at(phase, hosts, worker) as u64
    }

    pub(super) fn is_service_step(&self, phase: PhaseRef) -> bool {
        let job = &self.jobs[phase.job];
        job.record.steps[job.phases[phase.phase].step].is_service
    }
}

/// Removes one task's place.
fn use_place(places: &mut Vec<BetterPlace<WorkerPlaces>>, index: usize) {
    places[index].place.tasks -= 1;
    if places[index].place.tasks == 0 {
        places.swap_remove(index);
    }
}
