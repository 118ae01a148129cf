//! Helpers that wait for a duration or a change.

use {std::time::Duration, tokio::time::sleep};

/// Maximum time that a watch or `Sync` call may wait, in milliseconds.
pub(crate) const MAX_WAIT_MS: u64 = 60_000;

/// Sleeps for `millis` milliseconds; does nothing if this is 0.
pub(crate) async fn sleep_ms(millis: u64) {
    if millis > 0 {
        sleep(Duration::from_millis(millis)).await;
    }
}

/// Waits until `changed` completes, for at most `millis` milliseconds if given.
pub(crate) async fn wait_for_change(millis: Option<u64>, changed: impl Future<Output = ()>) {
    match millis {
        Some(millis) => {
            tokio::select! {
                () = sleep(Duration::from_millis(millis)) => {}
                () = changed => {}
            }
        }
        None => changed.await,
    }
}
