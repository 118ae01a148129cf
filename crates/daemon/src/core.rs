//! The interface to the scheduler core.

use {
    damaskrack_model::ClockTime,
    damaskrack_node::{NodeAction, NodeInput, SchedulerNode},
};

/// A scheduler core as the driver uses it. Tests supply a scripted one.
pub trait NodeCore: Send {
    /// Processes the inputs in order and returns the actions to carry out, in order.
    fn tick(&mut self, now: ClockTime, inputs: Vec<NodeInput>) -> Vec<NodeAction>;

    /// Tells whether the daemon should receive callers' requests. Must not depend on the store.
    fn is_ready(&self) -> bool;

    /// Returns the core's state as JSON for the state dump, without secrets.
    fn dump(&self) -> serde_json::Value;
}

impl NodeCore for SchedulerNode {
    fn tick(&mut self, now: ClockTime, inputs: Vec<NodeInput>) -> Vec<NodeAction> {
        Self::tick(self, now, inputs)
    }

    fn is_ready(&self) -> bool {
        Self::is_ready(self)
    }

    fn dump(&self) -> serde_json::Value {
        Self::dump(self)
    }
}
