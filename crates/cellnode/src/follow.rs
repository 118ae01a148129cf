//! Follows the items under a prefix of the store.

use {
    crate::{CellStore, StoreFault, StoreItem, boot_ms},
    slog::{Logger, info, warn},
    std::time::Duration,
    tokio::time::sleep,
};

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

/// Follows a prefix until the task is dropped; each call waits `wait_ms` milliseconds for changes,
/// and calls follow one another no faster than every `pause_ms` milliseconds.
pub(crate) async fn follow_prefix(
    store: &dyn CellStore,
    prefix: &str,
    (wait_ms, pause_ms): (u64, u64),
    sink: &mut dyn ItemSink,
    logger: &Logger,
) {
    let mut is_lost = false;
    loop {
        let asked_ms = boot_ms();
        match read_all(store, prefix).await {
            Ok((items, revision)) => {
                if is_lost {
                    info!(logger, "store_regained"; "prefix" => prefix);
                }
                is_lost = false;
                sink.replace(items);
                sink.settle(asked_ms);
                watch_on(store, prefix, (wait_ms, pause_ms), revision, sink, logger).await;
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
) -> Result<(Vec<StoreItem>, u64), StoreFault> {
    let mut items: Vec<StoreItem> = Vec::new();
    let mut revision = None;
    loop {
        let after = items.last().map_or(String::new(), |item| item.key.clone());
        let page = store.range(prefix, &after).await?;
        // Pages are not a snapshot: changes since the first one must be seen again.
        let first = *revision.get_or_insert(page.revision);
        let is_last = !page.has_more || page.items.is_empty();
        items.extend(page.items);
        if is_last {
            return Ok((items, first));
        }
    }
}

/// Watches until the history is gone or the store does not answer several times in a row.
async fn watch_on(
    store: &dyn CellStore,
    prefix: &str,
    (wait_ms, pause_ms): (u64, u64),
    mut revision: u64,
    sink: &mut dyn ItemSink,
    logger: &Logger,
) {
    let mut is_lost = false;
    loop {
        let asked_ms = boot_ms();
        match store.watch(prefix, revision, wait_ms).await {
            Ok(page) => {
                if is_lost {
                    info!(logger, "store_regained"; "prefix" => prefix);
                }
                is_lost = false;
                page.items.into_iter().for_each(|item| sink.update(item));
                revision = page.revision.max(revision);
                sink.settle(asked_ms);
                sleep(Duration::from_millis(pause_ms)).await;
            }
            Err(StoreFault::Compacted) => {
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
