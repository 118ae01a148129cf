//! One outgoing link: connects, verifies the peer's identity, sends messages, and reconnects.

use {
    super::{
        LinkConfig, PeerStream,
        backoff::RetryBackoff,
        connection::{OutgoingConnection, OutgoingConnectionEnd},
        table::LinkStats,
    },
    crate::metrics::MetricRegistry,
    damaskrack_model::MemberName,
    damaskrack_node::NodeInput,
    damaskrack_wire::{HelloFrame, PROTOCOL_VERSION, PeerCodec, PeerFrame, PeerMessage},
    futures_util::{SinkExt, StreamExt},
    slog::Logger,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::{
        net::TcpStream,
        sync::mpsc::{Receiver, Sender},
        time::{sleep, timeout},
    },
    tokio_util::codec::Framed,
};

/// Why no connection was made.
#[derive(Debug)]
enum DialError {
    /// The peer did not respond in time, or the connection failed.
    Unreachable,
    /// The process at the address is not the expected peer, or uses another protocol version.
    WrongPeer,
}

/// The task that maintains the link to one peer.
#[derive(Debug)]
pub(crate) struct OutgoingLink {
    pub(crate) config: LinkConfig,
    pub(crate) peer: MemberName,
    pub(crate) address: SocketAddr,
    pub(crate) messages: Receiver<PeerMessage>,
    pub(crate) inbox: Sender<NodeInput>,
    pub(crate) stats: Arc<LinkStats>,
    pub(crate) generations: Arc<AtomicU64>,
    pub(crate) metrics: Arc<MetricRegistry>,
    pub(crate) logger: Logger,
}

impl OutgoingLink {
    /// Connects, and reconnects after each failure, until the table drops the link.
    pub(crate) async fn run(mut self) {
        let mut backoff = RetryBackoff::new();
        loop {
            match timeout(self.config.connect_timeout(), self.dial()).await {
                Ok(Ok((stream, boot))) => {
                    backoff.reset();
                    if self.serve(stream, boot).await == OutgoingConnectionEnd::Closed {
                        return;
                    }
                }
                Ok(Err(DialError::WrongPeer)) => {
                    self.metrics.count("link.wrong_peer", 1);
                    slog::warn!(self.logger, "link_wrong_peer";
                        "member" => %self.peer, "address" => %self.address);
                }
                Ok(Err(DialError::Unreachable)) | Err(_) => {
                    self.metrics.count("link.dial_failed", 1);
                }
            }
            sleep(backoff.next_delay()).await;
        }
    }

    async fn dial(&self) -> Result<(PeerStream, u64), DialError> {
        let generation = self.generations.fetch_add(1, Ordering::AcqRel) + 1;
        let socket = TcpStream::connect(self.address).await.map_err(|_| DialError::Unreachable)?;
        let _ = socket.set_nodelay(true);
        let mut stream = Framed::new(socket, PeerCodec::new());
        let hello = HelloFrame::dialler(self.config.member.clone(), self.config.boot)
            .with_generation(generation);
        stream.send(PeerFrame::Hello(hello)).await.map_err(|_| DialError::Unreachable)?;
        let boot = self.check_hello(stream.next().await)?;
        self.stats.generation.store(generation, Ordering::Release);
        Ok((stream, boot))
    }

    fn check_hello(
        &self,
        frame: Option<Result<PeerFrame, damaskrack_wire::WireError>>,
    ) -> Result<u64, DialError> {
        match frame {
            Some(Ok(PeerFrame::Hello(hello)))
                if hello.member == self.peer
                    && hello.version == PROTOCOL_VERSION
                    && !hello.is_dialler =>
            {
                Ok(hello.boot)
            }
            Some(Ok(_)) => Err(DialError::WrongPeer),
            Some(Err(_)) | None => Err(DialError::Unreachable),
        }
    }

    async fn serve(&mut self, stream: PeerStream, boot: u64) -> OutgoingConnectionEnd {
        // Messages still queued for the previous connection count as lost with it.
        while self.messages.try_recv().is_ok() {}
        self.stats.is_up.store(true, Ordering::Release);
        slog::info!(self.logger, "link_up"; "member" => %self.peer, "boot" => boot);
        let up = NodeInput::PeerUp { member: self.peer.clone(), boot };
        if self.inbox.send(up).await.is_err() {
            return OutgoingConnectionEnd::Closed;
        }
        let mut connection = OutgoingConnection {
            config: &self.config,
            messages: &mut self.messages,
            stats: &self.stats,
            metrics: &self.metrics,
        };
        let end = connection.run(stream).await;
        self.stats.is_up.store(false, Ordering::Release);
        if end != OutgoingConnectionEnd::Closed {
            self.report_down(end).await;
        }
        end
    }

    async fn report_down(&self, end: OutgoingConnectionEnd) {
        self.stats.replaced.fetch_add(1, Ordering::AcqRel);
        self.metrics.count(end.metric(), 1);
        slog::warn!(self.logger, "link_down";
            "member" => %self.peer, "cause" => format!("{end:?}"));
        let _ = self.inbox.send(NodeInput::PeerDown { member: self.peer.clone() }).await;
    }
}
