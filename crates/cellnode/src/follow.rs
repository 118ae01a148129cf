//! Follows the items under a prefix of the store.

use {
    crate::{CellStore, StoreError, StoreItem, boot_ms},
    slog::{Logger, info, warn},
    std::time::Duration,
    tokio::time::sleep,
};

/// Longest time for a page of a few items, in milliseconds.
pub(crate) const SHORT_PAGE_MS: u64 = 700;
/// Longest time for a page of a megabyte over a slow link, in milliseconds.
pub(crate) const LONG_PAGE_MS: u64 = 3_000;
/// Wait after a call that failed, in milliseconds.
const RETRY_MS: u64 = 300;

/// Takes in what a follower reads.
pub(crate) trait ItemSink: Send {
    /// The items as they are; every other one is gone.
    fn replace(&mut self, items: Vec<StoreItem>);

    /// One item was written or deleted.
    fn update(&mut self, item: StoreItem);

    /// Everything up to a call sent at this time, in milliseconds since the host's boot, is taken
    /// in. Called after the updates of each answer.
    fn settle(&mut self, asked_ms: u64);
}

/// How a prefix is followed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FollowPace {
    /// Longest wait of a call for changes, in milliseconds.
    pub(crate) wait_ms: u64,
    /// Least time between two calls, in milliseconds.
    pub(crate) pause_ms: u64,
    /// Longest time to read a page of the items, in milliseconds.
    pub(crate) page_ms: u64,
}

/// Follows a prefix until the task is dropped.
pub(crate) async fn follow_prefix(
    store: &dyn CellStore,
    prefix: &str,
    pace: FollowPace,
    sink: &mut dyn ItemSink,
    logger: &Logger,
) {
    let mut is_lost = false;
    loop {
        let asked_ms = boot_ms();
        match read_all(store, prefix, pace.page_ms).await {
            Ok((items, revision)) => {
                if is_lost {
                    info!(logger, "store_regained"; "prefix" => prefix);
                }
                is_lost = false;
                sink.replace(items);
                sink.settle(asked_ms);
                follow_from(store, prefix, pace, revision, sink, logger).await;
            }
            Err(fault) => {
                if !is_lost {
                    warn!(logger, "store_lost"; "prefix" => prefix, "fault" => ?fault);
                }
                is_lost = true;
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// Reads every item with a prefix, and the revision from which changes must be watched.
pub(crate) async fn read_all(
    store: &dyn CellStore,
    prefix: &str,
    page_ms: u64,
) -> Result<(Vec<StoreItem>, u64), StoreError> {
    let mut items: Vec<StoreItem> = Vec::new();
    let mut revision = None;
    loop {
        let after = items.last().map_or(String::new(), |item| item.key.clone());
        let page = store.range(prefix, &after, page_ms).await?;
        // Pages are not a snapshot: changes since the first one must be seen again.
        let first = *revision.get_or_insert(page.revision);
        let is_last = !page.has_more || page.items.is_empty();
        items.extend(page.items);
        if is_last {
            return Ok((items, first));
        }
    }
}

/// Follows what changes after a revision until the history is gone.
pub(crate) async fn follow_from(
    store: &dyn CellStore,
    prefix: &str,
    pace: FollowPace,
    mut revision: u64,
    sink: &mut dyn ItemSink,
    logger: &Logger,
) {
    let mut is_lost = false;
    loop {
        let asked_ms = boot_ms();
        match store.watch(prefix, revision, pace.wait_ms).await {
            Ok(page) => {
                if is_lost {
                    info!(logger, "store_regained"; "prefix" => prefix);
                }
                is_lost = false;
                page.items.into_iter().for_each(|item| sink.update(item));
                revision = page.revision.max(revision);
                sink.settle(asked_ms);
                sleep(Duration::from_millis(pace.pause_ms)).await;
            }
            Err(StoreError::Compacted) => {
                info!(logger, "store_history_gone"; "prefix" => prefix, "revision" => revision);
                return;
            }
            Err(fault) => {
                if !is_lost {
                    warn!(logger, "store_lost"; "prefix" => prefix, "fault" => ?fault);
                }
                is_lost = true;
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}
