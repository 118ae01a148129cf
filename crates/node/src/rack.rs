//! The rack owner role: placeholder until the role's modules land.

use {
    crate::{NodeConfig, buffer::ActionBuffer, view::ClusterView},
    damaskrack_model::{Epoch, MemberName, RackName},
    damaskrack_platform::{WorkerFailure, WorkerReply},
    damaskrack_wire::{PeerMessage, RackSummary},
};

/// Tables of every rack that this daemon owns.
#[derive(Debug, Default)]
pub(crate) struct RackRole {}

impl RackRole {
    /// Takes a rack under a new epoch and starts its rebuild.
    ///
    /// Team fences start at the epochs of the ownership records in `view`, which the caller has
    /// read after the rack's own record was written.
    pub(crate) fn take(&mut self, _rack: &RackName, _epoch: Epoch, _view: &ClusterView) {}

    /// Stops taking work for a rack that is about to be released.
    pub(crate) fn freeze(&mut self, _rack: &RackName) {}

    /// Takes work again for a rack whose release did not happen.
    pub(crate) fn thaw(&mut self, _rack: &RackName) {}

    /// Tells whether a frozen rack has no start on the way, so that it can be released.
    pub(crate) fn is_settled(&self, _rack: &RackName) -> bool {
        true
    }

    /// Forgets a rack that this daemon no longer owns.
    pub(crate) fn forget(&mut self, _rack: &RackName) {}

    /// Handles a message that concerns racks: `Place`, `Commit`, `Release`, `StopAttempts`,
    /// `Inquire`, `EndedAck`, `RollCall`.
    pub(crate) fn on_message(
        &mut self,
        _from: &MemberName,
        _message: PeerMessage,
        _view: &ClusterView,
        _out: &mut ActionBuffer,
    ) {
    }

    /// Handles the end of a worker call.
    pub(crate) fn on_worker(
        &mut self,
        _call: u64,
        _result: Result<WorkerReply, WorkerFailure>,
        _view: &ClusterView,
        _out: &mut ActionBuffer,
    ) {
    }

    /// Runs the role's systems.
    pub(crate) fn tick(
        &mut self,
        _config: &NodeConfig,
        _view: &ClusterView,
        _out: &mut ActionBuffer,
    ) {
    }

    /// Returns the summary of every owned rack.
    pub(crate) fn summaries(&self, _view: &ClusterView) -> Vec<RackSummary> {
        Vec::new()
    }

    /// Returns the role's tables, as JSON for a person.
    pub(crate) fn dump(&self) -> serde_json::Value {
        serde_json::Value::Null
    }
}
