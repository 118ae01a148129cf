//! Delivery of calls to the stand-ins and of their responses.

use {
    super::{CallOrigin, PathEnd, SimWorld, StoreOutcome, WorkerOutcome, WorldEvent},
    damaskrack_node::NodeInput,
    damaskrack_outside::{
        StartOutcome, StoreCall, StoreError, StoreReply, WorkerBody, WorkerCall, WorkerError,
        WorkerReply,
    },
};

/// Interval at which a node reads the host list, in milliseconds.
pub(crate) const HOSTS_READ_INTERVAL_MS: u64 = 500;

impl SimWorld {
    /// Delivers a call to the store. During an outage, half of the calls get no response.
    pub(crate) fn on_store_arrive(&mut self, origin: CallOrigin, request: StoreCall) {
        let node = PathEnd::Node(origin.node);
        let is_hanging = self.store.table.is_out() && self.random_chance(50);
        if self.cuts.is_cut(node, PathEnd::Store) || is_hanging {
            return;
        }
        let wait_ms = match &request {
            StoreCall::Watch { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        match self.store.handle_call(origin, request, self.now_ms) {
            StoreOutcome::Pending => {
                self.queue.push(self.now_ms + wait_ms, WorldEvent::WatchExpire { origin });
            }
            StoreOutcome::Response(result) => self.send_store_response(origin, result),
        }
        self.poll_store();
    }

    fn send_store_response(&mut self, origin: CallOrigin, result: Result<StoreReply, StoreError>) {
        if self.cuts.is_cut(PathEnd::Store, PathEnd::Node(origin.node)) {
            return;
        }
        let is_lost = result.is_ok() && self.random_chance(u64::from(self.store.lost_percent));
        let result = if is_lost { Err(StoreError::Lost) } else { result };
        let at_ms = self.now_ms + self.random_latency_ms();
        self.queue.push(at_ms, WorldEvent::StoreReturn { origin, result });
    }

    /// Responds to watches that have events and schedules the next poll, such as for the expiry of
    /// a lease.
    pub(crate) fn poll_store(&mut self) {
        for (origin, reply) in self.store.take_responses(self.now_ms) {
            self.send_store_response(origin, Ok(reply));
        }
        let Some(at_ms) = self.store.table.next_event_ms() else { return };
        let at_ms = at_ms.max(self.now_ms + 1);
        if self.polls.schedule(PathEnd::Store, self.now_ms, at_ms) {
            self.queue.push(at_ms, WorldEvent::StorePoll);
        }
    }

    pub(crate) fn on_watch_expire(&mut self, origin: CallOrigin) {
        if let Some(reply) = self.store.take_expired(origin) {
            self.send_store_response(origin, Ok(reply));
        }
    }

    pub(crate) fn on_worker_arrive(
        &mut self,
        origin: CallOrigin,
        worker: usize,
        request: WorkerCall,
    ) {
        if self.cuts.is_cut(PathEnd::Node(origin.node), PathEnd::Worker(worker)) {
            return;
        }
        if self.fleet[worker].is_down {
            let at_ms = self.now_ms + self.random_latency_ms();
            let result = Err(WorkerError::Unreachable);
            self.queue.push(at_ms, WorldEvent::WorkerReturn { origin, result });
            return;
        }
        self.take_worker_call(origin, worker, request);
    }

    pub(crate) fn take_worker_call(
        &mut self,
        origin: CallOrigin,
        worker: usize,
        request: WorkerCall,
    ) {
        let wait_ms = match &request {
            WorkerCall::Sync { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        match self.fleet[worker].handle_call(origin, request, self.now_ms) {
            WorkerOutcome::Response(reply) => {
                self.count_start_outcomes(worker, &reply);
                self.send_worker_response(origin, worker, reply);
            }
            WorkerOutcome::Pending => {
                let at_ms = self.now_ms + wait_ms;
                self.queue.push(at_ms, WorldEvent::SyncExpire { origin, worker });
            }
        }
        self.poll_worker(worker);
    }

    /// Counts the starts and calls that a worker refused.
    fn count_start_outcomes(&mut self, worker: usize, reply: &WorkerReply) {
        match &reply.body {
            WorkerBody::Starts { verdicts } => {
                self.trace
                    .line(self.now_ms, || format!("worker-{} starts {verdicts:?}", worker + 1));
                for verdict in verdicts {
                    match verdict {
                        StartOutcome::Started => {}
                        StartOutcome::Full => self.record.refused_full += 1,
                        StartOutcome::Expired => self.record.refused_expired += 1,
                    }
                }
            }
            WorkerBody::Stale { .. } => self.record.refused_stale += 1,
            WorkerBody::Report(_) | WorkerBody::Accepted => {}
        }
    }

    fn send_worker_response(&mut self, origin: CallOrigin, worker: usize, reply: WorkerReply) {
        if self.cuts.is_cut(PathEnd::Worker(worker), PathEnd::Node(origin.node)) {
            return;
        }
        let at_ms = self.now_ms + self.random_latency_ms();
        self.queue.push(at_ms, WorldEvent::WorkerReturn { origin, result: Ok(reply) });
    }

    /// Responds to waiting calls of a worker that now have a response, and schedules the poll of
    /// its next change.
    pub(crate) fn poll_worker(&mut self, worker: usize) {
        for (origin, reply) in self.fleet[worker].take_responses(self.now_ms) {
            self.send_worker_response(origin, worker, reply);
        }
        let Some(at_ms) = self.fleet[worker].table.next_event_ms() else { return };
        let at_ms = at_ms.max(self.now_ms + 1);
        if self.polls.schedule(PathEnd::Worker(worker), self.now_ms, at_ms) {
            self.queue.push(at_ms, WorldEvent::WorkerPoll { worker });
        }
    }

    pub(crate) fn on_sync_expire(&mut self, origin: CallOrigin, worker: usize) {
        if let Some(reply) = self.fleet[worker].take_expired(origin, self.now_ms) {
            self.send_worker_response(origin, worker, reply);
        }
    }

    pub(crate) fn on_hosts_read(&mut self, node: usize, life: u64) {
        if self.nodes[node].life != life {
            return;
        }
        self.queue.push(self.now_ms + HOSTS_READ_INTERVAL_MS, WorldEvent::HostsRead { node, life });
        if self.nodes[node].is_paused {
            return;
        }
        if let Some(rows) = self.hosts.read(self.now_ms) {
            self.push_input(node, NodeInput::Hosts { rows });
        }
    }
}
