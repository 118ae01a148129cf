//! Messages and connections between nodes, and the completion of calls.

use {
    super::{CallKind, CallOrigin, PathEnd, SILENCE_LIMIT_MS, SimWorld, WorldEvent},
    damaskrack_node::NodeInput,
    damaskrack_outside::{StoreError, WorkerError},
    damaskrack_wire::PeerMessage,
};

/// Interval at which connections are checked, in milliseconds.
const LINK_CHECK_INTERVAL_MS: u64 = 100;

impl SimWorld {
    pub(crate) fn on_frame(
        &mut self,
        from: usize,
        to: usize,
        generation: u64,
        boot: u64,
        message: PeerMessage,
    ) {
        let is_current = self.links.get(from, to).is_none_or(|link| link.generation == generation);
        let is_cut = self.cuts.is_cut(PathEnd::Node(from), PathEnd::Node(to));
        if !is_current || is_cut || !self.nodes[to].is_alive() {
            self.trace_frame("dropped on the way", from, to, &message);
            return;
        }
        let member = self.nodes[from].member.clone();
        self.push_input(to, NodeInput::Peer { member, boot, message });
    }

    pub(crate) fn on_link_check(&mut self) {
        self.queue.push(self.now_ms + LINK_CHECK_INTERVAL_MS, WorldEvent::LinkCheck);
        for (from, to) in self.links.pairs() {
            self.check_link(from, to);
        }
    }

    /// Opens a connection to a reachable peer, and closes one that was silent for too long or whose
    /// peer was restarted.
    fn check_link(&mut self, from: usize, to: usize) {
        if !self.nodes[from].is_running() {
            return;
        }
        let is_cut = self.cuts.is_cut_either_way(PathEnd::Node(from), PathEnd::Node(to));
        let is_reachable = !is_cut && self.nodes[to].is_running();
        let (now_ms, life, boot) = (self.now_ms, self.nodes[to].life, self.nodes[to].boot);
        let member = self.nodes[to].member.clone();
        let Some(link) = self.links.get_mut(from, to) else { return };
        if !link.is_up {
            if is_reachable {
                link.is_up = true;
                link.is_silent = false;
                link.generation += 1;
                link.blocked_since_ms = None;
                link.peer_life = life;
                self.push_input(from, NodeInput::PeerUp { member, boot });
            }
            return;
        }
        if is_reachable && !link.is_silent && link.peer_life == life {
            link.blocked_since_ms = None;
            return;
        }
        let since_ms = *link.blocked_since_ms.get_or_insert(now_ms);
        if link.peer_life != life || now_ms - since_ms >= SILENCE_LIMIT_MS {
            link.is_up = false;
            self.push_input(from, NodeInput::PeerDown { member });
        }
    }

    /// Closes the connections from and to a node whose process ended. Peers behind a cut don't
    /// notice.
    pub(crate) fn break_links_to(&mut self, node: usize) {
        self.links.remove_from(node);
        let member = self.nodes[node].member.clone();
        for from in 0..self.nodes.len() {
            let is_cut = self.cuts.is_cut_either_way(PathEnd::Node(from), PathEnd::Node(node));
            match self.links.get_mut(from, node) {
                Some(link) if link.is_up && !is_cut => link.is_up = false,
                _ => continue,
            }
            self.push_input(from, NodeInput::PeerDown { member: member.clone() });
        }
    }

    /// Passes the result of a call to the node that made it, unless the call already has a result
    /// or the node's process ended.
    pub(crate) fn finish_call(&mut self, origin: CallOrigin, input: NodeInput) {
        let process = &mut self.nodes[origin.node];
        if process.life == origin.life && process.pending.remove(&origin) {
            self.push_input(origin.node, input);
        }
    }

    /// Times out a call; a paused process notices it when it resumes.
    pub(crate) fn on_call_timeout(&mut self, origin: CallOrigin) {
        let process = &mut self.nodes[origin.node];
        if process.life != origin.life || !process.pending.contains(&origin) {
            return;
        }
        if process.is_paused {
            process.overdue.push(origin);
            return;
        }
        let input = self.response_lost_input(origin);
        self.finish_call(origin, input);
    }

    /// Returns the result of a call that got no response.
    pub(crate) fn response_lost_input(&self, origin: CallOrigin) -> NodeInput {
        let call = origin.call;
        match origin.kind {
            CallKind::Store => NodeInput::Store { call, result: Err(StoreError::Lost) },
            CallKind::Worker => NodeInput::Worker { call, result: Err(WorkerError::Lost) },
        }
    }
}
