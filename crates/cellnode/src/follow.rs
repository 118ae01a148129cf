//! Reads and watches the items under a prefix of the store.

use {
    crate::{CellStore, StoreError, StoreItem, boot_ms, store_regain::RegainSignal},
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
/// Longest time for which a watch waits for changes after one had no response, in milliseconds, so that
/// it is known soon that the store responds again.
const PROBE_WAIT_MS: u64 = 100;

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

/// Follows the items under a prefix.
pub(crate) struct PrefixFollower<'a> {
    pub(crate) store: &'a dyn CellStore,
    pub(crate) prefix: &'a str,
    pub(crate) timing: FollowTiming,
    pub(crate) regain: &'a RegainSignal,
    pub(crate) logger: &'a Logger,
}

impl PrefixFollower<'_> {
    /// Reads and follows the prefix until the task is dropped.
    pub(crate) async fn run(&self, sink: &mut dyn ItemSink) {
        let mut is_lost = false;
        loop {
            let sent_ms = boot_ms();
            match read_all(self.store, self.prefix, self.timing.page_timeout_ms).await {
                Ok((items, revision)) => {
                    self.record_response(&mut is_lost);
                    sink.replace(items);
                    sink.caught_up(sent_ms);
                    self.run_from(revision, sink).await;
                }
                Err(error) => self.wait_after_error(&mut is_lost, error).await,
            }
        }
    }

    /// Follows the changes after a revision until the store has compacted its history beyond it, or there are
    /// more changes than a response may have. Then the items have to be read again, by pages.
    pub(crate) async fn run_from(&self, mut revision: u64, sink: &mut dyn ItemSink) {
        let mut regained = self.regain.subscribe();
        let mut is_lost = false;
        loop {
            let sent_ms = boot_ms();
            let wait_ms = match is_lost {
                true => PROBE_WAIT_MS.min(self.timing.wait_ms),
                false => self.timing.wait_ms,
            };
            let response = tokio::select! {
                response = self.store.watch(self.prefix, revision, wait_ms) => response,
                () = regained.wait() => continue,
            };
            match response {
                Ok(page) => {
                    self.record_response(&mut is_lost);
                    regained.ignore_past();
                    page.items.into_iter().for_each(|item| sink.update(item));
                    revision = page.revision.max(revision);
                    sink.caught_up(sent_ms);
                    sleep(Duration::from_millis(self.timing.interval_ms)).await;
                }
                Err(error @ (StoreError::Compacted | StoreError::TooLarge)) => {
                    info!(self.logger, "store_history_gone"; "prefix" => self.prefix,
                        "revision" => revision, "fault" => ?error);
                    return;
                }
                Err(error) => self.wait_after_error(&mut is_lost, error).await,
            }
        }
    }

    fn record_response(&self, is_lost: &mut bool) {
        if std::mem::take(is_lost) {
            info!(self.logger, "store_regained"; "prefix" => self.prefix);
            self.regain.announce();
        }
    }

    async fn wait_after_error(&self, is_lost: &mut bool, error: StoreError) {
        if !std::mem::replace(is_lost, true) {
            warn!(self.logger, "store_lost"; "prefix" => self.prefix, "fault" => ?error);
        }
        sleep(Duration::from_millis(RETRY_MS)).await;
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
    let mut after = String::new();
    loop {
        let page = store.range(prefix, &after, page_timeout_ms).await?;
        // Pages are not a snapshot, so the watch has to start at the revision of the first one.
        let first = *revision.get_or_insert(page.revision);
        let is_last = !page.has_more || page.items.is_empty();
        after = page.items.last().map_or(after, |item| item.key.clone());
        items.extend(page.items.into_iter().filter(|item| !item.is_deleted));
        if is_last {
            return Ok((items, first));
        }
    }
}
