//! Keeps the lease that the leader's row hangs on.

use {
    crate::{CellStore, StoreError, boot_ms, leader::LEASE_TTL_MS, proof::LeadProof},
    slog::{Logger, info, warn},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// Time between two renewals of the lease, in milliseconds.
const KEEP_INTERVAL_MS: u64 = 350;
/// Longest time for a renewal of the lease, in milliseconds.
const KEEP_LIMIT_MS: u64 = 600;

/// Keeps the leader's lease.
pub(crate) struct LeaseKeeper {
    pub(crate) store: Arc<dyn CellStore>,
    pub(crate) proof: Arc<LeadProof>,
    pub(crate) logger: Logger,
}

impl LeaseKeeper {
    /// Renews the lease until the task is dropped, and asks for the leader's row to be written anew
    /// once it has ended.
    pub(crate) async fn run(self, mut lease: u64, renewals: mpsc::Sender<u64>) {
        loop {
            sleep(Duration::from_millis(KEEP_INTERVAL_MS)).await;
            let asked_ms = boot_ms();
            let limit = Duration::from_millis(KEEP_LIMIT_MS);
            let kept = timeout(limit, self.store.renew_lease(lease)).await;
            match kept.unwrap_or(Err(StoreError::Unknown)) {
                Ok(true) => self.proof.note_proof(asked_ms),
                Ok(false) => {
                    info!(self.logger, "lease_ended"; "lease" => lease);
                    if let Ok(granted) = self.store.grant_lease(LEASE_TTL_MS).await {
                        lease = granted;
                        let _ = renewals.send(lease).await;
                    }
                }
                Err(fault) => {
                    self.proof.note_fault();
                    warn!(self.logger, "lease_not_kept"; "fault" => ?fault);
                }
            }
        }
    }
}
