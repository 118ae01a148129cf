//! Tracks the current incoming connection of each peer.
//!
//! Frames of a connection that its dialler has abandoned may still be in transit. They are
//! discarded: the dialler has reported them as lost and sends the requests again on the new
//! connection, so the old frames would arrive out of order.

use {
    damaskrack_model::MemberName,
    damaskrack_node::NodeInput,
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard, PoisonError},
    },
    tokio::sync::mpsc::Permit,
    tokio_util::sync::CancellationToken,
};

/// Permission of one connection to deliver messages of a peer.
#[derive(Debug, Clone)]
pub(crate) struct IncomingClaim {
    pub(crate) member: MemberName,
    serial: u64,
    /// Cancelled when a newer connection of the peer replaces this one.
    pub(crate) superseded: CancellationToken,
}

#[derive(Debug)]
struct IncomingEntry {
    boot: u64,
    generation: u64,
    received: u64,
    is_open: bool,
    claim: IncomingClaim,
}

#[derive(Debug, Default)]
struct IncomingEntries {
    next_serial: u64,
    discarded: u64,
    entries: BTreeMap<MemberName, IncomingEntry>,
}

/// The current incoming connection of each peer.
#[derive(Debug, Default)]
pub(crate) struct IncomingTable {
    entries: Mutex<IncomingEntries>,
}

impl IncomingTable {
    /// Makes a connection the peer's current one; `None` if a newer one of the same process is
    /// known.
    pub(crate) fn claim(
        &self,
        member: &MemberName,
        boot: u64,
        generation: u64,
    ) -> Option<IncomingClaim> {
        let mut table = self.lock_entries();
        if let Some(entry) = table.entries.get(member) {
            if entry.boot == boot && entry.generation >= generation {
                return None;
            }
            entry.claim.superseded.cancel();
        }
        table.next_serial += 1;
        let serial = table.next_serial;
        let superseded = CancellationToken::new();
        let claim = IncomingClaim { member: member.clone(), serial, superseded };
        let entry =
            IncomingEntry { boot, generation, received: 0, is_open: true, claim: claim.clone() };
        table.entries.insert(member.clone(), entry);
        Some(claim)
    }

    /// Delivers a message of a connection, unless a newer connection has replaced it. The lock is
    /// held while the message is queued, so that no message of an older connection can follow one
    /// of a newer connection.
    pub(crate) fn deliver(
        &self,
        claim: &IncomingClaim,
        permit: Permit<'_, NodeInput>,
        input: NodeInput,
    ) -> bool {
        let mut table = self.lock_entries();
        match table.entries.get_mut(&claim.member) {
            Some(entry) if entry.claim.serial == claim.serial => {
                entry.received += 1;
                permit.send(input);
                true
            }
            _ => {
                table.discarded += 1;
                false
            }
        }
    }

    /// Records that a connection has ended. Its entry is kept in order to refuse older connections.
    pub(crate) fn release(&self, claim: &IncomingClaim) {
        if let Some(entry) = self.lock_entries().entries.get_mut(&claim.member)
            && entry.claim.serial == claim.serial
        {
            entry.is_open = false;
        }
    }

    /// Returns the table as JSON for the state dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let table = self.lock_entries();
        let entry = |(member, entry): (&MemberName, &IncomingEntry)| {
            serde_json::json!({
                "member": member,
                "boot": entry.boot,
                "generation": entry.generation,
                "received": entry.received,
                "is_open": entry.is_open,
            })
        };
        let entries: Vec<_> = table.entries.iter().map(entry).collect();
        serde_json::json!({ "peers": entries, "discarded": table.discarded })
    }

    fn lock_entries(&self) -> MutexGuard<'_, IncomingEntries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
