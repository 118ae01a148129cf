//! Transfer of the leadership to another daemon.
//!
//! A leader that shuts down asks another daemon to take over and keeps leading until it does. A
//! vacancy would last until the other daemons have learned of it and one has won the election,
//! which takes several calls to the store, and no task could start meanwhile.
//!
//! Hosts may differ widely in capacity. A leader on a weak host reads the state slowly and falls
//! behind under load, so it asks a daemon with much more capacity to take over. A small difference
//! does not justify a transfer.

use {
    crate::{
        frame::{HelloFrame, LeaderBody},
        rows::{KnownLeader, LeaderRow},
        session_registry::SessionRegistry,
    },
    slog::{Logger, info},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Ratio of capacities from which the leader asks another daemon to take over.
const MIN_CAPACITY_RATIO: u32 = 2;
/// Number of transfer requests that a leader sends before it shuts down without a successor.
const TRANSFER_ATTEMPTS: u32 = 2;
/// Time for daemons to connect before the leader first compares capacities, in milliseconds.
const CONNECT_DELAY_MS: u64 = 500;
/// Interval between two comparisons of capacities, in milliseconds.
const CAPACITY_CHECK_MS: u64 = 1_000;

/// Events that end a leader's term.
#[derive(Clone)]
pub(crate) struct LeadershipSignals {
    /// The leader according to the store.
    pub(crate) leader: watch::Receiver<Option<KnownLeader>>,
    /// Whether the daemon is shutting down.
    pub(crate) stop: watch::Receiver<bool>,
    /// Longest time for which a daemon that shuts down keeps leading until another one takes over.
    pub(crate) transfer_timeout: Duration,
}

impl LeadershipSignals {
    /// Waits until a later term has begun, or until the daemon is shutting down and has tried to
    /// transfer the leadership.
    pub(crate) async fn wait_for_end(
        &mut self,
        leader: &LeaderRow,
        registry: &SessionRegistry,
        logger: &Logger,
    ) {
        let term = leader.term;
        // Either channel closes only when the daemon ends.
        tokio::select! {
            () = wait_for_later_term(&mut self.leader, term) => return,
            _ = self.stop.wait_for(|stop| *stop) => {}
        }
        for _ in 0..TRANSFER_ATTEMPTS {
            let mut others = registry.daemons();
            others.retain(|hello| hello.daemon != leader.id && !hello.is_leaving);
            let Some(chosen) = choose_highest_capacity(&others) else { return };
            info!(logger, "handing_over"; "term" => term, "to" => chosen);
            registry.send_to_daemon(chosen, &LeaderBody::TransferLeadership(term));
            let attempt_timeout = self.transfer_timeout / TRANSFER_ATTEMPTS;
            if timeout(attempt_timeout, wait_for_later_term(&mut self.leader, term)).await.is_ok() {
                return;
            }
        }
    }
}

/// Waits until a later term has begun.
async fn wait_for_later_term(leader: &mut watch::Receiver<Option<KnownLeader>>, term: u64) {
    let later =
        |known: &Option<KnownLeader>| known.as_ref().is_some_and(|known| known.row.term > term);
    // The channel closes only when the daemon ends.
    let _ = leader.wait_for(later).await;
}

/// Asks a daemon with much more capacity to take over, whenever there is one.
pub(crate) async fn transfer_to_higher_capacity(
    registry: Arc<SessionRegistry>,
    term: u64,
    leader_capacity: u32,
    logger: Logger,
) {
    sleep(Duration::from_millis(CONNECT_DELAY_MS)).await;
    loop {
        let mut candidates = registry.daemons();
        candidates.retain(|hello| {
            !hello.is_leaving
                && hello.leader_capacity >= leader_capacity.saturating_mul(MIN_CAPACITY_RATIO)
        });
        if let Some(chosen) = choose_highest_capacity(&candidates) {
            info!(logger, "resigning_to_stronger"; "term" => term, "to" => chosen);
            registry.send_to_daemon(chosen, &LeaderBody::TransferLeadership(term));
        }
        sleep(Duration::from_millis(CAPACITY_CHECK_MS)).await;
    }
}

/// Chooses at random among the daemons with the highest capacity.
pub(crate) fn choose_highest_capacity(daemons: &[HelloFrame]) -> Option<u64> {
    let highest = daemons.iter().map(|hello| hello.leader_capacity).max()?;
    let candidates: Vec<&HelloFrame> =
        daemons.iter().filter(|hello| hello.leader_capacity == highest).collect();
    Some(candidates[rand::random_range(0..candidates.len())].daemon)
}
