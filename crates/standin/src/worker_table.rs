//! A worker's logic without a server or a clock.
//!
//! The worker's own clock runs at an offset from the time that the methods are given, so that
//! whoever relies on synchronised clocks fails. A lapse takes effect at the instant at which the
//! lease ends, however late it is noticed: a frozen host runs nothing, and a real worker checks
//! its leases before it does anything else when it wakes.

use {
    crate::{CheckpointPlace, ObservedRun, TaskScript},
    damaskrack_model::{AttemptId, Epoch, Resources, TaskResult, WorkerName, ZoneName},
    damaskrack_outside::{
        EndedAttempt, RunningAttempt, StartOrder, StartOutcome, WorkerBody, WorkerCall,
        WorkerReply, WorkerReport,
    },
    std::collections::BTreeMap,
};

/// Time for which an acknowledged attempt is still known, so that a late start is not carried
/// out again, in milliseconds.
const REMEMBERED_MS: u64 = 60_000;

/// Run time of every task on a worker that fails everything, in milliseconds.
const FAILING_RUN_MS: u64 = 1;

/// What a worker is and has.
#[derive(Debug, Clone)]
pub struct WorkerPlan {
    /// Its name.
    pub worker: WorkerName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What it has.
    pub capacity: Resources,
    /// Most tasks at once.
    pub slots: u32,
    /// Random number of this boot.
    pub boot: u64,
    /// How far its own clock is ahead of the common one, in milliseconds.
    pub clock_offset_ms: u64,
    /// Age at which a task's usage first shows, in milliseconds.
    pub usage_lag_ms: u64,
}

impl WorkerPlan {
    /// Slots of a worker of the platform.
    pub const SLOTS: u32 = 8;
    /// Connections that a worker of the platform accepts.
    pub const CONNECTIONS: usize = 64;

    /// Makes a plan with the platform's usual bounds.
    #[must_use]
    pub fn new(worker: WorkerName, zone: ZoneName, capacity: Resources, boot: u64) -> Self {
        Self {
            worker,
            zone,
            capacity,
            slots: Self::SLOTS,
            boot,
            clock_offset_ms: boot % 1_000_000_000,
            usage_lag_ms: 1_000,
        }
    }
}

#[derive(Debug)]
struct TaskRow {
    order: StartOrder,
    script: TaskScript,
    start_ms: u64,
    /// When it ends of its own accord, on the common clock.
    finish_ms: Option<u64>,
    /// When its lease ends, on the worker's clock.
    lease_until_ms: u64,
    reported_use: Resources,
    next_sample_ms: Option<u64>,
    is_throttled: bool,
    /// Index of its [`ObservedRun`].
    observation: usize,
}

impl TaskRow {
    fn true_use(&self) -> Resources {
        let declared = self.order.resources;
        let usage = self.script.usage.unwrap_or(declared);
        if !self.is_throttled {
            return usage;
        }
        Resources {
            millicores: usage.millicores.min(declared.millicores),
            memory_bytes: usage.memory_bytes.min(declared.memory_bytes),
            accelerators: usage.accelerators.min(declared.accelerators),
        }
    }
}

/// Tasks of one worker, its fence and what it has seen.
///
/// # Examples
///
/// ```
/// use {
///     damaskrack_model::{Epoch, Resources},
///     damaskrack_outside::{WorkerBody, WorkerCall},
///     damaskrack_standin::{CheckpointPlace, WorkerPlan, WorkerTable},
/// };
///
/// let plan = WorkerPlan::new("w1".parse()?, "a".parse()?, Resources::ZERO, 7);
/// let mut table = WorkerTable::new(plan, CheckpointPlace::default());
/// let sync = |epoch| WorkerCall::Sync {
///     rack: "r1".parse().unwrap(),
///     epoch: Epoch(epoch),
///     lease_until_ms: 0,
///     acks: Vec::new(),
///     seen: 0,
///     wait_ms: 0,
/// };
/// assert!(matches!(table.handle(&sync(2), 0).body, WorkerBody::Report(_)));
/// assert_eq!(table.handle(&sync(1), 0).body, WorkerBody::Stale { epoch: Epoch(2) });
/// # Ok::<(), damaskrack_model::NameError>(())
/// ```
#[derive(Debug)]
pub struct WorkerTable {
    plan: WorkerPlan,
    checkpoints: CheckpointPlace,
    highest: Epoch,
    number: u64,
    running: BTreeMap<AttemptId, TaskRow>,
    ended: BTreeMap<AttemptId, EndedAttempt>,
    remembered: BTreeMap<AttemptId, u64>,
    observations: Vec<ObservedRun>,
    outputs: Vec<String>,
    frozen_ms: Option<u64>,
    is_failing: bool,
}

impl WorkerTable {
    /// Makes an idle worker.
    #[must_use]
    pub fn new(plan: WorkerPlan, checkpoints: CheckpointPlace) -> Self {
        Self {
            plan,
            checkpoints,
            highest: Epoch(0),
            number: 1,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            remembered: BTreeMap::new(),
            observations: Vec::new(),
            outputs: Vec::new(),
            frozen_ms: None,
            is_failing: false,
        }
    }

    /// Carries out a call and answers it as of now, a `Sync` too; whether the `Sync` would rather
    /// wait is told by [`WorkerTable::poll`]. Must not be called while the worker is frozen.
    pub fn handle(&mut self, call: &WorkerCall, now_ms: u64) -> WorkerReply {
        self.advance(now_ms);
        let epoch = epoch_of(call);
        if epoch < self.highest {
            return self.answer(call, now_ms);
        }
        self.highest = epoch;
        match call {
            WorkerCall::Start { orders, lease_until_ms, .. } => {
                let start = |order| self.start(order, *lease_until_ms, now_ms);
                let verdicts = orders.iter().map(start).collect();
                self.reply(WorkerBody::Starts { verdicts }, now_ms)
            }
            WorkerCall::Sync { lease_until_ms, acks, .. } => {
                self.renew(*lease_until_ms);
                self.acknowledge(acks, now_ms);
                self.answer(call, now_ms)
            }
            WorkerCall::Stop { attempts, checkpoint, .. } => {
                attempts.iter().for_each(|attempt| self.stop(attempt, *checkpoint, now_ms));
                self.answer(call, now_ms)
            }
            WorkerCall::Throttle { attempts, .. } => {
                attempts.iter().for_each(|attempt| self.throttle(attempt, now_ms));
                self.answer(call, now_ms)
            }
        }
    }

    /// Returns the answer to a `Sync` that waits if there is news for it: a report other than the
    /// one it has seen, or a higher epoch. Changes nothing.
    #[must_use]
    pub fn poll(&self, call: &WorkerCall, now_ms: u64) -> Option<WorkerReply> {
        let is_waiting = match call {
            WorkerCall::Sync { seen, epoch, .. } => *seen == self.number && *epoch >= self.highest,
            _ => false,
        };
        (!is_waiting).then(|| self.answer(call, now_ms))
    }

    /// Returns the answer to a call that has been carried out, as of now. Changes nothing.
    #[must_use]
    pub fn answer(&self, call: &WorkerCall, now_ms: u64) -> WorkerReply {
        if epoch_of(call) < self.highest {
            return self.reply(WorkerBody::Stale { epoch: self.highest }, now_ms);
        }
        let body = match call {
            WorkerCall::Sync { .. } => WorkerBody::Report(self.report(now_ms)),
            _ => WorkerBody::Accepted,
        };
        self.reply(body, now_ms)
    }

    /// Ends tasks whose run time or lease is over and takes usage samples that are due.
    pub fn advance(&mut self, now_ms: u64) {
        if self.frozen_ms.is_some() {
            return;
        }
        let mut due: Vec<_> = self
            .running
            .iter()
            .map(|(attempt, row)| (self.end_of(row), attempt.clone()))
            .filter(|((end_ms, _), _)| *end_ms <= now_ms)
            .collect();
        due.sort_by_key(|((end_ms, _), _)| *end_ms);
        for ((end_ms, result), attempt) in due {
            self.end(&attempt, result, end_ms);
        }
        self.sample_usage(now_ms);
        self.remembered.retain(|_, until_ms| *until_ms > now_ms);
    }

    /// Returns when [`WorkerTable::advance`] next has something to do, on the common clock.
    #[must_use]
    pub fn next_event_ms(&self) -> Option<u64> {
        if self.frozen_ms.is_some() {
            return None;
        }
        let next_of_row =
            |row: &TaskRow| self.end_of(row).0.min(row.next_sample_ms.unwrap_or(u64::MAX));
        self.running.values().map(next_of_row).min()
    }

    /// Freezes the worker, as a paused machine is, or wakes it. Tasks make no progress meanwhile,
    /// and the worker must be sent no calls.
    pub fn set_frozen(&mut self, is_frozen: bool, now_ms: u64) {
        match (self.frozen_ms, is_frozen) {
            (None, true) => {
                self.advance(now_ms);
                self.frozen_ms = Some(now_ms);
            }
            (Some(since_ms), false) => {
                self.frozen_ms = None;
                self.postpone(now_ms.saturating_sub(since_ms));
                self.advance(now_ms);
            }
            _ => {}
        }
    }

    /// Makes every task started from now on fail at once.
    pub fn set_failing(&mut self, is_failing: bool) {
        self.is_failing = is_failing;
    }

    /// Restarts the worker: everything that runs and everything it knew is gone.
    pub fn restart(&mut self, boot: u64, now_ms: u64) {
        self.set_frozen(false, now_ms);
        let attempts: Vec<_> = self.running.keys().cloned().collect();
        for attempt in attempts {
            self.end(&attempt, TaskResult::Lapsed, now_ms);
        }
        self.ended.clear();
        self.remembered.clear();
        self.highest = Epoch(0);
        self.plan.boot = boot;
    }

    /// Tells whether the worker is frozen.
    #[must_use]
    pub fn is_frozen(&self) -> bool {
        self.frozen_ms.is_some()
    }

    /// Returns the number of the current report.
    #[must_use]
    pub fn report_number(&self) -> u64 {
        self.number
    }

    /// Returns the worker's plan.
    #[must_use]
    pub fn plan(&self) -> &WorkerPlan {
        &self.plan
    }

    /// Returns every run since the stand-in was made, oldest start first.
    #[must_use]
    pub fn observations(&self) -> &[ObservedRun] {
        &self.observations
    }

    /// Returns what the script of each observed run returns at its end, in the same order.
    #[must_use]
    pub fn outputs(&self) -> &[String] {
        &self.outputs
    }

    /// Returns the worker's own clock.
    #[must_use]
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_add(self.plan.clock_offset_ms)
    }

    /// Returns when and how a task ends if nothing happens to it, on the common clock.
    fn end_of(&self, row: &TaskRow) -> (u64, TaskResult) {
        let lapses_ms = row.lease_until_ms.saturating_sub(self.plan.clock_offset_ms);
        match row.finish_ms {
            Some(finish_ms) if finish_ms <= lapses_ms => (finish_ms, row.script.result()),
            _ => (lapses_ms, TaskResult::Lapsed),
        }
    }

    fn start(&mut self, order: &StartOrder, lease_until_ms: u64, now_ms: u64) -> StartOutcome {
        if self.is_known(&order.attempt) {
            return StartOutcome::Started;
        }
        if lease_until_ms <= self.clock_ms(now_ms) {
            return StartOutcome::Expired;
        }
        if !self.has_room(order.resources) {
            return StartOutcome::Full;
        }
        let row = self.begin(order, lease_until_ms, now_ms);
        self.running.insert(order.attempt.clone(), row);
        self.number += 1;
        StartOutcome::Started
    }

    fn begin(&mut self, order: &StartOrder, lease_until_ms: u64, now_ms: u64) -> TaskRow {
        let mut script = TaskScript::parse(&order.payload);
        if let Some(remaining_ms) = self.checkpoints.load(&order.attempt) {
            script.run_ms = script.run_ms.map(|run_ms| run_ms.min(remaining_ms));
        }
        if self.is_failing {
            script.is_failing = true;
            script.run_ms = Some(FAILING_RUN_MS);
        }
        let row = TaskRow {
            order: order.clone(),
            start_ms: now_ms,
            finish_ms: script.run_ms.map(|run_ms| now_ms.saturating_add(run_ms)),
            script,
            lease_until_ms,
            reported_use: Resources::ZERO,
            next_sample_ms: Some(now_ms.saturating_add(self.plan.usage_lag_ms)),
            is_throttled: false,
            observation: self.observations.len(),
        };
        self.outputs.push(row.script.output.clone());
        self.observations.push(ObservedRun {
            worker: self.plan.worker.clone(),
            zone: self.plan.zone.clone(),
            attempt: order.attempt.clone(),
            resources: order.resources,
            peak_use: row.true_use(),
            start_ms: now_ms,
            end_ms: None,
            result: None,
        });
        row
    }

    fn is_known(&self, attempt: &AttemptId) -> bool {
        self.running.contains_key(attempt)
            || self.ended.contains_key(attempt)
            || self.remembered.contains_key(attempt)
    }

    fn has_room(&self, resources: Resources) -> bool {
        let rows = self.running.values();
        let used = rows.fold(resources, |sum, row| sum.saturating_add(row.order.resources));
        self.running.len() < self.plan.slots as usize && self.plan.capacity.covers(used)
    }

    /// A delayed renewal never shortens a lease.
    fn renew(&mut self, lease_until_ms: u64) {
        for row in self.running.values_mut() {
            row.lease_until_ms = row.lease_until_ms.max(lease_until_ms);
        }
    }

    /// Forgets ended attempts. The report keeps its number, because its only change is one that
    /// its reader asked for; a waiting `Sync` would otherwise be answered by its own acks.
    fn acknowledge(&mut self, acks: &[AttemptId], now_ms: u64) {
        for attempt in acks {
            if self.ended.remove(attempt).is_some() {
                self.remembered.insert(attempt.clone(), now_ms.saturating_add(REMEMBERED_MS));
            }
        }
    }

    fn stop(&mut self, attempt: &AttemptId, checkpoint: bool, now_ms: u64) {
        let Some(row) = self.running.get(attempt) else { return };
        if checkpoint && let Some(finish_ms) = row.finish_ms {
            self.checkpoints.save(attempt, finish_ms.saturating_sub(now_ms));
        }
        self.end(attempt, TaskResult::Stopped, now_ms);
    }

    fn throttle(&mut self, attempt: &AttemptId, now_ms: u64) {
        if let Some(row) = self.running.get_mut(attempt) {
            row.is_throttled = true;
            row.next_sample_ms = Some(now_ms.saturating_add(self.plan.usage_lag_ms));
        }
    }

    fn end(&mut self, attempt: &AttemptId, result: TaskResult, end_ms: u64) {
        let Some(row) = self.running.remove(attempt) else { return };
        let observation = &mut self.observations[row.observation];
        observation.end_ms = Some(end_ms);
        observation.result = Some(result);
        let is_complete = matches!(result, TaskResult::Succeeded | TaskResult::Failed);
        if is_complete {
            self.checkpoints.forget(attempt);
        }
        let output = if is_complete { row.script.output } else { String::new() };
        self.ended
            .insert(attempt.clone(), EndedAttempt { attempt: attempt.clone(), result, output });
        self.number += 1;
    }

    fn sample_usage(&mut self, now_ms: u64) {
        for row in self.running.values_mut() {
            if row.next_sample_ms.is_none_or(|sample_ms| sample_ms > now_ms) {
                continue;
            }
            row.next_sample_ms = None;
            let usage = row.true_use();
            if usage != row.reported_use {
                row.reported_use = usage;
                self.number += 1;
            }
        }
    }

    fn postpone(&mut self, pause_ms: u64) {
        for row in self.running.values_mut() {
            row.finish_ms = row.finish_ms.map(|finish_ms| finish_ms.saturating_add(pause_ms));
        }
    }

    fn report(&self, now_ms: u64) -> WorkerReport {
        let running = self.running.values().map(|row| RunningAttempt {
            attempt: row.order.attempt.clone(),
            resources: row.order.resources,
            age_ms: now_ms.saturating_sub(row.start_ms),
            usage: row.reported_use,
            preemptible: row.order.preemptible,
        });
        WorkerReport {
            number: self.number,
            running: running.collect(),
            ended: self.ended.values().cloned().collect(),
            capacity: self.plan.capacity,
            slots: self.plan.slots,
        }
    }

    fn reply(&self, body: WorkerBody, now_ms: u64) -> WorkerReply {
        WorkerReply { clock_ms: self.clock_ms(now_ms), boot: self.plan.boot, body }
    }
}

fn epoch_of(call: &WorkerCall) -> Epoch {
    match call {
        WorkerCall::Start { epoch, .. }
        | WorkerCall::Sync { epoch, .. }
        | WorkerCall::Stop { epoch, .. }
        | WorkerCall::Throttle { epoch, .. } => *epoch,
    }
}
