//! The border to the scheduler core.

use {
    damaskrack_model::ClockTime,
    damaskrack_node::{NodeAction, NodeInput, SchedulerNode},
};

/// What the driver needs of a core. Tests put a scripted one in its place.
pub trait NodeCore: Send {
    /// Takes what has arrived, in order, and returns what to do, in order.
    fn tick(&mut self, now: ClockTime, inputs: Vec<NodeInput>) -> Vec<NodeAction>;

    /// Tells whether the daemon should get callers' requests. Must not depend on the store.
    fn is_ready(&self) -> bool;

    /// Returns every table, as JSON for a person, without secrets.
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
