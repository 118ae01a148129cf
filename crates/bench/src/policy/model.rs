//! A model of a cell with a central scheduler that decides without delay.
//!
//! It has no messages, leases or faults, so it favours the policies that run in it: it shows the
//! effect of a rule on the work, not the cost of carrying the rule out.

use {
    super::{
        mix::{MixArrival, WorkCategory, WorkMix},
        outcome::{PolicyRun, TaskRun},
        rule::PlacementRule,
    },
    damaskrack_model::{PriorityClass, Resources, WorkKind},
    damaskrack_policy::{PreemptionCandidate, WorkerFreeCapacity, choose_victims},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
    },
};

/// Index of the zone that is taken out of service; rack n is in zone n modulo the number of zones.
const REMOVED_ZONE: usize = 1;

/// Number of availability zones.
const ZONES: usize = 3;

/// A job and its waiting tasks.
#[derive(Debug)]
pub(super) struct ModelJob {
    pub(super) arrival: usize,
    pub(super) team: usize,
    pub(super) priority: PriorityClass,
    need: Resources,
    kind: WorkKind,
    /// Waiting tasks with their remaining run time.
    waiting: VecDeque<(u32, u64)>,
}

/// A task that runs on a worker.
#[derive(Debug)]
struct RunningTask {
    job: usize,
    task: u32,
    worker: usize,
    start_ms: u64,
    remaining_ms: u64,
    is_preemptible: bool,
}

/// State of the cell; rules read it.
#[derive(Debug)]
pub(super) struct ModelCell<'a> {
    pub(super) mix: &'a WorkMix,
    pub(super) jobs: Vec<ModelJob>,
    /// Resources of the running tasks of each team.
    pub(super) used: Vec<Resources>,
    /// Resources of the waiting tasks of each team.
    pub(super) waiting: Vec<Resources>,
    free_capacities: Vec<WorkerFreeCapacity>,
    running: Vec<Option<RunningTask>>,
    on_worker: Vec<Vec<usize>>,
    /// Ends of running tasks by time, with the index in `running`.
    completions: BinaryHeap<Reverse<(u64, usize)>>,
    /// Jobs with waiting tasks.
    backlog: Vec<usize>,
    runs: Vec<TaskRun>,
    now_ms: u64,
    rng: SmallRng,
}

/// Runs a mix under a placement rule.
pub(super) fn run(mix: &WorkMix, rule: &dyn PlacementRule, seed: u64) -> PolicyRun {
    let mut cell = ModelCell::new(mix, seed);
    let (out_ms, in_ms) = mix.zone_out_ms;
    let mut next = 0;
    loop {
        let arrival_ms = mix.arrivals.get(next).map(|arrival| arrival.at_ms);
        let end_ms = cell.completions.peek().map(|Reverse((at_ms, _))| *at_ms);
        let zone_ms = [out_ms, in_ms].into_iter().find(|&at_ms| at_ms > cell.now_ms);
        let Some(at_ms) = [arrival_ms, end_ms, zone_ms].into_iter().flatten().min() else { break };
        if at_ms >= mix.run_ms {
            break;
        }
        cell.now_ms = at_ms;
        while mix.arrivals.get(next).is_some_and(|arrival| arrival.at_ms == at_ms) {
            cell.submit_job(next, &mix.arrivals[next]);
            next += 1;
        }
        cell.complete_due_runs();
        if at_ms == out_ms {
            cell.remove_zone();
        } else if at_ms == in_ms {
            cell.set_zone_open(true);
        }
        cell.schedule(rule);
    }
    cell.now_ms = mix.run_ms;
    for key in 0..cell.running.len() {
        cell.end_run(key, false);
    }
    PolicyRun { policy: rule.name().to_owned(), runs: cell.runs, control: None }
}

impl<'a> ModelCell<'a> {
    fn new(mix: &'a WorkMix, seed: u64) -> Self {
        let free_capacity = WorkerFreeCapacity {
            capacity: mix.worker,
            free: mix.worker,
            free_slots: mix.slots,
            is_open: true,
        };
        Self {
            mix,
            jobs: Vec::new(),
            used: vec![Resources::ZERO; mix.teams.len()],
            waiting: vec![Resources::ZERO; mix.teams.len()],
            free_capacities: vec![free_capacity; mix.workers()],
            running: Vec::new(),
            on_worker: vec![Vec::new(); mix.workers()],
            completions: BinaryHeap::new(),
            backlog: Vec::new(),
            runs: Vec::new(),
            now_ms: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the share of the cell that the weight of a team guarantees.
    pub(super) fn guaranteed(&self, team: usize) -> f64 {
        let total: u32 = self.mix.teams.iter().map(|team| team.share).sum();
        f64::from(self.mix.teams[team].share) / f64::from(total.max(1))
    }

    /// Returns the capacity of the zones in service.
    pub(super) fn open_capacity(&self) -> Resources {
        let open = self.free_capacities.iter().filter(|free_capacity| free_capacity.is_open).count()
            as u64;
        self.mix.worker.checked_mul(open).unwrap_or(self.mix.worker)
    }

    fn submit_job(&mut self, index: usize, arrival: &MixArrival) {
        let waiting = (0..arrival.tasks).map(|task| (task, arrival.run_ms)).collect();
        let amount = arrival.need.checked_mul(arrival.tasks.into()).unwrap_or(arrival.need);
        self.waiting[arrival.team] = self.waiting[arrival.team].saturating_add(amount);
        self.backlog.push(self.jobs.len());
        self.jobs.push(ModelJob {
            arrival: index,
            team: arrival.team,
            priority: arrival.priority,
            need: arrival.need,
            kind: arrival.kind,
            waiting,
        });
    }

    fn complete_due_runs(&mut self) {
        while let Some(&Reverse((at_ms, key))) = self.completions.peek()
            && at_ms <= self.now_ms
        {
            self.completions.pop();
            self.end_run(key, true);
        }
    }

    /// Ends a run; a task that is not complete returns to the front of the waiting tasks. A request
    /// starts over, other work keeps its progress.
    fn end_run(&mut self, key: usize, is_complete: bool) {
        let Some(ended) = self.running[key].take() else { return };
        let job = &mut self.jobs[ended.job];
        let (team, need, kind) = (job.team, job.need, job.kind);
        if !is_complete {
            let spent_ms = if kind == WorkKind::Request { 0 } else { self.now_ms - ended.start_ms };
            job.waiting
                .push_front((ended.task, ended.remaining_ms.saturating_sub(spent_ms).max(1)));
            self.waiting[team] = self.waiting[team].saturating_add(need);
            if !self.backlog.contains(&ended.job) {
                self.backlog.push(ended.job);
            }
        }
        self.used[team] = self.used[team].saturating_sub(need);
        let free_capacity = &mut self.free_capacities[ended.worker];
        free_capacity.free = free_capacity.free.saturating_add(need);
        free_capacity.free_slots += 1;
        self.on_worker[ended.worker].retain(|&other| other != key);
        self.runs.push(TaskRun {
            arrival: self.jobs[ended.job].arrival,
            task: ended.task,
            worker: ended.worker,
            start_ms: ended.start_ms,
            end_ms: self.now_ms,
            is_complete,
        });
    }

    fn set_zone_open(&mut self, is_open: bool) {
        for (index, free_capacity) in self.free_capacities.iter_mut().enumerate() {
            if index / self.mix.workers_per_rack % ZONES == REMOVED_ZONE {
                free_capacity.is_open = is_open;
            }
        }
    }

    fn remove_zone(&mut self) {
        self.set_zone_open(false);
        for worker in 0..self.free_capacities.len() {
            if !self.free_capacities[worker].is_open {
                for key in self.on_worker[worker].clone() {
                    self.end_run(key, false);
                }
            }
        }
    }

    fn schedule(&mut self, rule: &dyn PlacementRule) {
        let mut order = std::mem::take(&mut self.backlog);
        rule.sort(&mut order, self);
        for &job in &order {
            match self.jobs[job].kind {
                WorkKind::Gang => self.place_gang(job, rule),
                _ => while self.place_task(job, rule) {},
            }
        }
        let preempted = std::mem::take(&mut self.backlog);
        order.extend(preempted);
        order.sort_unstable();
        order.dedup();
        order.retain(|&job| !self.jobs[job].waiting.is_empty());
        self.backlog = order;
    }

    fn place_task(&mut self, job: usize, rule: &dyn PlacementRule) -> bool {
        let job_entry = &self.jobs[job];
        let need = job_entry.need;
        let Some(&(task, remaining_ms)) = job_entry.waiting.front() else { return false };
        if !rule.may_start(job_entry, need, self) {
            return false;
        }
        let draw = self.rng.random();
        let worker =
            rule.choose(&self.free_capacities, need, draw).or_else(|| self.preempt(job, rule));
        let Some(worker) = worker else { return false };
        self.jobs[job].waiting.pop_front();
        self.start_task(job, task, remaining_ms, worker);
        true
    }

    fn start_task(&mut self, job: usize, task: u32, remaining_ms: u64, worker: usize) {
        let job_entry = &self.jobs[job];
        let (team, need) = (job_entry.team, job_entry.need);
        let is_preemptible = self.mix.arrivals[job_entry.arrival].idempotent;
        let start_ms = self.now_ms;
        self.used[team] = self.used[team].saturating_add(need);
        self.waiting[team] = self.waiting[team].saturating_sub(need);
        let free_capacity = &mut self.free_capacities[worker];
        free_capacity.free = free_capacity.free.saturating_sub(need);
        free_capacity.free_slots -= 1;
        let key = self.running.len();
        self.running.push(Some(RunningTask {
            job,
            task,
            worker,
            start_ms,
            remaining_ms,
            is_preemptible,
        }));
        self.on_worker[worker].push(key);
        if remaining_ms < u64::MAX / 2 {
            self.completions.push(Reverse((start_ms + remaining_ms, key)));
        }
    }

    /// Places all tasks of a gang or none. Gangs do not preempt in this model.
    fn place_gang(&mut self, job: usize, rule: &dyn PlacementRule) {
        let need = self.jobs[job].need;
        let tasks: Vec<(u32, u64)> = self.jobs[job].waiting.iter().copied().collect();
        let total = need.checked_mul(tasks.len() as u64).unwrap_or(need);
        if tasks.is_empty() || !rule.may_start(&self.jobs[job], total, self) {
            return;
        }
        let mut free_capacities = self.free_capacities.clone();
        let mut workers = Vec::with_capacity(tasks.len());
        for _ in &tasks {
            let draw = self.rng.random();
            let Some(worker) = rule.choose(&free_capacities, need, draw) else { return };
            free_capacities[worker].free = free_capacities[worker].free.saturating_sub(need);
            free_capacities[worker].free_slots -= 1;
            workers.push(worker);
        }
        self.jobs[job].waiting.clear();
        for ((task, remaining_ms), worker) in tasks.into_iter().zip(workers) {
            self.start_task(job, task, remaining_ms, worker);
        }
    }

    /// Preempts tasks on the worker that needs the fewest victims and returns that worker.
    fn preempt(&mut self, job: usize, rule: &dyn PlacementRule) -> Option<usize> {
        let job_entry = &self.jobs[job];
        let (team, need, priority) = (job_entry.team, job_entry.need, job_entry.priority);
        if !rule.may_preempt(job_entry, need, self) {
            return None;
        }
        let demands = self.borrowed_shares();
        let mut best: Option<(usize, Vec<usize>)> = None;
        for worker in
            (0..self.free_capacities.len()).filter(|&worker| self.free_capacities[worker].is_open)
        {
            let keys = self.preemptible_runs(worker, team, priority);
            let candidates: Vec<PreemptionCandidate> =
                keys.iter().map(|&key| self.preemption_candidate(key, &demands)).collect();
            let free_capacity = &self.free_capacities[worker];
            let lacking = need.saturating_sub(free_capacity.free);
            let slots = u32::from(free_capacity.free_slots == 0);
            let Some(chosen) = choose_victims(&candidates, lacking, slots) else { continue };
            if best.as_ref().is_none_or(|(_, victims)| chosen.len() < victims.len()) {
                best = Some((worker, chosen.into_iter().map(|index| keys[index]).collect()));
            }
        }
        let (worker, victims) = best?;
        for key in victims {
            self.end_run(key, false);
        }
        Some(worker)
    }

    fn preemptible_runs(&self, worker: usize, team: usize, priority: PriorityClass) -> Vec<usize> {
        let is_candidate = |&key: &usize| {
            self.running[key].as_ref().is_some_and(|task| {
                let job = &self.jobs[task.job];
                task.is_preemptible
                    && job.team != team
                    && (job.priority < PriorityClass::Urgent || priority == PriorityClass::Urgent)
            })
        };
        self.on_worker[worker].iter().copied().filter(is_candidate).collect()
    }

    fn preemption_candidate(&self, key: usize, borrowed: &[f64]) -> PreemptionCandidate {
        let task = self.running[key].as_ref();
        let job = task.map_or(0, |task| task.job);
        let job = &self.jobs[job];
        PreemptionCandidate {
            team: job.team,
            borrowed_share: borrowed[job.team],
            share: job.need.dominant_share(self.open_capacity()),
            resources: job.need,
            class: job.priority,
            is_preemptible: true,
            is_checkpointable: self.mix.arrivals[job.arrival].category != WorkCategory::Check,
            age_ms: task.map_or(0, |task| self.now_ms - task.start_ms),
        }
    }

    fn borrowed_shares(&self) -> Vec<f64> {
        let demand = |team: usize| damaskrack_policy::TeamDemand {
            weight: self.mix.teams[team].share,
            wanted: self.used[team].saturating_add(self.waiting[team]),
            limit: self.mix.capacity(),
        };
        let demands: Vec<_> = (0..self.mix.teams.len()).map(demand).collect();
        let capacity = self.open_capacity();
        let entitled = damaskrack_policy::entitlements(capacity, &demands);
        let share = |team: usize| self.used[team].dominant_share(capacity) - entitled[team];
        (0..self.mix.teams.len()).map(share).collect()
    }
}
