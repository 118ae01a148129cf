//! Simulated callers: the work they submit, the responses they receive, and their retries.

use {
    super::{CallWaiter, SimWorld, WorldEvent},
    crate::{
        observe::{SeenAnswer, SeenTry, SeenWork, make_token},
        script::{FaultTarget, SubmitPlan},
    },
    damaskrack_model::{
        AnswerReason, JobId, JobState, OutcomeKind, WorkAnswer, WorkKind, WorkSpec,
    },
    damaskrack_node::{CallerRequest, NodeInput, PresentedKey},
};

/// Time between the tries of a caller, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 300;

/// Time after which a load balancer offers another node to a caller whose connection was refused,
/// in milliseconds.
const RECONNECT_INTERVAL_MS: u64 = 100;

/// Interval between queries of a job's status, in milliseconds.
const QUERY_INTERVAL_MS: u64 = 500;

/// Time that a caller waits for a response, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 30_000;

/// Work item that a caller submitted, with its progress.
#[derive(Debug)]
pub(crate) struct SubmittedWork {
    pub(crate) plan: SubmitPlan,
    pub(crate) seen: SeenWork,
    pub(crate) job: Option<JobId>,
    pub(crate) retries_left: u32,
    pub(crate) is_cancelling: bool,
}

/// All work items that callers submitted.
#[derive(Debug, Default)]
pub(crate) struct CallerBook {
    pub(crate) works: Vec<SubmittedWork>,
}

impl CallerBook {
    /// Adds a work item and returns its index.
    pub(crate) fn add(&mut self, plan: &SubmitPlan) -> usize {
        let seen = SeenWork {
            tag: plan.tag.clone(),
            queue: plan.queue.clone(),
            key: plan.key.clone(),
            idempotent: plan.idempotent,
            has_idempotency_key: plan.has_idempotency_key,
            is_job: plan.is_job,
            is_service: plan.kind == WorkKind::Service,
            tries: Vec::new(),
            cancelled_ms: None,
            forgotten_ms: None,
            is_parked: false,
            ended: None,
        };
        let retries_left = plan.retries;
        let entry = SubmittedWork {
            plan: plan.clone(),
            seen,
            job: None,
            retries_left,
            is_cancelling: false,
        };
        self.works.push(entry);
        self.works.len() - 1
    }
}

impl SubmittedWork {
    pub(crate) fn request(
        &self,
        work: usize,
        presented: Option<PresentedKey>,
        token: &str,
    ) -> CallerRequest {
        let plan = &self.plan;
        let payload = serde_json::json!({
            "run_ms": if plan.kind == WorkKind::Service { None } else { Some(plan.run_ms) },
            "output": token,
            "fail": plan.is_failing,
        });
        CallerRequest::Submit {
            key: presented,
            queue: plan.queue.clone(),
            idempotency_key: plan.has_idempotency_key.then(|| format!("caller-key-{work}")),
            is_waiting: !plan.is_job,
            spec: WorkSpec {
                kind: plan.kind,
                tasks: plan.tasks,
                resources: plan.resources,
                idempotent: plan.idempotent,
                priority: plan.priority,
                expected_ms: plan.run_ms,
                deadline_ms: plan.deadline_ms,
                payload: payload.to_string(),
            },
        }
    }

    /// Returns whether the caller may submit the work again after a response, or after a broken
    /// connection if there was none.
    pub(crate) fn may_repeat(&self, answer: Option<&WorkAnswer>) -> bool {
        let is_safe = self.plan.idempotent || self.plan.has_idempotency_key;
        match answer {
            None => is_safe,
            Some(answer) => match answer.outcome {
                OutcomeKind::NotRun => is_passing(answer.reason),
                OutcomeKind::Unknown => is_safe && !self.plan.has_idempotency_key,
                OutcomeKind::Done | OutcomeKind::Failed => false,
            },
        }
    }
}

/// Returns whether a refusal is transient, so that a retry may succeed.
pub(crate) fn is_passing(reason: AnswerReason) -> bool {
    matches!(
        reason,
        AnswerReason::Isolated
            | AnswerReason::Leaving
            | AnswerReason::Overloaded
            | AnswerReason::StoreUnavailable
            | AnswerReason::Lost
            | AnswerReason::DeadlinePassed
            | AnswerReason::UnknownQueue
    )
}

impl SimWorld {
    /// Submits the work items of a line of the script.
    pub(crate) fn begin_work(&mut self, plan: &SubmitPlan) {
        for _ in 0..plan.count {
            let work = self.book.add(plan);
            self.queue.push(self.now_ms, WorldEvent::SubmitTry { work });
        }
    }

    /// Chooses the node that a caller connects to: the one that the script names, or else a random
    /// ready node, as a load balancer would.
    pub(crate) fn choose_entry_node(&mut self, via: Option<&FaultTarget>) -> Option<usize> {
        if let Some(target) = via {
            let node = self.resolve_nodes(target).first().copied()?;
            return self.nodes[node].is_alive().then_some(node);
        }
        let is_ready = |node: &usize| {
            self.nodes[*node].core.as_ref().is_some_and(damaskrack_node::SchedulerNode::is_ready)
        };
        let ready: Vec<usize> = (0..self.nodes.len()).filter(is_ready).collect();
        let index = self.random_below(ready.len() as u64);
        ready.get(usize::try_from(index).unwrap_or(0)).copied()
    }

    fn presented_key(&self, work: usize) -> Option<PresentedKey> {
        let key = self.book.works[work].plan.key.as_ref()?;
        let secret = self.script.secrets.get(key).cloned().unwrap_or_default();
        Some(PresentedKey { text: format!("{key}.{secret}") })
    }

    /// Sends a caller's request to a node and schedules its timeout.
    fn send_caller_request(&mut self, node: usize, waiter: CallWaiter, request: CallerRequest) {
        let call = self.allocate_call();
        let life = self.nodes[node].life;
        self.nodes[node].waiters.insert(call, waiter);
        self.trace.line(self.now_ms, || format!("caller#{call} {waiter:?} -> node-{}", node + 1));
        let timeout_ms = self.now_ms + RESPONSE_TIMEOUT_MS;
        self.queue.push(timeout_ms, WorldEvent::CallerTimeout { node, life, call });
        self.push_input(node, NodeInput::Caller { call, request });
    }

    pub(crate) fn on_submit_try(&mut self, work: usize) {
        let via = self.book.works[work].plan.via.clone();
        let Some(node) = self.choose_entry_node(via.as_ref()) else {
            self.queue.push(self.now_ms + RECONNECT_INTERVAL_MS, WorldEvent::SubmitTry { work });
            return;
        };
        let attempt = self.book.works[work].seen.tries.len();
        // A retry with the same idempotency key must submit identical work, so it keeps its token.
        let has_key = self.book.works[work].plan.has_idempotency_key;
        let token = make_token(work, if has_key { 0 } else { attempt });
        let presented = self.presented_key(work);
        let entry = &mut self.book.works[work];
        let request = entry.request(work, presented, &token);
        let (at_ms, answers) = (self.now_ms, Vec::new());
        entry.seen.tries.push(SeenTry { token, at_ms, node, answers, is_broken: false });
        self.send_caller_request(node, CallWaiter::Work { work, attempt }, request);
    }

    pub(crate) fn on_work_answer(&mut self, work: usize, attempt: usize, answer: &WorkAnswer) {
        let at_ms = self.now_ms;
        let entry = &mut self.book.works[work];
        let seen = SeenAnswer {
            at_ms,
            outcome: answer.outcome,
            reason: answer.reason,
            detail: answer.detail.clone(),
            job: answer.job.clone(),
        };
        let is_accepted = entry.plan.is_job && seen.is_acknowledgement();
        entry.seen.tries[attempt].answers.push(seen);
        if is_accepted {
            if entry.job.is_none() {
                entry.job.clone_from(&answer.job);
                self.queue.push(at_ms + QUERY_INTERVAL_MS, WorldEvent::QueryJob { work });
            }
        } else if entry.may_repeat(Some(answer)) && entry.retries_left > 0 {
            entry.retries_left -= 1;
            self.queue.push(at_ms + RETRY_INTERVAL_MS, WorldEvent::SubmitTry { work });
        }
    }

    /// Handles a broken connection or timeout of a waiting call; what may be repeated is retried.
    pub(crate) fn break_waiter(&mut self, waiter: CallWaiter) {
        match waiter {
            CallWaiter::Work { work, attempt } => {
                let entry = &mut self.book.works[work];
                entry.seen.tries[attempt].is_broken = true;
                if entry.may_repeat(None) && entry.retries_left > 0 {
                    entry.retries_left -= 1;
                    self.queue
                        .push(self.now_ms + RETRY_INTERVAL_MS, WorldEvent::SubmitTry { work });
                }
            }
            CallWaiter::Query { work } => {
                self.queue.push(self.now_ms + QUERY_INTERVAL_MS, WorldEvent::QueryJob { work });
            }
            CallWaiter::Cancel { work } => {
                self.queue.push(self.now_ms + RETRY_INTERVAL_MS, WorldEvent::CancelJob { work });
            }
            CallWaiter::Change { change } => {
                self.queue.push(self.now_ms + RETRY_INTERVAL_MS, WorldEvent::ChangeTry { change });
            }
        }
    }

    pub(crate) fn on_caller_timeout(&mut self, node: usize, life: u64, call: u64) {
        if self.nodes[node].life != life {
            return;
        }
        if let Some(waiter) = self.nodes[node].waiters.remove(&call) {
            self.record.abandoned.insert(call);
            self.push_input(node, NodeInput::CallerDisconnected { call });
            self.break_waiter(waiter);
        }
    }

    pub(crate) fn on_query_job(&mut self, work: usize) {
        let (Some(job), Some(node)) =
            (self.book.works[work].job.clone(), self.choose_entry_node(None))
        else {
            self.queue.push(self.now_ms + QUERY_INTERVAL_MS, WorldEvent::QueryJob { work });
            return;
        };
        let request = CallerRequest::Query { key: self.presented_key(work), job };
        self.send_caller_request(node, CallWaiter::Query { work }, request);
    }

    pub(crate) fn on_query_answer(&mut self, work: usize, answer: &WorkAnswer) {
        let entry = &mut self.book.works[work];
        if let Some(status) = &answer.status {
            entry.seen.is_parked = status.state == JobState::Parked;
            if status.state == JobState::Ended {
                entry.seen.ended = Some((self.now_ms, status.outcome));
                return;
            }
        }
        if answer.reason == AnswerReason::UnknownJob {
            entry.seen.forgotten_ms.get_or_insert(self.now_ms);
        }
        self.queue.push(self.now_ms + QUERY_INTERVAL_MS, WorldEvent::QueryJob { work });
    }

    /// Cancels every job with a tag.
    pub(crate) fn begin_cancel(&mut self, tag: &str) {
        for work in 0..self.book.works.len() {
            let entry = &mut self.book.works[work];
            if entry.plan.tag.as_deref() == Some(tag) && entry.plan.is_job && !entry.is_cancelling {
                entry.is_cancelling = true;
                self.queue.push(self.now_ms, WorldEvent::CancelJob { work });
            }
        }
    }

    pub(crate) fn on_cancel_job(&mut self, work: usize) {
        let (Some(job), Some(node)) =
            (self.book.works[work].job.clone(), self.choose_entry_node(None))
        else {
            self.queue.push(self.now_ms + RETRY_INTERVAL_MS, WorldEvent::CancelJob { work });
            return;
        };
        let request = CallerRequest::Cancel { key: self.presented_key(work), job };
        self.send_caller_request(node, CallWaiter::Cancel { work }, request);
    }

    pub(crate) fn on_cancel_answer(&mut self, work: usize, answer: &WorkAnswer) {
        if is_passing(answer.reason) {
            self.queue.push(self.now_ms + RETRY_INTERVAL_MS, WorldEvent::CancelJob { work });
        } else {
            self.book.works[work].seen.cancelled_ms = Some(self.now_ms);
        }
    }
}
