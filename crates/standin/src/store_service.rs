//! Asynchronous calls to the store table, with fault injection and waiting watches.

use {
    crate::{
        StorePlan, StoreStats, StoreTable, WriteRecord,
        common_clock::common_now_ms,
        connection_gate::ConnectionGate,
        http_server::ServedCall,
        response_policy::{ResponseFaults, ResponsePolicy},
        waiting::{MAX_WAIT_MS, sleep_ms, wait_for_change},
    },
    damaskrack_outside::{StoreCall, StoreError, StoreReply},
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

/// Changes to the faults that the store injects; omitted settings stay unchanged.
///
/// # Examples
///
/// ```
/// use damaskrack_standin::StoreFaults;
///
/// let faults: StoreFaults = serde_json::from_str(r#"{"outage":true,"delay_ms":20}"#)?;
/// assert_eq!((faults.outage, faults.delay_ms), (Some(true), Some(20)));
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether all calls are refused.
    pub outage: Option<bool>,
    /// Whether open and new connections go silent: bytes are dropped in both directions.
    pub cut: Option<bool>,
    /// Makes the connections that are open now go silent permanently.
    pub silence: bool,
    /// Minimum delay of each call, in milliseconds; half of it passes before the call takes effect.
    pub delay_ms: Option<u64>,
    /// Maximum random addition to the delay, in milliseconds; lets responses overtake each other.
    pub jitter_ms: Option<u64>,
    /// Probability that a call takes effect but its connection closes without a response.
    pub lose_answers: Option<f64>,
}

impl StoreFaults {
    fn response_faults(&self) -> ResponseFaults {
        let Self { delay_ms, jitter_ms, lose_answers, .. } = *self;
        ResponseFaults { delay_ms, jitter_ms, lose_answers }
    }
}

#[derive(Debug)]
struct StoreState {
    table: StoreTable,
    policy: ResponsePolicy,
}

/// A store table shared by concurrent calls.
#[derive(Debug)]
pub(crate) struct StoreService {
    state: Mutex<StoreState>,
    changed: Notify,
    gate: ConnectionGate,
}

impl StoreService {
    pub(crate) fn new(plan: StorePlan, seed: u64) -> Self {
        let state = StoreState { table: StoreTable::new(plan), policy: ResponsePolicy::new(seed) };
        let gate = ConnectionGate::new(usize::MAX);
        Self { state: Mutex::new(state), changed: Notify::new(), gate }
    }

    pub(crate) fn gate(&self) -> &ConnectionGate {
        &self.gate
    }

    /// Executes a call with the configured delays; a watch waits for events.
    pub(crate) async fn call(&self, call: &StoreCall) -> ServedCall<StoreReply> {
        let plan = self.lock().policy.draw();
        sleep_ms(plan.before_ms).await;
        let result = match (call, self.serve(call)) {
            (StoreCall::Watch { prefixes, since, wait_ms }, Ok(_)) => {
                self.watch(prefixes, *since, *wait_ms).await
            }
            (_, result) => result,
        };
        sleep_ms(plan.after_ms).await;
        match result {
            Err(_) => ServedCall::Refused,
            Ok(_) if plan.is_lost => {
                self.lock().table.count_lost_answer();
                ServedCall::Dropped
            }
            Ok(reply) => ServedCall::Answered(reply),
        }
    }

    fn serve(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let mut state = self.lock();
        let revision = state.table.revision();
        let result = state.table.serve(call, common_now_ms());
        let is_lease_call = matches!(call, StoreCall::LeaseGrant { .. });
        if is_lease_call || state.table.revision() != revision {
            self.changed.notify_waiters();
        }
        result
    }

    async fn watch(
        &self,
        prefixes: &[String],
        since: u64,
        wait_ms: u64,
    ) -> Result<StoreReply, StoreError> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        loop {
            let changed = self.changed.notified();
            {
                let state = self.lock();
                if state.table.is_out() {
                    return Err(StoreError::Unavailable);
                }
                if let Some(reply) = state.table.poll_watch(prefixes, since) {
                    return Ok(reply);
                }
            }
            if timeout_at(deadline, changed).await.is_err() {
                let revision = self.lock().table.revision();
                return Ok(StoreReply::Events { events: Vec::new(), revision });
            }
        }
    }

    /// Ends leases when they expire; runs until the future is dropped.
    pub(crate) async fn run_lease_timer(&self) {
        loop {
            let changed = self.changed.notified();
            let now_ms = common_now_ms();
            let next_ms = {
                let mut state = self.lock();
                let revision = state.table.revision();
                state.table.advance(now_ms);
                if state.table.revision() != revision {
                    self.changed.notify_waiters();
                }
                state.table.next_event_ms()
            };
            wait_for_change(next_ms.map(|next_ms| next_ms.saturating_sub(now_ms)), changed).await;
        }
    }

    pub(crate) fn change_faults(&self, faults: &StoreFaults) {
        let mut state = self.lock();
        state.policy.change(faults.response_faults());
        if let Some(is_out) = faults.outage {
            state.table.set_outage(is_out, common_now_ms());
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

    pub(crate) fn stats(&self) -> StoreStats {
        self.lock().table.stats().clone()
    }

    pub(crate) fn history(&self) -> Vec<WriteRecord> {
        self.lock().table.history().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
