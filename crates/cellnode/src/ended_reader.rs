//! Reads the jobs that ended under former leaders while the leader serves already.
//!
//! There are far more of them than live jobs, and nothing waits for them: callers' daemons read the
//! state of a job that the leader does not know from the store.

use {
    crate::{
        CellStore, StoreItem,
        follow::LONG_PAGE_TIMEOUT_MS,
        leader_event::{LeaderEvent, send_input},
        rows::{ENDED_PREFIX, decode_row},
    },
    damaskrack_cell::{CellInput, ProgressRecord},
    slog::{Logger, info, warn},
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::sleep},
};

/// Pause between two pages, in milliseconds, in which other calls find the link free.
const PAGE_PAUSE_MS: u64 = 300;

/// Passes all ended jobs to the core, page by page.
pub(crate) async fn read_ended(
    store: Arc<dyn CellStore>,
    events: mpsc::Sender<LeaderEvent>,
    logger: Logger,
) {
    let (mut after, mut count) = (String::new(), 0);
    loop {
        match store.range(ENDED_PREFIX, &after, LONG_PAGE_TIMEOUT_MS).await {
            Ok(page) => {
                let is_last = !page.has_more || page.items.is_empty();
                count += page.items.len();
                after = page.items.last().map_or(after, |item| item.key.clone());
                for item in page.items.iter().filter(|item| !item.is_deleted) {
                    pass_on(item, &events, &logger).await;
                }
                if is_last {
                    break;
                }
            }
            Err(error) => warn!(logger, "read_failed"; "prefix" => ENDED_PREFIX, "fault" => ?error),
        }
        sleep(Duration::from_millis(PAGE_PAUSE_MS)).await;
    }
    info!(logger, "ended_jobs_read"; "jobs" => count);
    send_input(&events, CellInput::EndedKnown).await;
}

async fn pass_on(item: &StoreItem, events: &mpsc::Sender<LeaderEvent>, logger: &Logger) {
    let Some(id) = item.key.strip_prefix(ENDED_PREFIX) else { return };
    let Some(progress) = decode_row::<ProgressRecord>(item, logger) else { return };
    send_input(events, CellInput::Ended { id: id.to_owned(), progress }).await;
}
