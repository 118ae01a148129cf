//! Performs the actions that a node returns.

use {
    super::{CallKind, CallOrigin, CallWaiter, PathEnd, SimWorld, WorldEvent},
    crate::observe::SeenVersion,
    damaskrack_model::{MemberName, WorkAnswer},
    damaskrack_node::{NodeAction, NodeInput},
    damaskrack_outside::{StoreCall, WorkerCall},
    damaskrack_wire::PeerMessage,
    std::net::SocketAddr,
};

impl SimWorld {
    /// Performs one action of a node.
    pub(crate) fn perform_action(&mut self, node: usize, action: NodeAction) {
        match action {
            NodeAction::CallerAnswer { call, answer } => self.on_caller_answer(node, call, &answer),
            NodeAction::OperatorAnswer { call, version, answer } => {
                self.on_operator_answer(node, call, version, &answer);
            }
            NodeAction::Peer { member, message } => self.send_frame(node, &member, message),
            NodeAction::Connect { member, .. } => self.request_link(node, &member),
            NodeAction::Disconnect { member } => {
                if let Some(to) = self.node_index(&member) {
                    self.links.remove(node, to);
                }
            }
            NodeAction::Store { call, request, timeout_ms } => {
                self.send_store_call(node, call, request, timeout_ms);
            }
            NodeAction::Worker { call, address, request, timeout_ms } => {
                self.send_worker_call(node, call, address, request, timeout_ms);
            }
            NodeAction::Log(line) => self.trace.line(self.now_ms, || {
                let fields =
                    line.fields.iter().map(|field| format!(" {}={}", field.name, field.value));
                let fields: String = fields.collect();
                format!("node-{} LOG {:?} {}{fields}", node + 1, line.level, line.event)
            }),
            NodeAction::Count { .. } | NodeAction::Timing { .. } | NodeAction::Gauge { .. } => {}
            NodeAction::Exit => self.on_exit(node),
        }
    }

    pub(crate) fn node_index(&self, member: &MemberName) -> Option<usize> {
        self.nodes.iter().position(|process| process.member == *member)
    }

    fn request_link(&mut self, node: usize, member: &MemberName) {
        if let Some(to) = self.node_index(member)
            && to != node
        {
            self.links.request(node, to);
        }
    }

    /// Sends a message to another node; it is lost without an open connection or across a cut.
    fn send_frame(&mut self, node: usize, member: &MemberName, message: PeerMessage) {
        let Some(to) = self.node_index(member) else { return };
        self.record_version(node, &message);
        self.record.count_message(&message);
        let at_ms = self.now_ms + self.random_latency_ms();
        let Some(at_ms) = self.links.reserve_arrival((node, to), at_ms) else {
            self.trace_frame("no link", node, to, &message);
            return;
        };
        let Some(link) = self.links.get(node, to) else { return };
        if link.is_silent || self.cuts.is_cut(PathEnd::Node(node), PathEnd::Node(to)) {
            self.trace_frame("lost", node, to, &message);
            return;
        }
        let generation = link.generation;
        self.trace_frame("sent", node, to, &message);
        let boot = self.nodes[node].boot;
        self.queue.push(at_ms, WorldEvent::Frame { from: node, to, generation, boot, message });
    }

    /// Records a node's manifest version when its heartbeat shows a new one.
    fn record_version(&mut self, node: usize, message: &PeerMessage) {
        let PeerMessage::Heartbeat { version, .. } = message else { return };
        let (life, version) = (self.nodes[node].life, *version);
        let versions = &mut self.record.versions;
        let last = versions.iter().rev().find(|seen| seen.node == node && seen.life == life);
        if last.is_none_or(|seen| seen.version != version) {
            versions.push(SeenVersion { at_ms: self.now_ms, node, life, version });
        }
    }

    fn send_store_call(&mut self, node: usize, call: u64, request: StoreCall, timeout_ms: u64) {
        let life = self.nodes[node].life;
        let origin = CallOrigin { kind: CallKind::Store, node, life, call };
        self.nodes[node].pending.insert(origin);
        let wait_ms = match &request {
            StoreCall::Watch { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        self.queue.push(self.now_ms + wait_ms + timeout_ms, WorldEvent::CallTimeout { origin });
        if !matches!(request, StoreCall::Watch { .. }) || self.trace.is_verbose() {
            self.trace.line(self.now_ms, || format!("node-{} store#{call} {request:?}", node + 1));
        }
        if self.cuts.is_cut(PathEnd::Node(node), PathEnd::Store) {
            return;
        }
        let at_ms = self.now_ms + self.random_latency_ms() + self.store.added_latency_ms;
        self.queue.push(at_ms, WorldEvent::StoreArrive { origin, request });
    }

    fn send_worker_call(
        &mut self,
        node: usize,
        call: u64,
        address: SocketAddr,
        request: WorkerCall,
        timeout_ms: u64,
    ) {
        let life = self.nodes[node].life;
        let origin = CallOrigin { kind: CallKind::Worker, node, life, call };
        self.nodes[node].pending.insert(origin);
        let wait_ms = match &request {
            WorkerCall::Sync { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        self.queue.push(self.now_ms + wait_ms + timeout_ms, WorldEvent::CallTimeout { origin });
        let Some(&worker) = self.addresses.get(&address) else { return };
        if !matches!(request, WorkerCall::Sync { .. }) || self.trace.is_verbose() {
            self.trace.line(self.now_ms, || {
                format!("node-{} worker-{}#{call} {request:?}", node + 1, worker + 1)
            });
        }
        if self.cuts.is_cut(PathEnd::Node(node), PathEnd::Worker(worker)) {
            return;
        }
        let at_ms = self.now_ms + self.random_latency_ms() + self.fleet[worker].added_latency_ms;
        self.queue.push(at_ms, WorldEvent::WorkerArrive { origin, worker, request });
    }

    fn on_caller_answer(&mut self, node: usize, call: u64, answer: &WorkAnswer) {
        self.trace.line(self.now_ms, || {
            format!(
                "node-{} answers caller#{call} {:?} {} {} job={:?}",
                node + 1,
                answer.outcome,
                answer.reason,
                answer.detail,
                answer.job.as_ref().map(ToString::to_string)
            )
        });
        match self.nodes[node].waiters.remove(&call) {
            Some(CallWaiter::Work { work, attempt }) => self.on_work_answer(work, attempt, answer),
            Some(CallWaiter::Query { work }) => self.on_query_answer(work, answer),
            Some(CallWaiter::Cancel { work }) => self.on_cancel_answer(work, answer),
            Some(CallWaiter::Change { .. }) | None => self.record.record_stray(call),
        }
    }

    /// Traces a node's inputs; frequent ones only in verbose traces.
    pub(crate) fn trace_inputs(&self, node: usize, inputs: &[NodeInput]) {
        for input in inputs {
            let is_routine = match input {
                NodeInput::Hosts { .. } | NodeInput::Peer { .. } => true,
                NodeInput::Worker { result: Ok(reply), .. } => {
                    matches!(reply.body, damaskrack_outside::WorkerBody::Report(_))
                }
                _ => false,
            };
            if !is_routine || self.trace.is_verbose() {
                self.trace.line(self.now_ms, || {
                    let text = format!("{input:?}");
                    format!("node-{} <= {}", node + 1, text.chars().take(600).collect::<String>())
                });
            }
        }
    }

    /// Traces a message between nodes; heartbeats and digests only in verbose traces.
    pub(crate) fn trace_frame(&self, what: &str, from: usize, to: usize, message: &PeerMessage) {
        let is_routine = matches!(
            message,
            PeerMessage::Heartbeat { .. }
                | PeerMessage::RackDigests { .. }
                | PeerMessage::TeamDigests { .. }
        );
        if !is_routine || self.trace.is_verbose() {
            self.trace.line(self.now_ms, || {
                format!("node-{} -> node-{} {what} {message:?}", from + 1, to + 1)
            });
        }
    }
}
