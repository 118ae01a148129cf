//! The load of the classes of work, as admission control sees it.
//!
//! A class of work is the steps of one service, priority class and kind (gangs or single tasks).
//! A measurement lists the work that waits, in the order of the backlog. Starts, admissions and
//! refusals are recorded in between. Nothing of it is stored: a new leader lists the work that waits
//! at once, and learns the rates within seconds.

use {
    super::{
        CellCore,
        advice::INITIAL_GRANT_RATE,
        backlog::BacklogRank,
        class_rates::ClassRates,
        expected_end::{JobTimes, LoadAhead, Verdict, WorkAhead},
        shares::{ServiceShares, dominant_share},
        team_bursts::TeamBursts,
    },
    crate::{JobRecord, ResourceSet, StepSpec, message::PhaseRef, table::JobEntry},
    rustc_hash::FxHashMap,
};

/// Time for which a measurement is reused, in milliseconds.
const MEASURE_INTERVAL_MS: u64 = 50;

/// A class of work: steps of one service, priority class and kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct WorkClass {
    service: String,
    priority: u32,
    is_gang: bool,
}

/// Work that waits.
#[derive(Debug)]
struct WaitingWork {
    team: String,
    rank: BacklogRank,
    /// Share of the capacity multiplied by milliseconds.
    work: f64,
}

/// What is known of one class of work.
#[derive(Debug, Default)]
struct ClassState {
    rates: ClassRates,
    waiting: Vec<WaitingWork>,
    /// Resources of the tasks that could start.
    ready: ResourceSet,
}

/// The classes of work.
#[derive(Debug, Default)]
pub(super) struct ClassLoad {
    measured_ms: u64,
    classes: FxHashMap<WorkClass, ClassState>,
    bursts: TeamBursts,
}

impl ClassLoad {
    /// Returns the resources of the tasks up to a priority class that could start.
    fn ready_up_to(&self, service: &str, priority: u32) -> ResourceSet {
        let classes = self.classes.iter();
        let before = classes.filter(|(key, _)| key.service == service && key.priority <= priority);
        before.fold(ResourceSet::default(), |sum, (_, class)| sum.plus(&class.ready))
    }
}

impl ClassState {
    /// Returns the work that comes before a job of a team, of each team no more than `most_of`
    /// returns.
    fn ahead_of(
        &self,
        team: &str,
        comes_before: impl Fn(&BacklogRank) -> bool,
        most_of: impl Fn(&str) -> f64,
    ) -> WorkAhead {
        let mut by_team: FxHashMap<&str, f64> = FxHashMap::default();
        for waiting in self.waiting.iter().filter(|waiting| comes_before(&waiting.rank)) {
            *by_team.entry(&waiting.team).or_default() += waiting.work;
        }
        let own = by_team.get(team).copied().unwrap_or_default();
        let all = by_team.iter().map(|(team, work)| work.min(most_of(team))).sum();
        WorkAhead { all, own }
    }
}

impl CellCore {
    /// Decides by its expected end whether a job is admitted, with the load of the last placement.
    pub(super) fn judge_expected_end(&mut self, record: &JobRecord) -> Verdict {
        let times = self.job_times(record);
        let load = self.load_ahead(record);
        let verdict = load.map_or(Verdict::Admit, |load| Verdict::on(times, &load));
        self.record_verdict(record, verdict);
        verdict
    }

    fn record_verdict(&mut self, record: &JobRecord, verdict: Verdict) {
        for step in &record.steps {
            let Some(work) = self.step_work(record, step) else { return };
            let key = self.work_class(record, step.is_gang);
            let rates = &mut self.class_load.classes.entry(key).or_default().rates;
            match verdict {
                Verdict::Admit => rates.record_admission(work),
                Verdict::Refuse { .. } => rates.record_refusal(work),
            }
        }
    }

    /// Measures the classes again if the last measurement is old.
    pub(super) fn update_classes(&mut self) {
        let now_ms = self.time.now_ms;
        if now_ms < self.class_load.measured_ms + MEASURE_INTERVAL_MS {
            return;
        }
        let mut load = std::mem::take(&mut self.class_load);
        load.measured_ms = now_ms;
        for class in load.classes.values_mut() {
            class.waiting.clear();
            class.ready = ResourceSet::default();
        }
        for key in &self.live {
            self.list_waiting(&self.jobs[*key], &mut load);
        }
        for class in load.classes.values_mut() {
            class.rates.measure(now_ms, class.ready != ResourceSet::default());
        }
        load.bursts.measure(now_ms, self.shares.services());
        self.class_load = load;
        self.note_ready_phases();
    }

    /// Adds the waiting work of a job to its classes, unless its result can no longer be useful.
    fn list_waiting(&self, job: &JobEntry, load: &mut ClassLoad) {
        let rank = self.backlog_rank(job);
        if rank.is_too_late() {
            return;
        }
        for (index, phase) in job.phases.iter().enumerate() {
            let step = &job.record.steps[phase.step];
            if phase.unassigned == 0 || step.is_service {
                continue;
            }
            let Some(work) = self.step_work(&job.record, step) else { return };
            let work = work * phase.unassigned as f64 / f64::from(step.tasks.max(1));
            let class = load.classes.entry(self.work_class(&job.record, step.is_gang)).or_default();
            class.waiting.push(WaitingWork { team: job.record.team.clone(), rank, work });
            if job.is_ready(index) && !rank.gives_way() {
                class.ready = class.ready.plus(&step.resources().times(phase.unassigned as u64));
            }
        }
    }

    /// Records since when phases wait.
    fn note_ready_phases(&mut self) {
        let now_ms = self.time.now_ms;
        for key in &self.live {
            let job = &mut self.jobs[*key];
            for phase in 0..job.phases.len() {
                if job.phases[phase].unassigned > 0 && job.is_ready(phase) {
                    job.phases[phase].ready_ms.get_or_insert(now_ms);
                }
            }
        }
    }

    /// Records that some tasks of a phase start.
    pub(super) fn record_class_start(&mut self, phase: PhaseRef, tasks: usize) {
        let now_ms = self.time.now_ms;
        let job = &mut self.jobs[phase.job];
        let entry = &mut job.phases[phase.phase];
        let is_whole = entry.unassigned == 0;
        let ready_ms = if is_whole { entry.ready_ms.take() } else { entry.ready_ms };
        let job = &self.jobs[phase.job];
        let step = &job.record.steps[job.phases[phase.phase].step];
        let Some(work) = self.step_work(&job.record, step).filter(|_| !step.is_service) else {
            return;
        };
        let started = work * tasks as f64 / f64::from(step.tasks.max(1));
        let key = self.work_class(&job.record, step.is_gang);
        let rates = &mut self.class_load.classes.entry(key).or_default().rates;
        rates.record_start(started);
        if is_whole {
            let wait_ms = now_ms.saturating_sub(ready_ms.unwrap_or(now_ms));
            rates.waits.record(tasks, wait_ms as f64);
        }
    }

    /// Takes back the record of a task that did not start after all.
    pub(super) fn undo_class_start(&mut self, phase: PhaseRef) {
        let job = &self.jobs[phase.job];
        let step = &job.record.steps[job.phases[phase.phase].step];
        let Some(work) = self.step_work(&job.record, step).filter(|_| !step.is_service) else {
            return;
        };
        let key = self.work_class(&job.record, step.is_gang);
        if let Some(class) = self.class_load.classes.get_mut(&key) {
            class.rates.record_start(-work / f64::from(step.tasks.max(1)));
        }
    }

    fn work_class(&self, record: &JobRecord, is_gang: bool) -> WorkClass {
        let service = self.service_of(record).to_owned();
        WorkClass { service, priority: self.priority_of(record), is_gang }
    }

    /// Returns the work of a step as a share of the service's capacity multiplied by milliseconds; `None`
    /// while no worker is known.
    fn step_work(&self, record: &JobRecord, step: &StepSpec) -> Option<f64> {
        let shares = self.shares.of(self.service_of(record))?;
        let resources = step.resources().times(u64::from(step.tasks));
        let run_ms = step.estimate_ms as f64 * self.run_ratio(&record.queue);
        Some(dominant_share(&resources, &shares.capacity) * run_ms)
    }

    fn job_times(&self, record: &JobRecord) -> JobTimes {
        let queue = self.config.queues.get(&record.queue);
        let chain = chain_length(record);
        let critical_path_ms = self.path_ms(record) + chain as f64 * self.typical_call_ms(record);
        let slack = queue.map_or(1.0, |queue| queue.slack_factor.max(1.0));
        let constant_ms = queue.map_or(0.0, |queue| queue.latency_objective_ms as f64);
        JobTimes {
            critical_path_ms,
            objective_ms: slack * critical_path_ms + constant_ms,
            later_steps: chain.saturating_sub(1),
        }
    }

    /// Returns the load that a job meets; `None` while nothing is known of its service.
    fn load_ahead(&self, record: &JobRecord) -> Option<LoadAhead> {
        let shares = self.shares.of(self.service_of(record))?;
        let is_gang = record.steps.iter().any(|step| step.is_gang);
        let class = self.class_load.classes.get(&self.work_class(record, is_gang))?;
        let within_ms = self.max_wait_ms(record);
        let most_of = |team: &str| self.limit_part(team, &shares.capacity) * within_ms;
        let rank = self.rank_of_new(record);
        let tasks = record.steps.iter().map(|step| step.tasks as usize).max().unwrap_or(0);
        Some(LoadAhead {
            is_capacity_free: self.has_free_capacity(record, shares),
            rate: class.rates.rate(),
            spare_part: class.rates.spare_part(),
            in_time: class.ahead_of(&record.team, |other| *other <= rank, most_of),
            waiting: class.ahead_of(&record.team, |_| true, most_of),
            refused: class.rates.refused(),
            team_part: shares.available_part(&record.team),
            burst: self.class_load.bursts.degree(self.service_of(record), &record.team),
            size_factor: if is_gang { class.rates.waits.size_factor(tasks) } else { 1.0 },
            recent_wait_ms: class.rates.waits.average_ms(),
        })
    }

    /// Returns the largest part of a capacity that a team's limit lets it use.
    fn limit_part(&self, team: &str, capacity: &ResourceSet) -> f64 {
        let limit = self.config.teams.get(team).map(|team| team.limit).unwrap_or_default();
        let part = |limit: u64, whole: u64| match limit {
            0 => f64::INFINITY,
            _ if whole == 0 => f64::INFINITY,
            limit => limit as f64 / whole as f64,
        };
        part(limit.cpu_millis, capacity.cpu_millis)
            .min(part(limit.memory_mb, capacity.memory_mb))
            .min(part(limit.accelerators, capacity.accelerators))
    }

    /// Returns whether there is free capacity for a job's largest step and for what could start before it.
    /// With an adviser, only the share of it counts that it is likely to allow.
    fn has_free_capacity(&self, record: &JobRecord, shares: &ServiceShares) -> bool {
        let steps = record.steps.iter();
        let own = steps.map(|step| step.resources().times(u64::from(step.tasks)));
        let largest = own.map(|own| dominant_share(&own, &shares.capacity)).fold(0.0, f64::max);
        let ready = self.class_load.ready_up_to(self.service_of(record), self.priority_of(record));
        let wanted = largest + dominant_share(&ready, &shares.capacity);
        let queue = self.config.queues.get(&record.queue);
        let allowed = match queue.and_then(|queue| queue.advice) {
            Some(_) => self.grant_rate.get(&record.queue).copied().unwrap_or(INITIAL_GRANT_RATE),
            None => 1.0,
        };
        wanted <= (1.0 - shares.used).max(0.0) * allowed
    }
}

/// Returns the number of steps of the longest chain of steps.
fn chain_length(record: &JobRecord) -> usize {
    let mut lengths: Vec<usize> = Vec::with_capacity(record.steps.len());
    for step in &record.steps {
        let before = step.after.iter().filter_map(|after| lengths.get(*after as usize)).max();
        lengths.push(before.copied().unwrap_or(0) + 1);
    }
    lengths.into_iter().max().unwrap_or(0)
}
