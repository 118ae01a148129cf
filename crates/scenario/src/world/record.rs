//! Notes that the world takes for the observers while it runs.

use {
    crate::observe::{SeenDisturbance, SeenLeaving, SeenLoss, SeenShutdown, SeenVersion},
    damaskrack_wire::PeerMessage,
    std::collections::{BTreeMap, BTreeSet},
};

/// Everything noted outside the stand-ins' own tables.
#[derive(Debug, Default)]
pub(crate) struct WorldRecord {
    pub(crate) versions: Vec<SeenVersion>,
    pub(crate) disturbances: Vec<SeenDisturbance>,
    pub(crate) leavings: Vec<SeenLeaving>,
    /// Until when the host list cannot be read, in milliseconds.
    pub(crate) hosts_out_until_ms: u64,
    pub(crate) shutdowns: Vec<SeenShutdown>,
    pub(crate) losses: Vec<SeenLoss>,
    pub(crate) stray_answers: Vec<u64>,
    /// Calls that their caller gave up; an answer that crosses the news of it is no fault.
    pub(crate) abandoned: BTreeSet<u64>,
    /// Nodes without a process, from the end of one until the start of the next.
    pub(crate) downs: Vec<SeenDisturbance>,
    pub(crate) lives: Vec<(usize, u64, u64)>,
    /// Version and time of acceptance.
    pub(crate) accepted: BTreeMap<u64, u64>,
    pub(crate) faults: u64,
    pub(crate) refused_full: u64,
    pub(crate) refused_stale: u64,
    pub(crate) refused_expired: u64,
    pub(crate) messages: u64,
    pub(crate) caller_messages: u64,
}

impl WorldRecord {
    /// Counts a message between nodes.
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

    /// Notes an answer to a call that nobody waits for.
    pub(crate) fn note_stray(&mut self, call: u64) {
        if !self.abandoned.remove(&call) {
            self.stray_answers.push(call);
        }
    }

    /// Notes the end of a node's process.
    pub(crate) fn note_down(&mut self, node: usize, from_ms: u64) {
        self.downs.push(SeenDisturbance { node: Some(node), from_ms, until_ms: u64::MAX });
    }

    /// Notes the start of a node's process.
    pub(crate) fn note_up(&mut self, node: usize, at_ms: u64) {
        for down in self.downs.iter_mut().filter(|down| down.node == Some(node)) {
            down.until_ms = down.until_ms.min(at_ms);
        }
    }
}
