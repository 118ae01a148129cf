//! Reads and watches the items under a prefix of the store.

use {
    crate::{CellStore, StoreError, StoreItem, boot_ms},
    slog::{Logger, info, warn},
    std::time::Duration,
    tokio::time::sleep,
};

/// Timeout for reading a page of a few items, in milliseconds.
pub(crate) const SHORT_PAGE_TIMEOUT_MS: u64 = 700;
/// Timeout for reading a page of a megabyte over a slow network link, in milliseconds.
pub(crate) const LONG_PAGE_TIMEOUT_MS: u64 = 3_000;
/// Delay before a failed call is retried, in milliseconds.
const RETRY_MS: u64 = 300;

/// Receives the items that a follower reads.
pub(crate) trait ItemSink: Send {
    /// Replaces all known items with these.
    fn replace(&mut self, items: Vec<StoreItem>);

    /// Applies the write or deletion of one item.
    fn update(&mut self, item: StoreItem);

    /// Reports that all changes are applied that the store had made when a call was sent at
    /// `sent_ms`, in milliseconds since the host booted. Called after the updates of each response.
    fn caught_up(&mut self, sent_ms: u64);
}

/// Timeouts and intervals with which a prefix is followed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FollowTiming {
    /// Longest time for which a watch waits for changes, in milliseconds.
    pub(crate) wait_ms: u64,
    /// Pause between two watches, in milliseconds.
    pub(crate) interval_ms: u64,
    /// Timeout for reading a page of the items, in milliseconds.
    pub(crate) page_timeout_ms: u64,
}

/// Follows a prefix until the task is dropped.
pub(crate) async fn follow_prefix(
    store: &dyn CellStore,
    prefix: &str,
    timing: FollowTiming,
    sink: &mut dyn ItemSink,
    logger: &Logger,
) {
    let mut is_lost = false;
    loop {
        let sent_ms = boot_ms();
        match read_all(store, prefix, timing.page_timeout_ms).await {
            Ok((items, revision)) => {
                if is_lost {
                    info!(logger, "store_regained"; "prefix" => prefix);
                }
                is_lost = false;
                sink.replace(items);
                sink.caught_up(sent_ms);
                follow_from(store, prefix, timing, revision, sink, logger).await;
            }
            Err(error) => {
                if !is_lost {
                    warn!(logger, "store_lost"; "prefix" => prefix, "fault" => ?error);
                }
                is_lost = true;
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// Reads every item with a prefix. Also returns the revision from which to watch for changes.
pub(crate) async fn read_all(
    store: &dyn CellStore,
    prefix: &str,
    page_timeout_ms: u64,
) -> Result<(Vec<StoreItem>, u64), StoreError> {
    let mut items: Vec<StoreItem> = Vec::new();
    let mut revision = None;
    loop {
        let after = items.last().map_or(String::new(), |item| item.key.clone());
        let page = store.range(prefix, &after, page_timeout_ms).await?;
        // Pages are not a snapshot, so the watch has to start at the revision of the first one.
        let first = *revision.get_or_insert(page.revision);
        let is_last = !page.has_more || page.items.is_empty();
        items.extend(page.items);
        if is_last {
            return Ok((items, first));
        }
    }
}

/// Follows the changes after a revision until the store has compacted its history beyond it.
pub(crate) async fn follow_from(
    store: &dyn CellStore,
    prefix: &str,
    timing: FollowTiming,
    mut revision: u64,
    sink: &mut dyn ItemSink,
    logger: &Logger,
) {
    let mut is_lost = false;
    loop {
        let sent_ms = boot_ms();
        // A response at once shows that the store is back.
        let wait_ms = if is_lost { 0 } else { timing.wait_ms };
        match store.watch(prefix, revision, wait_ms).await {
            Ok(page) => {
                if is_lost {
                    info!(logger, "store_regained"; "prefix" => prefix);
                }
                is_lost = false;
                page.items.into_iter().for_each(|item| sink.update(item));
                revision = page.revision.max(revision);
                sink.caught_up(sent_ms);
                sleep(Duration::from_millis(timing.interval_ms)).await;
            }
            Err(StoreError::Compacted) => {
                info!(logger, "store_history_gone"; "prefix" => prefix, "revision" => revision);
                return;
            }
            Err(error) => {
                if !is_lost {
                    warn!(logger, "store_lost"; "prefix" => prefix, "fault" => ?error);
                }
                is_lost = true;
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}
