//! Worker stand-ins as seen through the simulated network.

use {
    super::CallOrigin,
    damaskrack_model::{AttemptId, RackName, WorkerName},
    damaskrack_outside::{WorkerCall, WorkerReply},
    damaskrack_standin::WorkerTable,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Result of handling a call at a worker.
#[derive(Debug)]
pub(crate) enum WorkerOutcome {
    /// The worker responds at once.
    Response(WorkerReply),
    /// The call waits at the worker.
    Pending,
}

/// A worker stand-in and the calls that wait at it.
#[derive(Debug)]
pub(crate) struct SimWorker {
    pub(crate) worker: WorkerName,
    pub(crate) rack: RackName,
    pub(crate) address: SocketAddr,
    pub(crate) table: WorkerTable,
    pub(crate) is_down: bool,
    /// Added latency of each call, in milliseconds.
    pub(crate) added_latency_ms: u64,
    /// Payload of every attempt that a start request named.
    pub(crate) payloads: BTreeMap<AttemptId, String>,
    /// Calls that arrived while the worker was frozen.
    queued: Vec<(CallOrigin, WorkerCall)>,
    /// `Sync` calls that wait for a change.
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
            added_latency_ms: 0,
            payloads: BTreeMap::new(),
            queued: Vec::new(),
            syncs: Vec::new(),
        }
    }

    /// Handles a call. Calls to a frozen worker wait in its socket until it is unfrozen.
    pub(crate) fn handle_call(
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

    /// Removes the waiting `Sync` calls that now have a response and returns the responses.
    pub(crate) fn take_responses(&mut self, now_ms: u64) -> Vec<(CallOrigin, WorkerReply)> {
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

    /// Removes a `Sync` whose waiting time is over and returns its response.
    pub(crate) fn take_expired(&mut self, origin: CallOrigin, now_ms: u64) -> Option<WorkerReply> {
        if self.table.is_frozen() {
            return None;
        }
        let index = self.syncs.iter().position(|(waiting, _)| *waiting == origin)?;
        let (_, call) = self.syncs.swap_remove(index);
        Some(self.table.answer(&call, now_ms))
    }

    /// Removes and returns the calls that arrived while the worker was frozen.
    pub(crate) fn take_queued(&mut self) -> Vec<(CallOrigin, WorkerCall)> {
        std::mem::take(&mut self.queued)
    }

    /// Drops the waiting calls of a node, or of all nodes, without a response.
    pub(crate) fn drop_calls(&mut self, node: Option<usize>) -> Vec<CallOrigin> {
        let is_match = |origin: &CallOrigin| node.is_none_or(|node| origin.node == node);
        let calls = self.syncs.iter().chain(&self.queued);
        let dropped = calls.map(|(origin, _)| *origin).filter(is_match).collect();
        self.syncs.retain(|(origin, _)| !is_match(origin));
        self.queued.retain(|(origin, _)| !is_match(origin));
        dropped
    }
}
