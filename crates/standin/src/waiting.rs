//! Waiting for time or news.

use {std::time::Duration, tokio::time::sleep};

/// Longest time that a call may wait for news, in milliseconds.
pub(crate) const MAX_WAIT_MS: u64 = 60_000;

/// Sleeps unless the time is 0.
pub(crate) async fn pause(millis: u64) {
    if millis > 0 {
        sleep(Duration::from_millis(millis)).await;
    }
}

/// Waits for a change, at most `millis` milliseconds if given.
pub(crate) async fn wait_until(millis: Option<u64>, changed: impl Future<Output = ()>) {
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
