//! Finds out whether the former leaders have ended.
//!
//! A former leader without access to the store does not know that it was replaced, and extends the
//! leases of workers until its isolation ends. So a new leader tells the daemon at the address of each of
//! them to end their terms. A daemon that responds leads none of them any more, or its process is another
//! one than that of the former leader, which has ended then. Without a response nothing is known: a
//! connection may be refused or reset by the network, and a process may stand still.

use {
    crate::{
        LinkMeter, LinkPurpose,
        frame::{EntryBody, EntryFrame, LeaderBody, LeaderFrame, decode, encode, frame_codec},
        leader_event::{LeaderEvent, send_input},
        open_terms::OpenTermsRow,
        row_update::RowUpdate,
        rows::LeaderRow,
    },
    damaskrack_cell::CellInput,
    futures_util::{SinkExt, StreamExt, future::join_all},
    slog::{Logger, info},
    std::{sync::Arc, time::Duration},
    tokio::{
        net::TcpStream,
        sync::mpsc,
        time::{Instant, sleep, timeout},
    },
    tokio_util::codec::Framed,
};

/// Timeout of a question with its connection, in milliseconds.
const ASK_TIMEOUT_MS: u64 = 500;
/// Delay before a former leader that has not ended is asked again, in milliseconds.
const RETRY_MS: u64 = 100;

/// Tells the former leaders to end, and the core and the store once they have.
pub(crate) struct TermCloser {
    /// The leaders that may still act, with the new one as the last.
    pub(crate) open_terms: OpenTermsRow,
    /// Time for which a former leader acts without access to the store.
    pub(crate) isolation: Duration,
    pub(crate) events: mpsc::Sender<LeaderEvent>,
    pub(crate) row_updates: mpsc::Sender<RowUpdate>,
    pub(crate) meter: Arc<LinkMeter>,
    pub(crate) logger: Logger,
}

impl TermCloser {
    /// Runs until every former leader has ended.
    pub(crate) async fn run(self) {
        let is_alone = self.open_terms.former().is_empty() && !self.open_terms.is_incomplete;
        let started = Instant::now();
        let is_confirmed = timeout(self.isolation, self.wait_until_ended()).await.is_ok();
        info!(self.logger, "former_leaders_ended"; "asked" => self.open_terms.former().len(),
            "confirmed" => is_confirmed, "took_ms" => started.elapsed().as_millis());
        if is_confirmed {
            send_input(&self.events, CellInput::FormerLeadersEnded).await;
        }
        if !is_alone {
            // Fails only if the leader has stopped already.
            let _ = self.row_updates.send(RowUpdate::TermsEnded).await;
        }
    }

    /// Waits until each former leader is known to have ended, which one that is not in the row never is.
    async fn wait_until_ended(&self) {
        join_all(self.open_terms.former().iter().map(|former| self.end(former))).await;
        if self.open_terms.is_incomplete {
            std::future::pending::<()>().await;
        }
    }

    async fn end(&self, former: &LeaderRow) {
        let ask_timeout = Duration::from_millis(ASK_TIMEOUT_MS);
        while timeout(ask_timeout, self.ask(former)).await.ok().flatten() != Some(true) {
            sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }

    /// Returns whether a former leader has ended; `None` without a response.
    async fn ask(&self, former: &LeaderRow) -> Option<bool> {
        let socket = TcpStream::connect(&former.address).await.ok()?;
        let mut framed = Framed::new(socket, frame_codec());
        let body = Some(EntryBody::EndTerms(former.term));
        let question = EntryFrame { body, ..EntryFrame::default() };
        let bytes = encode(&question);
        self.meter.record_sent(question.purpose(), bytes.len());
        framed.send(bytes).await.ok()?;
        let bytes = framed.next().await?.ok()?;
        self.meter.record_received(LinkPurpose::PeerOther, bytes.len());
        match decode::<LeaderFrame>(bytes)?.body {
            Some(LeaderBody::TermsEnded(is_ended)) => Some(is_ended),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
