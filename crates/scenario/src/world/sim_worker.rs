//! The worker stand-ins behind a network.

use {
    super::CallOrigin,
    damaskrack_model::{AttemptId, RackName, WorkerName},
    damaskrack_outside::{WorkerCall, WorkerReply},
    damaskrack_standin::WorkerTable,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// What a worker does with a call that arrives.
#[derive(Debug)]
pub(crate) enum WorkerOutcome {
    Response(WorkerReply),
    Pending,
}

/// A worker and the calls that wait at it.
#[derive(Debug)]
pub(crate) struct SimWorker {
    pub(crate) worker: WorkerName,
    pub(crate) rack: RackName,
    pub(crate) address: SocketAddr,
    pub(crate) table: WorkerTable,
    pub(crate) is_down: bool,
    /// How much longer its calls take, in milliseconds.
    pub(crate) slow_ms: u64,
    /// Payload of every attempt that was ever handed over.
    pub(crate) payloads: BTreeMap<AttemptId, String>,
    queued: Vec<(CallOrigin, WorkerCall)>,
    syncs: Vec<(CallOrigin, WorkerCall)>,
}

impl SimWorker {
    pub(crate) fn new(
        worker: WorkerName,
        rack: RackName,
        address: SocketAddr,
        table: WorkerTable,
    ) -> Self {
        Self {
            worker,
            rack,
            address,
            table,
            is_down: false,
            slow_ms: 0,
            payloads: BTreeMap::new(),
            queued: Vec::new(),
            syncs: Vec::new(),
        }
    }

    /// Takes a call. A frozen worker's calls wait in its socket until it wakes.
    pub(crate) fn take(
        &mut self,
        origin: CallOrigin,
        call: WorkerCall,
        now_ms: u64,
    ) -> WorkerOutcome {
        if self.table.is_frozen() {
            self.queued.push((origin, call));
            return WorkerOutcome::Pending;
        }
        if let WorkerCall::Start { orders, .. } = &call {
            for order in orders {
                self.payloads.insert(order.attempt.clone(), order.payload.clone());
            }
        }
        let reply = self.table.handle(&call, now_ms);
        if !matches!(call, WorkerCall::Sync { wait_ms: 1.., .. }) {
            return WorkerOutcome::Response(reply);
        }
        match self.table.poll(&call, now_ms) {
            Some(reply) => WorkerOutcome::Response(reply),
            None => {
                self.syncs.push((origin, call));
                WorkerOutcome::Pending
            }
        }
    }

    /// Takes every waiting `Sync` that now has an answer.
    pub(crate) fn take_answerable(&mut self, now_ms: u64) -> Vec<(CallOrigin, WorkerReply)> {
        if self.table.is_frozen() || self.is_down {
            return Vec::new();
        }
        self.table.advance(now_ms);
        let mut ready = Vec::new();
        let table = &self.table;
        self.syncs.retain(|(origin, call)| match table.poll(call, now_ms) {
            Some(reply) => {
                ready.push((*origin, reply));
                false
            }
            None => true,
        });
        ready
    }

    /// Takes a `Sync` whose waiting time is over.
    pub(crate) fn take_expired(&mut self, origin: CallOrigin, now_ms: u64) -> Option<WorkerReply> {
        if self.table.is_frozen() {
            return None;
        }
        let index = self.syncs.iter().position(|(waiting, _)| *waiting == origin)?;
        let (_, call) = self.syncs.swap_remove(index);
        Some(self.table.answer(&call, now_ms))
    }

    /// Takes the calls that arrived while the worker was frozen.
    pub(crate) fn take_queued(&mut self) -> Vec<(CallOrigin, WorkerCall)> {
        std::mem::take(&mut self.queued)
    }

    /// Drops the waiting calls of a node, or of all.
    pub(crate) fn drop_calls(&mut self, node: Option<usize>) -> Vec<CallOrigin> {
        let is_match = |origin: &CallOrigin| node.is_none_or(|node| origin.node == node);
        let calls = self.syncs.iter().chain(&self.queued);
        let dropped = calls.map(|(origin, _)| *origin).filter(is_match).collect();
        self.syncs.retain(|(origin, _)| !is_match(origin));
        self.queued.retain(|(origin, _)| !is_match(origin));
        dropped
    }
}
