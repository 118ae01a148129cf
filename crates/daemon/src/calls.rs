//! Requests that wait for their response.
//!
//! A call number consists of the entry's index and a serial number, so that a late response to a
//! caller that has disconnected never reaches the next caller at the same index.

use {
    damaskrack_model::WorkAnswer,
    slab::Slab,
    tokio::sync::oneshot::{self, Receiver, Sender},
};

/// Low bits of a call number, which hold the index in the table.
const INDEX_BITS: u32 = 24;

/// A response of the core.
#[derive(Debug)]
pub(crate) struct CallResponse {
    /// Manifest version, for an operator's request.
    pub(crate) version: u64,
    /// Outcome, reason and detail.
    pub(crate) answer: WorkAnswer,
}

#[derive(Debug)]
struct CallEntry {
    serial: u64,
    sender: Sender<CallResponse>,
}

/// Requests that wait for their response, up to a maximum number.
#[derive(Debug)]
pub(crate) struct CallTable {
    entries: Slab<CallEntry>,
    next_serial: u64,
    capacity: usize,
}

impl CallTable {
    /// Creates a table that holds up to `capacity` calls.
    pub(crate) fn new(capacity: usize) -> Self {
        let capacity = capacity.min(1 << INDEX_BITS);
        Self { entries: Slab::new(), next_serial: 1, capacity }
    }

    /// Adds a call and returns its number; `None` if the table is full.
    pub(crate) fn open(&mut self) -> Option<(u64, Receiver<CallResponse>)> {
        if self.entries.len() >= self.capacity {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        let serial = self.next_serial;
        self.next_serial += 1;
        let index = self.entries.insert(CallEntry { serial, sender });
        Some((serial << INDEX_BITS | index as u64, receiver))
    }

    /// Removes a call and returns the sender of its response; `None` if it was removed before.
    pub(crate) fn close(&mut self, number: u64) -> Option<Sender<CallResponse>> {
        let index = usize::try_from(number & ((1 << INDEX_BITS) - 1)).ok()?;
        let is_same =
            self.entries.get(index).is_some_and(|entry| entry.serial == number >> INDEX_BITS);
        is_same.then(|| self.entries.remove(index).sender)
    }

    /// Returns the number of calls.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}
