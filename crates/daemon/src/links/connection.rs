//! Writes messages to an outgoing connection and detects its failure.

use {
    super::{KEEPALIVES_PER_IDLE_TIMEOUT, LinkConfig, PeerStream, table::LinkStats},
    crate::metrics::MetricRegistry,
    damaskrack_wire::{PeerFrame, PeerMessage, WireError},
    futures_util::{
        SinkExt, StreamExt,
        stream::{SplitSink, SplitStream},
    },
    std::sync::atomic::Ordering,
    tokio::{
        sync::mpsc::Receiver,
        time::{MissedTickBehavior, interval, timeout},
    },
};

/// Maximum number of messages written before the connection is flushed.
const MAX_MESSAGES_PER_FLUSH: usize = 256;

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutgoingConnectionEnd {
    /// The link was removed or the daemon is shutting down.
    Closed,
    /// The peer closed the connection, or the connection failed.
    Broken,
    /// Nothing arrived, or nothing could be written, within the idle timeout.
    Silent,
    /// The peer sent a frame that a listener must not send.
    Protocol,
}

impl OutgoingConnectionEnd {
    /// Returns the name of the counter for this cause.
    pub(crate) fn metric(self) -> &'static str {
        match self {
            Self::Closed => "link.closed",
            Self::Broken => "link.broken",
            Self::Silent => "link.silent",
            Self::Protocol => "link.protocol",
        }
    }
}

/// Writes the messages of a link's queue to one connection.
pub(crate) struct OutgoingConnection<'a> {
    pub(crate) config: &'a LinkConfig,
    pub(crate) messages: &'a mut Receiver<PeerMessage>,
    pub(crate) stats: &'a LinkStats,
    pub(crate) metrics: &'a MetricRegistry,
}

type FrameSink = SplitSink<PeerStream, PeerFrame>;
type FrameSource = SplitStream<PeerStream>;

impl OutgoingConnection<'_> {
    /// Runs until the connection ends.
    pub(crate) async fn run(&mut self, stream: PeerStream) -> OutgoingConnectionEnd {
        let (mut sink, mut source) = stream.split();
        let end = match self.exchange_frames(&mut sink, &mut source).await {
            Ok(never) => match never {},
            Err(end) => end,
        };
        if end == OutgoingConnectionEnd::Closed {
            self.finish(&mut sink, &mut source).await;
        }
        end
    }

    /// Shuts the connection down and drains its input: TCP resets a connection that is closed with
    /// unread input, and data that the peer has not read yet may then be lost.
    async fn finish(&self, sink: &mut FrameSink, source: &mut FrameSource) {
        let close = async {
            let _ = sink.close().await;
            while let Some(Ok(_)) = source.next().await {}
        };
        let _ = timeout(self.config.keepalive_interval(), close).await;
    }

    async fn exchange_frames(
        &mut self,
        sink: &mut FrameSink,
        source: &mut FrameSource,
    ) -> Result<std::convert::Infallible, OutgoingConnectionEnd> {
        // Counts ticks instead of elapsed time, so that after a pause of the whole process frames
        // that have already arrived are read before the idle timeout expires.
        let mut idle_ticks = 0;
        let mut ticks = interval(self.config.keepalive_interval());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                frame = source.next() => {
                    self.accept_frame(frame.as_ref())?;
                    idle_ticks = 0;
                }
                _ = ticks.tick() => {
                    if idle_ticks > KEEPALIVES_PER_IDLE_TIMEOUT {
                        return Err(OutgoingConnectionEnd::Silent);
                    }
                    idle_ticks += 1;
                    self.write(sink, PeerFrame::Pulse { received: 0 }).await?;
                    self.flush(sink).await?;
                }
                message = self.messages.recv() => match message {
                    Some(message) => self.write_batch(sink, message).await?,
                    None => return Err(OutgoingConnectionEnd::Closed),
                },
            }
        }
    }

    fn accept_frame(
        &self,
        frame: Option<&Result<PeerFrame, WireError>>,
    ) -> Result<(), OutgoingConnectionEnd> {
        match frame {
            Some(Ok(PeerFrame::Pulse { received })) => {
                self.stats.acknowledged.store(*received, Ordering::Release);
                Ok(())
            }
            Some(Ok(_)) | Some(Err(WireError::Missing(_) | WireError::Invalid(_))) => {
                Err(OutgoingConnectionEnd::Protocol)
            }
            Some(Err(_)) | None => Err(OutgoingConnectionEnd::Broken),
        }
    }

    async fn write_batch(
        &mut self,
        sink: &mut FrameSink,
        first: PeerMessage,
    ) -> Result<(), OutgoingConnectionEnd> {
        self.write(sink, PeerFrame::Message(first)).await?;
        for _ in 1..MAX_MESSAGES_PER_FLUSH {
            match self.messages.try_recv() {
                Ok(message) => self.write(sink, PeerFrame::Message(message)).await?,
                Err(_) => break,
            }
        }
        self.flush(sink).await
    }

    async fn write(
        &self,
        sink: &mut FrameSink,
        frame: PeerFrame,
    ) -> Result<(), OutgoingConnectionEnd> {
        match timeout(self.config.idle_timeout(), sink.feed(frame)).await {
            Ok(Ok(())) => {
                self.stats.sent.fetch_add(1, Ordering::AcqRel);
                Ok(())
            }
            // Nothing was written, so the connection stays usable; the core sends a new request.
            Ok(Err(WireError::TooLong { .. })) => {
                self.metrics.count("link.dropped_too_long", 1);
                Ok(())
            }
            Ok(Err(_)) => Err(OutgoingConnectionEnd::Broken),
            Err(_) => Err(OutgoingConnectionEnd::Silent),
        }
    }

    async fn flush(&self, sink: &mut FrameSink) -> Result<(), OutgoingConnectionEnd> {
        match timeout(self.config.idle_timeout(), sink.flush()).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(OutgoingConnectionEnd::Broken),
            Err(_) => Err(OutgoingConnectionEnd::Silent),
        }
    }
}
