//! Buffer for the actions that a tick requests.

use {
    crate::{LogField, LogLevel, LogLine, NodeAction},
    damaskrack_model::MemberName,
    damaskrack_outside::{StoreCall, WorkerCall},
    damaskrack_wire::PeerMessage,
    rand::{RngCore, SeedableRng, rngs::SmallRng},
    std::{collections::VecDeque, net::SocketAddr},
};

/// Collects actions, numbers calls and generates random numbers from the node's seed.
///
/// A message to this daemon itself is delivered within the same tick, so a component does not need
/// to know whether its counterpart runs in the same process.
#[derive(Debug)]
pub(crate) struct ActionBuffer {
    me: MemberName,
    rng: SmallRng,
    next_call: u64,
    actions: Vec<NodeAction>,
    loopback: VecDeque<PeerMessage>,
}

impl ActionBuffer {
    pub(crate) fn new(me: MemberName, seed: u64) -> Self {
        Self {
            me,
            rng: SmallRng::seed_from_u64(seed),
            next_call: 1,
            actions: Vec::new(),
            loopback: VecDeque::new(),
        }
    }

    /// Adds an action.
    pub(crate) fn push(&mut self, action: NodeAction) {
        self.actions.push(action);
    }

    /// Sends a message to a member, which may be this daemon.
    pub(crate) fn send(&mut self, member: &MemberName, message: PeerMessage) {
        if *member == self.me {
            self.loopback.push_back(message);
        } else {
            self.actions.push(NodeAction::Peer { member: member.clone(), message });
        }
    }

    /// Starts a store call and returns its number.
    pub(crate) fn store(&mut self, request: StoreCall, timeout_ms: u64) -> u64 {
        let call = self.next_call_number();
        self.actions.push(NodeAction::Store { call, request, timeout_ms });
        call
    }

    /// Starts a worker call and returns its number.
    pub(crate) fn worker(
        &mut self,
        address: SocketAddr,
        request: WorkerCall,
        timeout_ms: u64,
    ) -> u64 {
        let call = self.next_call_number();
        self.actions.push(NodeAction::Worker { call, address, request, timeout_ms });
        call
    }

    /// Writes a log line.
    pub(crate) fn log(
        &mut self,
        level: LogLevel,
        event: &'static str,
        fields: &[(&'static str, &dyn std::fmt::Display)],
    ) {
        let fields = fields
            .iter()
            .map(|(name, value)| LogField { name, value: value.to_string() })
            .collect();
        self.actions.push(NodeAction::Log(LogLine { level, event, fields }));
    }

    /// Adds to a counter.
    pub(crate) fn count(&mut self, metric: &'static str, amount: u64) {
        self.actions.push(NodeAction::Count { metric, amount });
    }

    /// Records a duration.
    pub(crate) fn timing(&mut self, metric: &'static str, millis: u64) {
        self.actions.push(NodeAction::Timing { metric, millis });
    }

    /// Sets a gauge.
    pub(crate) fn gauge(&mut self, metric: &'static str, value: u64) {
        self.actions.push(NodeAction::Gauge { metric, value });
    }

    /// Returns the next random number.
    pub(crate) fn draw(&mut self) -> u64 {
        self.rng.next_u64()
    }

    /// Returns the next call number. Numbers are unique across store, worker and peer calls.
    pub(crate) fn next_call_number(&mut self) -> u64 {
        let number = self.next_call;
        self.next_call += 1;
        number
    }

    /// Removes the next message to this daemon itself.
    pub(crate) fn pop_loopback(&mut self) -> Option<PeerMessage> {
        self.loopback.pop_front()
    }

    /// Removes and returns all actions.
    pub(crate) fn take_actions(&mut self) -> Vec<NodeAction> {
        std::mem::take(&mut self.actions)
    }
}
