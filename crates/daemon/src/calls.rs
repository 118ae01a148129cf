//! Requests that wait for their answer.
//!
//! A call number holds the entry's index and a serial number, so an answer that comes after its
//! caller has gone never reaches the next caller in the same index.

use {
    damaskrack_model::WorkAnswer,
    slab::Slab,
    tokio::sync::oneshot::{self, Receiver, Sender},
};

/// Bits of a call number that hold the index in the table.
const INDEX_BITS: u32 = 24;

/// An answer of the core.
#[derive(Debug)]
pub(crate) struct CallResponse {
    /// Manifest version, for an operator's request.
    pub(crate) version: u64,
    /// The whole answer.
    pub(crate) answer: WorkAnswer,
}

#[derive(Debug)]
struct CallEntry {
    serial: u64,
    reply: Sender<CallResponse>,
}

/// Requests that wait for their answer, up to a bound.
#[derive(Debug)]
pub(crate) struct CallTable {
    entries: Slab<CallEntry>,
    next_serial: u64,
    capacity: usize,
}

impl CallTable {
    /// Makes a table with room for `capacity` calls.
    pub(crate) fn new(capacity: usize) -> Self {
        let capacity = capacity.min(1 << INDEX_BITS);
        Self { entries: Slab::new(), next_serial: 1, capacity }
    }

    /// Adds a call and returns its number; `None` if the table is full.
    pub(crate) fn open(&mut self) -> Option<(u64, Receiver<CallResponse>)> {
        if self.entries.len() >= self.capacity {
            return None;
        }
        let (reply, receiver) = oneshot::channel();
        let serial = self.next_serial;
        self.next_serial += 1;
        let index = self.entries.insert(CallEntry { serial, reply });
        Some((serial << INDEX_BITS | index as u64, receiver))
    }

    /// Removes a call and returns where its answer goes; `None` if it is gone already.
    pub(crate) fn close(&mut self, number: u64) -> Option<Sender<CallResponse>> {
        let index = usize::try_from(number & ((1 << INDEX_BITS) - 1)).ok()?;
        let is_same =
            self.entries.get(index).is_some_and(|entry| entry.serial == number >> INDEX_BITS);
        is_same.then(|| self.entries.remove(index).reply)
    }

    /// Returns the number of calls.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}
