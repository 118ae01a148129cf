//! A daemon's requests that wait for the leader's response.
//!
//! A request may end without a response: it times out, its connection ends, or its caller goes away. In each
//! case its entry goes with it.

use {
    crate::frame::LeaderBody,
    rustc_hash::FxHashMap,
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::oneshot, time::timeout},
};

#[derive(Debug, Default)]
struct TableState {
    last_number: u64,
    waiting: FxHashMap<u64, oneshot::Sender<LeaderBody>>,
}

/// The requests in flight, by number.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    state: Mutex<TableState>,
}

/// A request in flight, whose entry in the table lasts as long as this.
#[derive(Debug)]
pub(crate) struct PendingCall<'a> {
    table: &'a CallTable,
    number: u64,
    receiver: oneshot::Receiver<LeaderBody>,
}

impl CallTable {
    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request.
    pub(crate) fn add(&self) -> PendingCall<'_> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        state.last_number += 1;
        let number = state.last_number;
        state.waiting.insert(number, sender);
        PendingCall { table: self, number, receiver }
    }

    /// Passes a response to the request with a number, if that still waits.
    pub(crate) fn respond(&self, number: u64, body: LeaderBody) {
        if let Some(waiting) = self.lock().waiting.remove(&number) {
            // Fails if the request has just timed out.
            let _ = waiting.send(body);
        }
    }

    /// Ends all requests without a response.
    pub(crate) fn clear(&self) {
        self.lock().waiting.clear();
    }
}

impl PendingCall<'_> {
    /// Returns the number that the response repeats.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Waits up to `timeout_ms` milliseconds for the response; `None` if there is none.
    pub(crate) async fn wait(mut self, timeout_ms: u64) -> Option<LeaderBody> {
        timeout(Duration::from_millis(timeout_ms), &mut self.receiver).await.ok()?.ok()
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.table.lock().waiting.remove(&self.number);
    }
}

#[cfg(test)]
mod tests;
