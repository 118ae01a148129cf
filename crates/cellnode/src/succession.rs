//! When a leader's time is over, and who leads next.
//!
//! Hosts may be of very unlike strength. A weak one reads the state slowly and falls behind under
//! load, so a leader gives way to a much stronger daemon; a little difference is not worth a change.

use {
    crate::{
        frame::{HelloFrame, LeaderBody},
        hub::SessionHub,
        rows::KnownLeader,
    },
    slog::{Logger, info},
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// How many times as strong another daemon's host must be for the leader to ask it to take over.
const STRONGER_FACTOR: u32 = 2;
/// Time for daemons to connect before the leader looks for a stronger one, in milliseconds.
const SETTLE_MS: u64 = 500;
/// Time between two looks for a stronger one, in milliseconds.
const STRENGTH_CHECK_MS: u64 = 1_000;

/// What tells a leader that its time is over.
pub(crate) struct LeadSigns {
    /// Who leads, as the store says.
    pub(crate) leader: watch::Receiver<Option<KnownLeader>>,
    /// The daemon is to leave.
    pub(crate) stop: watch::Receiver<bool>,
}

impl LeadSigns {
    /// Waits until the daemon is to leave or a later term has begun.
    pub(crate) async fn end(&mut self, term: u64) {
        let later =
            |known: &Option<KnownLeader>| known.as_ref().is_some_and(|known| known.row.term > term);
        // Either channel closes only when the daemon ends.
        tokio::select! {
            _ = self.leader.wait_for(later) => {}
            _ = self.stop.wait_for(|stop| *stop) => {}
        }
    }
}

/// Asks a much stronger daemon to take over, if there is one. A weak host reads the state slowly and
/// falls behind under load.
pub(crate) async fn prefer_stronger(
    hub: Arc<SessionHub>,
    term: u64,
    strength: u32,
    logger: Logger,
) {
    sleep(Duration::from_millis(SETTLE_MS)).await;
    loop {
        let mut stronger = hub.daemons();
        stronger.retain(|hello| hello.strength >= strength.saturating_mul(STRONGER_FACTOR));
        if let Some(chosen) = choose_strong(&stronger) {
            info!(logger, "resigning_to_stronger"; "term" => term, "to" => chosen);
            hub.send_to_daemon(chosen, &LeaderBody::Resign(term));
        }
        sleep(Duration::from_millis(STRENGTH_CHECK_MS)).await;
    }
}

/// Chooses one of the strongest daemons.
pub(crate) fn choose_strong(daemons: &[HelloFrame]) -> Option<u64> {
    let most = daemons.iter().map(|hello| hello.strength).max()?;
    let strong: Vec<&HelloFrame> = daemons.iter().filter(|hello| hello.strength == most).collect();
    Some(strong[rand::random_range(0..strong.len())].daemon)
}
