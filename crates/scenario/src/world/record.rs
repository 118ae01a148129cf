//! Events that the simulated world records for the observers during a run.

use {
    crate::observe::{SeenDisturbance, SeenLeaving, SeenLoss, SeenShutdown, SeenVersion},
    damaskrack_wire::PeerMessage,
    std::collections::{BTreeMap, BTreeSet},
};

/// Events and counters that the stand-ins' own tables don't hold.
#[derive(Debug, Default)]
pub(crate) struct WorldRecord {
    pub(crate) versions: Vec<SeenVersion>,
    pub(crate) disturbances: Vec<SeenDisturbance>,
    pub(crate) leavings: Vec<SeenLeaving>,
    /// End of the latest host list outage, in milliseconds.
    pub(crate) hosts_out_until_ms: u64,
    pub(crate) shutdowns: Vec<SeenShutdown>,
    pub(crate) losses: Vec<SeenLoss>,
    pub(crate) stray_answers: Vec<u64>,
    /// Calls that their callers abandoned. A response sent before the node learns of it is not
    /// stray.
    pub(crate) abandoned: BTreeSet<u64>,
    /// Times during which a node had no process, from its end to the next start.
    pub(crate) downs: Vec<SeenDisturbance>,
    /// Node, life and start time of each process.
    pub(crate) lives: Vec<(usize, u64, u64)>,
    /// Acceptance time of each accepted manifest version, in milliseconds.
    pub(crate) accepted: BTreeMap<u64, u64>,
    pub(crate) faults: u64,
    pub(crate) refused_full: u64,
    pub(crate) refused_stale: u64,
    pub(crate) refused_expired: u64,
    pub(crate) messages: u64,
    pub(crate) caller_messages: u64,
}

impl WorldRecord {
    /// Counts a message between nodes, separately for those that serve callers.
    pub(crate) fn count_message(&mut self, message: &PeerMessage) {
        let is_for_caller = matches!(
            message,
            PeerMessage::Submit { .. }
                | PeerMessage::JobQuery { .. }
                | PeerMessage::JobCancel { .. }
                | PeerMessage::NotOwner { .. }
                | PeerMessage::Answer { .. }
                | PeerMessage::AnswerAck { .. }
        );
        if is_for_caller {
            self.caller_messages += 1;
        } else {
            self.messages += 1;
        }
    }

    /// Records a response to a call that no caller waits for, unless the call was abandoned.
    pub(crate) fn record_stray(&mut self, call: u64) {
        if !self.abandoned.remove(&call) {
            self.stray_answers.push(call);
        }
    }

    /// Records the end of a node's process.
    pub(crate) fn note_down(&mut self, node: usize, from_ms: u64) {
        self.downs.push(SeenDisturbance { node: Some(node), from_ms, until_ms: u64::MAX });
    }

    /// Records the start of a node's process.
    pub(crate) fn note_up(&mut self, node: usize, at_ms: u64) {
        for down in self.downs.iter_mut().filter(|down| down.node == Some(node)) {
            down.until_ms = down.until_ms.min(at_ms);
        }
    }
}
