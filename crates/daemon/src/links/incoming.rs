//! Which incoming connection of each peer counts.
//!
//! A connection that was given up by its dialler may still hold frames in the network. They are
//! discarded: the dialler has reported them as lost and asks again on the new connection, so
//! they would arrive out of order.

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

/// The right to deliver messages of a peer.
#[derive(Debug, Clone)]
pub(crate) struct IncomingClaim {
    pub(crate) member: MemberName,
    serial: u64,
    /// Cancelled when a newer connection of the peer takes over.
    pub(crate) superseded: CancellationToken,
}

#[derive(Debug)]
struct IncomingRow {
    boot: u64,
    generation: u64,
    received: u64,
    is_open: bool,
    claim: IncomingClaim,
}

#[derive(Debug, Default)]
struct IncomingRows {
    next_serial: u64,
    discarded: u64,
    rows: BTreeMap<MemberName, IncomingRow>,
}

/// The newest incoming connection of each peer.
#[derive(Debug, Default)]
pub(crate) struct IncomingTable {
    rows: Mutex<IncomingRows>,
}

impl IncomingTable {
    /// Makes a connection the one that counts; `None` if a newer one of the same process is
    /// known.
    pub(crate) fn claim(
        &self,
        member: &MemberName,
        boot: u64,
        generation: u64,
    ) -> Option<IncomingClaim> {
        let mut table = self.lock_rows();
        if let Some(row) = table.rows.get(member) {
            if row.boot == boot && row.generation >= generation {
                return None;
            }
            row.claim.superseded.cancel();
        }
        table.next_serial += 1;
        let serial = table.next_serial;
        let superseded = CancellationToken::new();
        let claim = IncomingClaim { member: member.clone(), serial, superseded };
        let row =
            IncomingRow { boot, generation, received: 0, is_open: true, claim: claim.clone() };
        table.rows.insert(member.clone(), row);
        Some(claim)
    }

    /// Delivers a message of a connection, unless a newer connection has taken over. The lock is
    /// held while the message is queued, so none of an older connection can follow one of a
    /// newer.
    pub(crate) fn deliver(
        &self,
        claim: &IncomingClaim,
        permit: Permit<'_, NodeInput>,
        input: NodeInput,
    ) -> bool {
        let mut table = self.lock_rows();
        match table.rows.get_mut(&claim.member) {
            Some(row) if row.claim.serial == claim.serial => {
                row.received += 1;
                permit.send(input);
                true
            }
            _ => {
                table.discarded += 1;
                false
            }
        }
    }

    /// Records that a connection has ended. Its row stays, as it refuses older connections.
    pub(crate) fn release(&self, claim: &IncomingClaim) {
        if let Some(row) = self.lock_rows().rows.get_mut(&claim.member)
            && row.claim.serial == claim.serial
        {
            row.is_open = false;
        }
    }

    /// Returns the table, as JSON for a person.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let table = self.lock_rows();
        let row = |(member, row): (&MemberName, &IncomingRow)| {
            serde_json::json!({
                "member": member,
                "boot": row.boot,
                "generation": row.generation,
                "received": row.received,
                "is_open": row.is_open,
            })
        };
        let rows: Vec<_> = table.rows.iter().map(row).collect();
        serde_json::json!({ "peers": rows, "discarded": table.discarded })
    }

    fn lock_rows(&self) -> MutexGuard<'_, IncomingRows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
