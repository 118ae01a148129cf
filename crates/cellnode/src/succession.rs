//! When a leader's time is over, and who leads next.
//!
//! A leader that is to leave asks another daemon to take over and goes on leading until it does. A
//! vacancy would last until all have learned of it and one has won, several calls to the store, and
//! nothing starts meanwhile.
//!
//! Hosts may be of very unlike leader_capacity. A weak one reads the state slowly and falls behind under
//! load, so a leader gives way to a much stronger daemon; a little difference is not worth a change.

use {
    crate::{
        frame::{HelloFrame, LeaderBody},
        hub::SessionHub,
        rows::{KnownLeader, LeaderRow},
    },
    slog::{Logger, info},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// How many times as strong another daemon's host must be for the leader to ask it to take over.
const STRONGER_FACTOR: u32 = 2;
/// How many daemons a leader that is to leave asks to take over before it leaves a vacancy.
const HAND_OVER_TRIES: u32 = 2;
/// Time for daemons to connect before the leader looks for a stronger one, in milliseconds.
const SETTLE_MS: u64 = 500;
/// Time between two looks for a stronger one, in milliseconds.
const STRENGTH_CHECK_MS: u64 = 1_000;

/// What tells a leader that its time is over.
#[derive(Clone)]
pub(crate) struct LeadSigns {
    /// Who leads, as the store says.
    pub(crate) leader: watch::Receiver<Option<KnownLeader>>,
    /// The daemon is to leave.
    pub(crate) stop: watch::Receiver<bool>,
    /// Longest time for which it then goes on leading until another one does.
    pub(crate) hand_over: Duration,
}

impl LeadSigns {
    /// Waits until a later term has begun, or the daemon is to leave and has tried to hand over.
    pub(crate) async fn end(&mut self, leader: &LeaderRow, hub: &SessionHub, logger: &Logger) {
        let term = leader.term;
        // Either channel closes only when the daemon ends.
        tokio::select! {
            () = succeeded(&mut self.leader, term) => return,
            _ = self.stop.wait_for(|stop| *stop) => {}
        }
        for _ in 0..HAND_OVER_TRIES {
            let mut others = hub.daemons();
            others.retain(|hello| hello.daemon != leader.id);
            let Some(chosen) = choose_strong(&others) else { return };
            info!(logger, "handing_over"; "term" => term, "to" => chosen);
            hub.send_to_daemon(chosen, &LeaderBody::Resign(term));
            let limit = self.hand_over / HAND_OVER_TRIES;
            if timeout(limit, succeeded(&mut self.leader, term)).await.is_ok() {
                return;
            }
        }
    }
}

/// Waits until a later term has begun.
async fn succeeded(leader: &mut watch::Receiver<Option<KnownLeader>>, term: u64) {
    let later =
        |known: &Option<KnownLeader>| known.as_ref().is_some_and(|known| known.row.term > term);
    // The channel closes only when the daemon ends.
    let _ = leader.wait_for(later).await;
}

/// Asks a much stronger daemon to take over, if there is one. A weak host reads the state slowly and
/// falls behind under load.
pub(crate) async fn prefer_stronger(
    hub: Arc<SessionHub>,
    term: u64,
    leader_capacity: u32,
    logger: Logger,
) {
    sleep(Duration::from_millis(SETTLE_MS)).await;
    loop {
        let mut stronger = hub.daemons();
        stronger.retain(|hello| {
            hello.leader_capacity >= leader_capacity.saturating_mul(STRONGER_FACTOR)
        });
        if let Some(chosen) = choose_strong(&stronger) {
            info!(logger, "resigning_to_stronger"; "term" => term, "to" => chosen);
            hub.send_to_daemon(chosen, &LeaderBody::Resign(term));
        }
        sleep(Duration::from_millis(STRENGTH_CHECK_MS)).await;
    }
}

/// Chooses one of the strongest daemons.
pub(crate) fn choose_strong(daemons: &[HelloFrame]) -> Option<u64> {
    let most = daemons.iter().map(|hello| hello.leader_capacity).max()?;
    let strong: Vec<&HelloFrame> =
        daemons.iter().filter(|hello| hello.leader_capacity == most).collect();
    Some(strong[rand::random_range(0..strong.len())].daemon)
}
