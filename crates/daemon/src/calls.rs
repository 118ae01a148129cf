//! Requests that wait for their answer.
//!
//! A call number holds the row's place and a serial number, so an answer that comes after its
//! caller has gone never reaches the next caller in the same place.

use {
    damaskrack_model::WorkAnswer,
    slab::Slab,
    tokio::sync::oneshot::{self, Receiver, Sender},
};

/// Bits of a call number that hold the place in the table.
const PLACE_BITS: u32 = 24;

/// An answer of the core.
#[derive(Debug)]
pub(crate) struct CallReply {
    /// Manifest version, for an operator's request.
    pub(crate) version: u64,
    /// The whole answer.
    pub(crate) answer: WorkAnswer,
}

#[derive(Debug)]
struct CallRow {
    serial: u64,
    reply: Sender<CallReply>,
}

/// Requests that wait for their answer, up to a bound.
#[derive(Debug)]
pub(crate) struct CallTable {
    rows: Slab<CallRow>,
    next_serial: u64,
    capacity: usize,
}

impl CallTable {
    /// Makes a table with room for `capacity` calls.
    pub(crate) fn new(capacity: usize) -> Self {
        let capacity = capacity.min(1 << PLACE_BITS);
        Self { rows: Slab::new(), next_serial: 1, capacity }
    }

    /// Adds a call and returns its number; `None` if the table is full.
    pub(crate) fn open(&mut self) -> Option<(u64, Receiver<CallReply>)> {
        if self.rows.len() >= self.capacity {
            return None;
        }
        let (reply, receiver) = oneshot::channel();
        let serial = self.next_serial;
        self.next_serial += 1;
        let place = self.rows.insert(CallRow { serial, reply });
        Some((serial << PLACE_BITS | place as u64, receiver))
    }

    /// Removes a call and returns where its answer goes; `None` if it is gone already.
    pub(crate) fn close(&mut self, number: u64) -> Option<Sender<CallReply>> {
        let place = usize::try_from(number & ((1 << PLACE_BITS) - 1)).ok()?;
        let is_same = self.rows.get(place).is_some_and(|row| row.serial == number >> PLACE_BITS);
        is_same.then(|| self.rows.remove(place).reply)
    }

    /// Returns the number of calls.
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }
}
