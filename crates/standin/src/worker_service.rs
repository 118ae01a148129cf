//! Asynchronous calls to a worker table, with fault injection and waiting `Sync` calls.

use {
    crate::{
        CheckpointPlace, ObservedRun, WorkerPlan, WorkerTable,
        common_clock::common_now_ms,
        connection_gate::ConnectionGate,
        http_server::ServedCall,
        response_policy::{ResponseFaults, ResponsePolicy},
        waiting::{MAX_WAIT_MS, sleep_ms, wait_for_change},
    },
    damaskrack_outside::{WorkerCall, WorkerReply},
    serde::{Deserialize, Serialize},
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, timeout_at},
    },
};

/// Changes to the faults that a worker injects; omitted settings stay unchanged.
///
/// # Examples
///
/// ```
/// use damaskrack_standin::WorkerFaults;
///
/// let faults: WorkerFaults = serde_json::from_str(r#"{"freeze":true}"#)?;
/// assert_eq!(faults, WorkerFaults { freeze: Some(true), ..WorkerFaults::default() });
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Whether the worker is frozen; calls wait and are executed when it resumes.
    pub freeze: Option<bool>,
    /// Whether open and new connections go silent: bytes are dropped in both directions. Tasks
    /// keep running.
    pub cut: Option<bool>,
    /// Makes the connections that are open now go silent permanently.
    pub silence: bool,
    /// Whether new tasks fail immediately.
    pub fail_everything: Option<bool>,
    /// Restarts the worker with this boot number; running tasks end and past ones are forgotten.
    pub restart: Option<u64>,
    /// Minimum delay of each call, in milliseconds; half of it passes before the call takes effect.
    pub delay_ms: Option<u64>,
    /// Maximum random addition to the delay, in milliseconds; lets responses overtake each other.
    pub jitter_ms: Option<u64>,
    /// Probability that a call takes effect but its connection closes without a response.
    pub lose_answers: Option<f64>,
}

impl WorkerFaults {
    fn response_faults(&self) -> ResponseFaults {
        let Self { delay_ms, jitter_ms, lose_answers, .. } = *self;
        ResponseFaults { delay_ms, jitter_ms, lose_answers }
    }
}

#[derive(Debug)]
struct WorkerState {
    table: WorkerTable,
    policy: ResponsePolicy,
}

/// A worker table shared by concurrent calls.
#[derive(Debug)]
pub(crate) struct WorkerService {
    state: Mutex<WorkerState>,
    changed: Notify,
    gate: ConnectionGate,
}

impl WorkerService {
    pub(crate) fn new(plan: WorkerPlan, checkpoints: CheckpointPlace) -> Self {
        let policy = ResponsePolicy::new(plan.boot);
        let state = WorkerState { table: WorkerTable::new(plan, checkpoints), policy };
        let gate = ConnectionGate::new(WorkerPlan::CONNECTIONS);
        Self { state: Mutex::new(state), changed: Notify::new(), gate }
    }

    pub(crate) fn gate(&self) -> &ConnectionGate {
        &self.gate
    }

    /// Executes a call with the configured delays; a `Sync` waits for a new report.
    pub(crate) async fn call(&self, call: &WorkerCall) -> ServedCall<WorkerReply> {
        let plan = self.lock().policy.draw();
        sleep_ms(plan.before_ms).await;
        let reply = self.execute(call).await;
        let reply = match call {
            WorkerCall::Sync { wait_ms, .. } => self.wait_for_report(call, *wait_ms).await,
            _ => reply,
        };
        sleep_ms(plan.after_ms).await;
        if plan.is_lost { ServedCall::Dropped } else { ServedCall::Answered(reply) }
    }

    async fn execute(&self, call: &WorkerCall) -> WorkerReply {
        loop {
            let changed = self.changed.notified();
            {
                let mut state = self.lock();
                if !state.table.is_frozen() {
                    let reply = state.table.handle(call, common_now_ms());
                    self.changed.notify_waiters();
                    return reply;
                }
            }
            changed.await;
        }
    }

    async fn wait_for_report(&self, call: &WorkerCall, wait_ms: u64) -> WorkerReply {
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        loop {
            let changed = self.changed.notified();
            let is_frozen = {
                let state = self.lock();
                let now_ms = common_now_ms();
                if !state.table.is_frozen() {
                    if let Some(reply) = state.table.poll(call, now_ms) {
                        return reply;
                    }
                    if Instant::now() >= deadline {
                        return state.table.answer(call, now_ms);
                    }
                }
                state.table.is_frozen()
            };
            if is_frozen {
                changed.await;
            } else {
                // The next iteration checks whether a change or the timeout ended the wait.
                let _ = timeout_at(deadline, changed).await;
            }
        }
    }

    /// Ends tasks when they are due; runs until the future is dropped.
    pub(crate) async fn run_task_timer(&self) {
        loop {
            let changed = self.changed.notified();
            let now_ms = common_now_ms();
            let next_ms = {
                let mut state = self.lock();
                let number = state.table.report_number();
                state.table.advance(now_ms);
                if state.table.report_number() != number {
                    self.changed.notify_waiters();
                }
                state.table.next_event_ms()
            };
            wait_for_change(next_ms.map(|next_ms| next_ms.saturating_sub(now_ms)), changed).await;
        }
    }

    pub(crate) fn change_faults(&self, faults: &WorkerFaults) {
        let now_ms = common_now_ms();
        let mut state = self.lock();
        state.policy.change(faults.response_faults());
        if let Some(is_failing) = faults.fail_everything {
            state.table.set_failing(is_failing);
        }
        if let Some(is_frozen) = faults.freeze {
            state.table.set_frozen(is_frozen, now_ms);
        }
        if let Some(boot) = faults.restart {
            state.table.restart(boot, now_ms);
            self.gate.close_all();
        }
        drop(state);
        if let Some(is_cut) = faults.cut {
            self.gate.set_cut(is_cut);
        }
        if faults.silence {
            self.gate.silence();
        }
        self.changed.notify_waiters();
    }

    pub(crate) fn observations(&self) -> Vec<ObservedRun> {
        self.lock().table.observations().to_vec()
    }

    pub(crate) fn outputs(&self) -> Vec<String> {
        self.lock().table.outputs().to_vec()
    }

    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
