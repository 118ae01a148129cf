//! Tells all followers of a daemon that the store responds again.

use tokio::sync::watch;

/// Announces that the store responds again after a call had no response.
///
/// A connection on which a response was lost may stay open without ever delivering another, so a watch
/// that waits there would find out only when its time is over. One follower that has a response is
/// enough for all to repeat their calls.
#[derive(Debug)]
pub(crate) struct RegainSignal {
    sender: watch::Sender<u64>,
}

/// Receives the announcements of a [`RegainSignal`].
#[derive(Debug)]
pub(crate) struct RegainReceiver {
    receiver: watch::Receiver<u64>,
}

impl Default for RegainSignal {
    fn default() -> Self {
        Self { sender: watch::Sender::new(0) }
    }
}

impl RegainSignal {
    pub(crate) fn announce(&self) {
        self.sender.send_modify(|count| *count += 1);
    }

    pub(crate) fn subscribe(&self) -> RegainReceiver {
        RegainReceiver { receiver: self.sender.subscribe() }
    }
}

impl RegainReceiver {
    /// Waits for the next announcement.
    pub(crate) async fn wait(&mut self) {
        if self.receiver.changed().await.is_err() {
            // The signal is gone, and with it every follower that could announce.
            std::future::pending::<()>().await;
        }
    }

    /// Ignores the announcements so far.
    pub(crate) fn ignore_past(&mut self) {
        self.receiver.mark_unchanged();
    }
}
