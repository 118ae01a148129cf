//! A simulated worker that implements the platform's worker interface.

use {
    super::WORKER,
    damaskrack_model::{AttemptId, Epoch, Resources, TaskResult},
    damaskrack_outside::{
        EndedAttempt, RunningAttempt, StartOutcome, StartRequest, WorkerBody, WorkerCall,
        WorkerReply, WorkerReport,
    },
};

/// State of the link to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkState {
    /// Calls arrive, and their replies too.
    Up,
    /// Calls fail without being sent.
    Refusing,
    /// Calls do not arrive and time out.
    Silent,
    /// Calls arrive, but their replies are lost.
    LosingResponses,
    /// Calls time out and arrive long after that.
    Late,
}

/// A simulated worker.
#[derive(Debug)]
pub(super) struct FakeWorker {
    pub(super) link: LinkState,
    pub(super) clock_ms: u64,
    pub(super) boot: u64,
    pub(super) epoch: Epoch,
    pub(super) running: Vec<(RunningAttempt, u64)>,
    pub(super) ended: Vec<EndedAttempt>,
    /// Every start that took effect, in order.
    pub(super) started: Vec<AttemptId>,
    /// Whether stops have no effect.
    pub(super) ignores_stops: bool,
    /// Attempts that were throttled.
    pub(super) throttled: Vec<AttemptId>,
    number: u64,
}

impl FakeWorker {
    pub(super) fn new(boot: u64) -> Self {
        Self {
            link: LinkState::Up,
            clock_ms: 500_000,
            boot,
            epoch: Epoch(0),
            running: Vec::new(),
            ended: Vec::new(),
            started: Vec::new(),
            ignores_stops: false,
            throttled: Vec::new(),
            number: 1,
        }
    }

    /// Advances the worker's time and ends the tasks whose lease has expired.
    pub(super) fn advance(&mut self, millis: u64) {
        self.clock_ms += millis;
        self.running.iter_mut().for_each(|(row, _)| row.age_ms += millis);
        let clock_ms = self.clock_ms;
        self.end_where(TaskResult::Lapsed, |_, lease_until_ms| lease_until_ms < clock_ms);
    }

    /// Replaces the worker's process, which loses its tasks and all its state.
    pub(super) fn restart(&mut self) {
        self.boot += 1;
        self.epoch = Epoch(0);
        self.running.clear();
        self.ended.clear();
        self.number = 1;
    }

    /// Ends an attempt with a result.
    pub(super) fn finish(&mut self, attempt: &AttemptId, result: TaskResult) {
        self.end_where(result, |row, _| row.attempt == *attempt);
    }

    /// Runs an attempt as if a former owner had started it.
    pub(super) fn adopt(&mut self, attempt: AttemptId, resources: Resources, lease_ms: u64) {
        let order = StartRequest { attempt, resources, payload: String::new(), preemptible: true };
        self.start(&order, self.clock_ms + lease_ms);
    }

    /// Returns the running attempts.
    pub(super) fn running_ids(&self) -> Vec<AttemptId> {
        self.running.iter().map(|(row, _)| row.attempt.clone()).collect()
    }

    /// Replies to a call that has waited `waited_ms`; `None` if it continues to wait.
    pub(super) fn handle_call(&mut self, call: &WorkerCall, waited_ms: u64) -> Option<WorkerReply> {
        let (WorkerCall::Start { epoch, .. }
        | WorkerCall::Sync { epoch, .. }
        | WorkerCall::Stop { epoch, .. }
        | WorkerCall::Throttle { epoch, .. }) = call;
        if *epoch < self.epoch {
            return Some(self.reply(WorkerBody::Stale { epoch: self.epoch }));
        }
        self.epoch = *epoch;
        match call {
            WorkerCall::Start { orders, lease_until_ms, .. } => {
                let verdicts =
                    orders.iter().map(|order| self.start(order, *lease_until_ms)).collect();
                Some(self.reply(WorkerBody::Starts { verdicts }))
            }
            WorkerCall::Sync { lease_until_ms, acks, seen, wait_ms, .. } => {
                self.renew(*lease_until_ms, acks);
                let is_due = *seen != self.number || waited_ms >= *wait_ms;
                is_due.then(|| self.reply(WorkerBody::Report(self.report())))
            }
            WorkerCall::Stop { attempts, .. } => {
                if !self.ignores_stops {
                    self.end_where(TaskResult::Stopped, |row, _| attempts.contains(&row.attempt));
                }
                Some(self.reply(WorkerBody::Accepted))
            }
            WorkerCall::Throttle { attempts, .. } => {
                self.throttled.extend(attempts.iter().cloned());
                Some(self.reply(WorkerBody::Accepted))
            }
        }
    }

    fn start(&mut self, order: &StartRequest, lease_until_ms: u64) -> StartOutcome {
        let is_known = self.running.iter().any(|(row, _)| row.attempt == order.attempt)
            || self.ended.iter().any(|row| row.attempt == order.attempt);
        if is_known {
            return StartOutcome::Started;
        }
        if lease_until_ms < self.clock_ms {
            return StartOutcome::Expired;
        }
        let used = self.used().saturating_add(order.resources);
        if !WORKER.covers(used) || self.running.len() >= 8 {
            return StartOutcome::Full;
        }
        let row = RunningAttempt {
            attempt: order.attempt.clone(),
            resources: order.resources,
            age_ms: 0,
            usage: Resources::ZERO,
            preemptible: order.preemptible,
        };
        self.running.push((row, lease_until_ms));
        self.started.push(order.attempt.clone());
        self.number += 1;
        StartOutcome::Started
    }

    fn renew(&mut self, lease_until_ms: u64, acks: &[AttemptId]) {
        for (_, lease) in &mut self.running {
            *lease = (*lease).max(lease_until_ms);
        }
        self.ended.retain(|row| !acks.contains(&row.attempt));
    }

    fn end_where(&mut self, result: TaskResult, is_over: impl Fn(&RunningAttempt, u64) -> bool) {
        let (over, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(row, lease_until_ms)| is_over(row, *lease_until_ms));
        self.running = rest;
        for (row, _) in over {
            let output = "output".to_owned();
            self.ended.push(EndedAttempt { attempt: row.attempt, result, output });
            self.number += 1;
        }
    }

    /// Returns the total resources of the running attempts.
    pub(super) fn used(&self) -> Resources {
        self.running.iter().fold(Resources::ZERO, |sum, (row, _)| sum.saturating_add(row.resources))
    }

    /// Gives the next report a new number.
    pub(super) fn touch(&mut self) {
        self.number += 1;
    }

    fn report(&self) -> WorkerReport {
        WorkerReport {
            number: self.number,
            running: self.running.iter().map(|(row, _)| row.clone()).collect(),
            ended: self.ended.clone(),
            capacity: WORKER,
            slots: 8,
        }
    }

    fn reply(&self, body: WorkerBody) -> WorkerReply {
        WorkerReply { clock_ms: self.clock_ms, boot: self.boot, body }
    }
}
