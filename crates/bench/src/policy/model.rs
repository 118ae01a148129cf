//! A small model of one cell in which one place decides at once about everything.
//!
//! It knows no messages, leases or faults, so it flatters the policies that run in it: what it
//! shows is what a rule does to the work, not what carrying it out costs.

use {
    super::{
        mix::{MixArrival, WorkMix, WorkSort},
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

/// Zone that is taken out, as an index; rack number n stands in zone n, counted round.
const OUT_ZONE: usize = 1;

/// Availability zones.
const ZONES: usize = 3;

/// A job with tasks that wait or run.
#[derive(Debug)]
pub(super) struct ModelJob {
    pub(super) arrival: usize,
    pub(super) team: usize,
    pub(super) priority: PriorityClass,
    need: Resources,
    kind: WorkKind,
    /// Waiting tasks with the run time that is left.
    waiting: VecDeque<(u32, u64)>,
}

#[derive(Debug)]
struct ModelTask {
    job: usize,
    task: u32,
    worker: usize,
    start_ms: u64,
    left_ms: u64,
    is_preemptible: bool,
}

/// The cell as the rules see it.
#[derive(Debug)]
pub(super) struct ModelCell<'a> {
    pub(super) mix: &'a WorkMix,
    pub(super) jobs: Vec<ModelJob>,
    /// What each team has running.
    pub(super) used: Vec<Resources>,
    /// What each team has waiting.
    pub(super) waiting: Vec<Resources>,
    rooms: Vec<WorkerFreeCapacity>,
    running: Vec<Option<ModelTask>>,
    on_worker: Vec<Vec<usize>>,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    ready: Vec<usize>,
    runs: Vec<TaskRun>,
    now_ms: u64,
    dice: SmallRng,
}

/// Runs a mix under a rule.
pub(super) fn run(mix: &WorkMix, rule: &dyn PlacementRule, seed: u64) -> PolicyRun {
    let mut cell = ModelCell::new(mix, seed);
    let (out_ms, in_ms) = mix.zone_out_ms;
    let mut next = 0;
    loop {
        let arrival_ms = mix.arrivals.get(next).map(|arrival| arrival.at_ms);
        let end_ms = cell.ends.peek().map(|Reverse((at_ms, _))| *at_ms);
        let zone_ms = [out_ms, in_ms].into_iter().find(|&at_ms| at_ms > cell.now_ms);
        let Some(at_ms) = [arrival_ms, end_ms, zone_ms].into_iter().flatten().min() else { break };
        if at_ms >= mix.run_ms {
            break;
        }
        cell.now_ms = at_ms;
        while mix.arrivals.get(next).is_some_and(|arrival| arrival.at_ms == at_ms) {
            cell.hand_in(next, &mix.arrivals[next]);
            next += 1;
        }
        cell.end_due();
        if at_ms == out_ms {
            cell.take_zone_out();
        } else if at_ms == in_ms {
            cell.set_zone_open(true);
        }
        cell.schedule(rule);
    }
    cell.now_ms = mix.run_ms;
    for key in 0..cell.running.len() {
        cell.stop(key, false);
    }
    PolicyRun { policy: rule.name().to_owned(), runs: cell.runs, control: None }
}

impl<'a> ModelCell<'a> {
    fn new(mix: &'a WorkMix, seed: u64) -> Self {
        let room = WorkerFreeCapacity {
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
            rooms: vec![room; mix.workers()],
            running: Vec::new(),
            on_worker: vec![Vec::new(); mix.workers()],
            ends: BinaryHeap::new(),
            ready: Vec::new(),
            runs: Vec::new(),
            now_ms: 0,
            dice: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the part of the cell that a team's weight guarantees.
    pub(super) fn guaranteed(&self, team: usize) -> f64 {
        let total: u32 = self.mix.teams.iter().map(|team| team.share).sum();
        f64::from(self.mix.teams[team].share) / f64::from(total.max(1))
    }

    /// Returns what the zones in service have.
    pub(super) fn open_capacity(&self) -> Resources {
        let open = self.rooms.iter().filter(|room| room.is_open).count() as u64;
        self.mix.worker.checked_mul(open).unwrap_or(self.mix.worker)
    }

    fn hand_in(&mut self, index: usize, arrival: &MixArrival) {
        let waiting = (0..arrival.tasks).map(|task| (task, arrival.run_ms)).collect();
        let amount = arrival.need.checked_mul(arrival.tasks.into()).unwrap_or(arrival.need);
        self.waiting[arrival.team] = self.waiting[arrival.team].saturating_add(amount);
        self.ready.push(self.jobs.len());
        self.jobs.push(ModelJob {
            arrival: index,
            team: arrival.team,
            priority: arrival.priority,
            need: arrival.need,
            kind: arrival.kind,
            waiting,
        });
    }

    fn end_due(&mut self) {
        while let Some(&Reverse((at_ms, key))) = self.ends.peek()
            && at_ms <= self.now_ms
        {
            self.ends.pop();
            self.stop(key, true);
        }
    }

    /// Ends a run; a task that is not whole waits again.
    fn stop(&mut self, key: usize, is_whole: bool) {
        let Some(row) = self.running[key].take() else { return };
        let job = &mut self.jobs[row.job];
        let (team, need, kind) = (job.team, job.need, job.kind);
        if !is_whole {
            let spent_ms = if kind == WorkKind::Request { 0 } else { self.now_ms - row.start_ms };
            job.waiting.push_front((row.task, row.left_ms.saturating_sub(spent_ms).max(1)));
            self.waiting[team] = self.waiting[team].saturating_add(need);
            if !self.ready.contains(&row.job) {
                self.ready.push(row.job);
            }
        }
        self.used[team] = self.used[team].saturating_sub(need);
        let room = &mut self.rooms[row.worker];
        room.free = room.free.saturating_add(need);
        room.free_slots += 1;
        self.on_worker[row.worker].retain(|&other| other != key);
        self.runs.push(TaskRun {
            arrival: self.jobs[row.job].arrival,
            task: row.task,
            worker: row.worker,
            start_ms: row.start_ms,
            end_ms: self.now_ms,
            is_whole,
        });
    }

    fn set_zone_open(&mut self, is_open: bool) {
        for (index, room) in self.rooms.iter_mut().enumerate() {
            if index / self.mix.workers_per_rack % ZONES == OUT_ZONE {
                room.is_open = is_open;
            }
        }
    }

    fn take_zone_out(&mut self) {
        self.set_zone_open(false);
        for worker in 0..self.rooms.len() {
            if !self.rooms[worker].is_open {
                for key in self.on_worker[worker].clone() {
                    self.stop(key, false);
                }
            }
        }
    }

    fn schedule(&mut self, rule: &dyn PlacementRule) {
        let mut order = std::mem::take(&mut self.ready);
        rule.sort(&mut order, self);
        for &job in &order {
            match self.jobs[job].kind {
                WorkKind::Gang => self.place_gang(job, rule),
                _ => while self.place_one(job, rule) {},
            }
        }
        let displaced = std::mem::take(&mut self.ready);
        order.extend(displaced);
        order.sort_unstable();
        order.dedup();
        order.retain(|&job| !self.jobs[job].waiting.is_empty());
        self.ready = order;
    }

    fn place_one(&mut self, job: usize, rule: &dyn PlacementRule) -> bool {
        let row = &self.jobs[job];
        let need = row.need;
        let Some(&(task, left_ms)) = row.waiting.front() else { return false };
        if !rule.may_start(row, need, self) {
            return false;
        }
        let draw = self.dice.random();
        let worker = rule.choose(&self.rooms, need, draw).or_else(|| self.displace(job, rule));
        let Some(worker) = worker else { return false };
        self.jobs[job].waiting.pop_front();
        self.begin(job, task, left_ms, worker);
        true
    }

    fn begin(&mut self, job: usize, task: u32, left_ms: u64, worker: usize) {
        let row = &self.jobs[job];
        let (team, need) = (row.team, row.need);
        let is_preemptible = self.mix.arrivals[row.arrival].idempotent;
        let start_ms = self.now_ms;
        self.used[team] = self.used[team].saturating_add(need);
        self.waiting[team] = self.waiting[team].saturating_sub(need);
        let room = &mut self.rooms[worker];
        room.free = room.free.saturating_sub(need);
        room.free_slots -= 1;
        let key = self.running.len();
        self.running.push(Some(ModelTask { job, task, worker, start_ms, left_ms, is_preemptible }));
        self.on_worker[worker].push(key);
        if left_ms < u64::MAX / 2 {
            self.ends.push(Reverse((start_ms + left_ms, key)));
        }
    }

    /// Places all tasks of a gang or none. Gangs displace nobody here.
    fn place_gang(&mut self, job: usize, rule: &dyn PlacementRule) {
        let need = self.jobs[job].need;
        let tasks: Vec<(u32, u64)> = self.jobs[job].waiting.iter().copied().collect();
        let whole = need.checked_mul(tasks.len() as u64).unwrap_or(need);
        if tasks.is_empty() || !rule.may_start(&self.jobs[job], whole, self) {
            return;
        }
        let mut rooms = self.rooms.clone();
        let mut workers = Vec::with_capacity(tasks.len());
        for _ in &tasks {
            let draw = self.dice.random();
            let Some(worker) = rule.choose(&rooms, need, draw) else { return };
            rooms[worker].free = rooms[worker].free.saturating_sub(need);
            rooms[worker].free_slots -= 1;
            workers.push(worker);
        }
        self.jobs[job].waiting.clear();
        for ((task, left_ms), worker) in tasks.into_iter().zip(workers) {
            self.begin(job, task, left_ms, worker);
        }
    }

    /// Stops borrowers on one worker and returns it.
    fn displace(&mut self, job: usize, rule: &dyn PlacementRule) -> Option<usize> {
        let row = &self.jobs[job];
        let (team, need, priority) = (row.team, row.need, row.priority);
        if !rule.may_displace(row, need, self) {
            return None;
        }
        let demands = self.borrowed_shares();
        let mut best: Option<(usize, Vec<usize>)> = None;
        for worker in (0..self.rooms.len()).filter(|&worker| self.rooms[worker].is_open) {
            let keys = self.eligible(worker, team, priority);
            let rows: Vec<PreemptionCandidate> =
                keys.iter().map(|&key| self.victim_row(key, &demands)).collect();
            let room = &self.rooms[worker];
            let lacking = need.saturating_sub(room.free);
            let slots = u32::from(room.free_slots == 0);
            let Some(chosen) = choose_victims(&rows, lacking, slots) else { continue };
            if best.as_ref().is_none_or(|(_, victims)| chosen.len() < victims.len()) {
                best = Some((worker, chosen.into_iter().map(|index| keys[index]).collect()));
            }
        }
        let (worker, victims) = best?;
        for key in victims {
            self.stop(key, false);
        }
        Some(worker)
    }

    fn eligible(&self, worker: usize, team: usize, priority: PriorityClass) -> Vec<usize> {
        let may_yield = |&key: &usize| {
            self.running[key].as_ref().is_some_and(|task| {
                let job = &self.jobs[task.job];
                task.is_preemptible
                    && job.team != team
                    && (job.priority < PriorityClass::Urgent || priority == PriorityClass::Urgent)
            })
        };
        self.on_worker[worker].iter().copied().filter(may_yield).collect()
    }

    fn victim_row(&self, key: usize, borrowed: &[f64]) -> PreemptionCandidate {
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
            is_checkpointable: self.mix.arrivals[job.arrival].sort != WorkSort::Check,
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
