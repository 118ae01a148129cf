//! Where a task may run by the rules alone, written apart from the core.

use {
    super::{FakeCell, FakeWorker, load_model::job_id},
    damaskrack_cell::{ResourceSet, StepSpec},
};

/// Returns the name of a task's step.
pub(super) fn step_name(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

impl FakeCell {
    /// Returns whether the rules allow a task on a worker, apart from what else runs there and from tickets.
    fn is_suitable(&self, name: &str, step: &StepSpec, worker: &FakeWorker) -> bool {
        let record = &self.records[job_id(name)];
        let queue = self.config.queues.get(&record.queue);
        let service = queue.map_or(&record.service, |queue| &queue.service);
        let report = &worker.report;
        let has_adviser = queue.map_or(record.advice, |queue| queue.advice).is_some();
        let is_allowed = self.is_advised(name, &report.id);
        *service == report.service
            && (step.required_label.is_empty() || report.labels.contains(&step.required_label))
            && (!has_adviser || is_allowed)
    }

    /// Returns how many more tasks of a step the rules allow on a worker now.
    fn places(&self, name: &str, worker: &FakeWorker) -> u64 {
        let step = self.step_of(&format!("{name}.0"));
        let is_closed = self.config.closed_zones.contains(&worker.report.zone);
        if worker.is_silent || worker.report.is_leaving || is_closed {
            return 0;
        }
        if !self.is_suitable(name, step, worker) {
            return 0;
        }
        let used = |sum: ResourceSet, more: &ResourceSet| sum.plus(more);
        let used = worker.runs.iter().map(|run| &run.resources).fold(ResourceSet::default(), used);
        let fitting = worker.report.capacity.minus(&used).count_fitting(&step.resources());
        let siblings = worker.runs.iter().filter(|run| step_name(&run.task) == name).count();
        match u64::from(step.max_per_worker) {
            0 => fitting,
            limit => fitting.min(limit.saturating_sub(siblings as u64)),
        }
    }

    /// Asserts that the rules allow a task that has just started where it has.
    pub(super) fn check_place(&self, task: &str, at: &str) {
        let (worker, name) = (&self.workers[at], step_name(task));
        let record = &self.records[job_id(task)];
        let step = self.step_of(task);
        assert!(self.is_suitable(name, step, worker), "{task} may not run on {at}");
        let siblings = worker.runs.iter().filter(|run| step_name(&run.task) == name).count();
        let is_within = step.max_per_worker == 0 || siblings <= step.max_per_worker as usize;
        assert!(is_within, "{siblings} tasks of {name} run on {at}");
        let has_adviser =
            self.config.queues.get(&record.queue).is_some_and(|queue| queue.advice.is_some());
        let is_valid = self.tickets.has_valid(name, at, self.now_ms);
        assert!(!has_adviser || is_valid, "{task} started on {at} without a valid ticket");
    }

    /// Returns the tasks of the first steps of jobs that have not ended, do not run, and may by the rules: those of
    /// a gang only if all of them may.
    pub(crate) fn startable_tasks(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (id, record) in &self.jobs {
            if self.core.state_of(id).is_none_or(|state| state.is_final()) {
                continue;
            }
            let name = format!("{id}.0.0");
            let up = || self.workers.values().filter(|worker| !worker.is_silent);
            let runs = |task: &String| up().any(|at| at.runs.iter().any(|run| run.task == *task));
            let tasks = (0..record.steps[0].tasks).map(|index| format!("{name}.{index}"));
            let waiting: Vec<String> =
                tasks.filter(|task| !runs(task) && !self.has_ended(task)).collect();
            let places: u64 =
                up().map(|worker| self.places(&name, worker).min(waiting.len() as u64)).sum();
            let needed = if record.steps[0].is_gang { waiting.len() as u64 } else { 1 };
            if !waiting.is_empty() && places >= needed {
                found.extend(waiting);
            }
        }
        found
    }

    /// Returns whether a task that ends is done.
    fn has_ended(&self, task: &str) -> bool {
        self.done.contains_key(task) && !self.step_of(task).is_service
    }
}
