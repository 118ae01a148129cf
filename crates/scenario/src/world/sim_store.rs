//! Store stand-in as seen through the simulated network.

use {
    super::CallOrigin,
    damaskrack_outside::{StoreCall, StoreError, StoreReply},
    damaskrack_standin::{StorePlan, StoreTable},
};

/// Result of handling a call at the store.
#[derive(Debug)]
pub(crate) enum StoreOutcome {
    /// The store responds at once.
    Response(Result<StoreReply, StoreError>),
    /// The watch waits for a change or its timeout.
    Pending,
}

/// The store's table, its waiting watches and its injected faults.
#[derive(Debug)]
pub(crate) struct SimStore {
    pub(crate) table: StoreTable,
    /// Added latency of each call, in milliseconds.
    pub(crate) added_latency_ms: u64,
    /// Share of successful responses that are lost, in percent.
    pub(crate) lost_percent: u32,
    watches: Vec<(CallOrigin, StoreCall)>,
}

impl SimStore {
    pub(crate) fn new() -> Self {
        let table = StoreTable::new(StorePlan::default());
        Self { table, added_latency_ms: 0, lost_percent: 0, watches: Vec::new() }
    }

    /// Serves a call; a watch without events is kept waiting.
    pub(crate) fn handle_call(
        &mut self,
        origin: CallOrigin,
        call: StoreCall,
        now_ms: u64,
    ) -> StoreOutcome {
        let reply = self.table.serve(&call, now_ms);
        let is_empty = matches!(&reply, Ok(StoreReply::Events { events, .. }) if events.is_empty());
        if is_empty {
            self.watches.push((origin, call));
            return StoreOutcome::Pending;
        }
        StoreOutcome::Response(reply)
    }

    /// Removes the watches that now have events and returns their responses.
    pub(crate) fn take_responses(&mut self, now_ms: u64) -> Vec<(CallOrigin, StoreReply)> {
        self.table.advance(now_ms);
        let mut ready = Vec::new();
        let table = &self.table;
        self.watches.retain(|(origin, call)| {
            let StoreCall::Watch { prefixes, since, .. } = call else { return false };
            match table.poll_watch(prefixes, *since) {
                Some(reply) => {
                    ready.push((*origin, reply));
                    false
                }
                None => true,
            }
        });
        ready
    }

    /// Removes a watch whose waiting time is over and returns its empty response.
    pub(crate) fn take_expired(&mut self, origin: CallOrigin) -> Option<StoreReply> {
        let index = self.watches.iter().position(|(waiting, _)| *waiting == origin)?;
        self.watches.swap_remove(index);
        Some(StoreReply::Events { events: Vec::new(), revision: self.table.revision() })
    }

    /// Drops the waiting watches of a node, or of all nodes, without a response.
    pub(crate) fn drop_watches(&mut self, node: Option<usize>) -> Vec<CallOrigin> {
        let is_match = |origin: &CallOrigin| node.is_none_or(|node| origin.node == node);
        let dropped = self.watches.iter().map(|(origin, _)| *origin).filter(is_match).collect();
        self.watches.retain(|(origin, _)| !is_match(origin));
        dropped
    }
}
