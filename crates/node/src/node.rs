//! The node: tables and the tick.

use {
    crate::{NodeAction, NodeConfig, NodeInput},
    damaskrack_model::ClockTime,
};

/// One daemon's tables.
#[derive(Debug)]
pub struct SchedulerNode {
    config: NodeConfig,
}

impl SchedulerNode {
    /// Makes a node that knows nothing yet. Its first ticks register it in the store.
    #[must_use]
    pub fn new(config: NodeConfig) -> Self {
        Self { config }
    }

    /// Takes what has arrived, in order, and returns what to do, in order.
    ///
    /// The driver calls it whenever something has arrived and at least every 50 ms.
    pub fn tick(&mut self, now: ClockTime, inputs: Vec<NodeInput>) -> Vec<NodeAction> {
        let _ = (now, inputs);
        Vec::new()
    }

    /// Tells whether this daemon should get callers' requests.
    ///
    /// It does not depend on the store: a store outage must not take every daemon out at once.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        false
    }

    /// Returns every table, as JSON for a person.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({ "member": self.config.member })
    }
}
