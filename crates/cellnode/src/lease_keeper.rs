//! Keeps alive the lease that the leader's row is attached to.

use {
    crate::{
        CellStore, StoreError, boot_ms, leader::LEASE_TTL_MS, leadership_status::LeadershipStatus,
        row_update::RowUpdate,
    },
    slog::{Logger, info, warn},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// Interval between two renewals of the lease, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 350;
/// Timeout of a renewal, in milliseconds.
const RENEW_TIMEOUT_MS: u64 = 600;

/// Renews the leader's lease.
pub(crate) struct LeaseKeeper {
    pub(crate) store: Arc<dyn CellStore>,
    pub(crate) leadership: Arc<LeadershipStatus>,
    pub(crate) logger: Logger,
}

impl LeaseKeeper {
    /// Renews the lease until the task is dropped. After the lease has expired, gets a new one and
    /// sends it to `row_updates`, so that the leader's row is written again.
    pub(crate) async fn run(self, mut lease: u64, row_updates: mpsc::Sender<RowUpdate>) {
        loop {
            sleep(Duration::from_millis(RENEW_INTERVAL_MS)).await;
            let sent_ms = boot_ms();
            let renew_timeout = Duration::from_millis(RENEW_TIMEOUT_MS);
            let renewed = timeout(renew_timeout, self.store.renew_lease(lease)).await;
            match renewed.unwrap_or(Err(StoreError::Unknown)) {
                Ok(true) => self.leadership.record_confirmation(sent_ms),
                Ok(false) => {
                    info!(self.logger, "lease_ended"; "lease" => lease);
                    if let Ok(granted) = self.store.grant_lease(LEASE_TTL_MS).await {
                        lease = granted;
                        let _ = row_updates.send(RowUpdate::Lease(lease)).await;
                    }
                }
                Err(error) => {
                    self.leadership.record_error();
                    warn!(self.logger, "lease_not_kept"; "fault" => ?error);
                }
            }
        }
    }
}
