//! A worker as calls that wait.

use {
    crate::{
        CheckpointPlace, ObservedRun, WorkerPlan, WorkerTable,
        answer_policy::{AnswerFaults, AnswerPolicy},
        common_clock::common_now_ms,
        connection_gate::ConnectionGate,
        http_server::ServedCall,
        waiting::{MAX_WAIT_MS, pause, wait_until},
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

/// Changes to how a worker fails; what is left out stays as it is.
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
    /// Whether the worker stands still; calls wait and are carried out when it wakes.
    pub freeze: Option<bool>,
    /// Whether connections, open and new ones, are silent. Tasks go on.
    pub cut: Option<bool>,
    /// Makes the connections that are open now go silent for good.
    pub silence: bool,
    /// Whether every task fails at once.
    pub fail_everything: Option<bool>,
    /// Restarts the worker under this boot number: all that runs and was known is gone.
    pub restart: Option<u64>,
    /// Shortest delay of each call, half of it before the call takes effect, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Longest random time on top of it, in milliseconds; makes answers cross.
    pub jitter_ms: Option<u64>,
    /// Probability that a call takes effect and its connection closes without an answer.
    pub lose_answers: Option<f64>,
}

impl WorkerFaults {
    fn answers(&self) -> AnswerFaults {
        let Self { delay_ms, jitter_ms, lose_answers, .. } = *self;
        AnswerFaults { delay_ms, jitter_ms, lose_answers }
    }
}

#[derive(Debug)]
struct WorkerState {
    table: WorkerTable,
    policy: AnswerPolicy,
}

/// A worker table with the calls that wait for it.
#[derive(Debug)]
pub(crate) struct WorkerService {
    state: Mutex<WorkerState>,
    changed: Notify,
    gate: ConnectionGate,
}

impl WorkerService {
    pub(crate) fn new(plan: WorkerPlan, checkpoints: CheckpointPlace) -> Self {
        let policy = AnswerPolicy::new(plan.boot);
        let state = WorkerState { table: WorkerTable::new(plan, checkpoints), policy };
        let gate = ConnectionGate::new(WorkerPlan::CONNECTIONS);
        Self { state: Mutex::new(state), changed: Notify::new(), gate }
    }

    pub(crate) fn gate(&self) -> &ConnectionGate {
        &self.gate
    }

    /// Carries out a call and waits with it, for news or as its delay says.
    pub(crate) async fn call(&self, call: &WorkerCall) -> ServedCall<WorkerReply> {
        let plan = self.lock().policy.draw();
        pause(plan.before_ms).await;
        let reply = self.carry_out(call).await;
        let reply = match call {
            WorkerCall::Sync { wait_ms, .. } => self.wait_for_news(call, *wait_ms).await,
            _ => reply,
        };
        pause(plan.after_ms).await;
        if plan.is_lost { ServedCall::Dropped } else { ServedCall::Answered(reply) }
    }

    async fn carry_out(&self, call: &WorkerCall) -> WorkerReply {
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

    async fn wait_for_news(&self, call: &WorkerCall, wait_ms: u64) -> WorkerReply {
        let due = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        loop {
            let changed = self.changed.notified();
            let is_frozen = {
                let state = self.lock();
                let now_ms = common_now_ms();
                if !state.table.is_frozen() {
                    if let Some(reply) = state.table.poll(call, now_ms) {
                        return reply;
                    }
                    if Instant::now() >= due {
                        return state.table.answer(call, now_ms);
                    }
                }
                state.table.is_frozen()
            };
            if is_frozen {
                changed.await;
            } else {
                // Whether it was news or the time that ended the wait is judged above.
                let _ = timeout_at(due, changed).await;
            }
        }
    }

    /// Lets tasks end in time; runs until it is dropped.
    pub(crate) async fn run_tasks(&self) {
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
            wait_until(next_ms.map(|next_ms| next_ms.saturating_sub(now_ms)), changed).await;
        }
    }

    pub(crate) fn change_faults(&self, faults: &WorkerFaults) {
        let now_ms = common_now_ms();
        let mut state = self.lock();
        state.policy.change(faults.answers());
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
