//! The store as calls that wait.

use {
    crate::{
        StorePlan, StoreStats, StoreTable, WriteRecord,
        answer_policy::{AnswerFaults, AnswerPolicy},
        common_clock::common_now_ms,
        connection_gate::ConnectionGate,
        http_server::ServedCall,
        waiting::{MAX_WAIT_MS, pause, wait_until},
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

/// Changes to how the store fails; what is left out stays as it is.
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
    /// Whether every call is refused.
    pub outage: Option<bool>,
    /// Whether connections, open and new ones, are silent.
    pub cut: Option<bool>,
    /// Makes the connections that are open now go silent for good.
    pub silence: bool,
    /// Shortest delay of each call, half of it before the call takes effect, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Longest random time on top of it, in milliseconds; makes answers cross.
    pub jitter_ms: Option<u64>,
    /// Probability that a call takes effect and its connection closes without an answer.
    pub lose_answers: Option<f64>,
}

impl StoreFaults {
    fn answers(&self) -> AnswerFaults {
        let Self { delay_ms, jitter_ms, lose_answers, .. } = *self;
        AnswerFaults { delay_ms, jitter_ms, lose_answers }
    }
}

#[derive(Debug)]
struct StoreState {
    table: StoreTable,
    policy: AnswerPolicy,
}

/// A store table with the calls that wait for it.
#[derive(Debug)]
pub(crate) struct StoreService {
    state: Mutex<StoreState>,
    changed: Notify,
    gate: ConnectionGate,
}

impl StoreService {
    pub(crate) fn new(plan: StorePlan, seed: u64) -> Self {
        let state = StoreState { table: StoreTable::new(plan), policy: AnswerPolicy::new(seed) };
        let gate = ConnectionGate::new(usize::MAX);
        Self { state: Mutex::new(state), changed: Notify::new(), gate }
    }

    pub(crate) fn gate(&self) -> &ConnectionGate {
        &self.gate
    }

    /// Carries out a call and waits with it, for news or as its delay says.
    pub(crate) async fn call(&self, call: &StoreCall) -> ServedCall<StoreReply> {
        let plan = self.lock().policy.draw();
        pause(plan.before_ms).await;
        let end = match (call, self.serve(call)) {
            (StoreCall::Watch { prefixes, since, wait_ms }, Ok(_)) => {
                self.watch(prefixes, *since, *wait_ms).await
            }
            (_, end) => end,
        };
        pause(plan.after_ms).await;
        match end {
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
        let end = state.table.serve(call, common_now_ms());
        let is_lease_call = matches!(call, StoreCall::LeaseGrant { .. });
        if is_lease_call || state.table.revision() != revision {
            self.changed.notify_waiters();
        }
        end
    }

    async fn watch(
        &self,
        prefixes: &[String],
        since: u64,
        wait_ms: u64,
    ) -> Result<StoreReply, StoreError> {
        let due = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
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
            if timeout_at(due, changed).await.is_err() {
                let revision = self.lock().table.revision();
                return Ok(StoreReply::Events { events: Vec::new(), revision });
            }
        }
    }

    /// Lets leases lapse in time; runs until it is dropped.
    pub(crate) async fn run_leases(&self) {
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
            wait_until(next_ms.map(|next_ms| next_ms.saturating_sub(now_ms)), changed).await;
        }
    }

    pub(crate) fn change_faults(&self, faults: &StoreFaults) {
        let mut state = self.lock();
        state.policy.change(faults.answers());
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
