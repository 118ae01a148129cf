//! One outgoing link: dials, proves who answers, sends, and dials again.

use {
    super::{
        LinkIdentity, PeerStream,
        backoff::RetryBackoff,
        pump::{FramePump, PumpEnd},
        table::LinkStats,
    },
    crate::metrics::MetricTable,
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
enum DialFault {
    /// Nobody answered in time.
    Unreachable,
    /// Somebody else answered, or a peer of another version.
    WrongPeer,
}

/// The task that keeps up the link to one peer.
#[derive(Debug)]
pub(crate) struct OutgoingLink {
    pub(crate) identity: LinkIdentity,
    pub(crate) peer: MemberName,
    pub(crate) address: SocketAddr,
    pub(crate) messages: Receiver<PeerMessage>,
    pub(crate) inbox: Sender<NodeInput>,
    pub(crate) stats: Arc<LinkStats>,
    pub(crate) generations: Arc<AtomicU64>,
    pub(crate) metrics: Arc<MetricTable>,
    pub(crate) logger: Logger,
}

impl OutgoingLink {
    /// Keeps the link up until the table drops it.
    pub(crate) async fn run(mut self) {
        let mut backoff = RetryBackoff::new();
        loop {
            match timeout(self.identity.connect_timeout(), self.dial()).await {
                Ok(Ok((stream, boot))) => {
                    backoff.reset();
                    if self.serve(stream, boot).await == PumpEnd::Closed {
                        return;
                    }
                }
                Ok(Err(DialFault::WrongPeer)) => {
                    self.metrics.count("link.wrong_peer", 1);
                    slog::warn!(self.logger, "link_wrong_peer";
                        "member" => %self.peer, "address" => %self.address);
                }
                Ok(Err(DialFault::Unreachable)) | Err(_) => {
                    self.metrics.count("link.dial_failed", 1);
                }
            }
            sleep(backoff.next_delay()).await;
        }
    }

    async fn dial(&self) -> Result<(PeerStream, u64), DialFault> {
        let generation = self.generations.fetch_add(1, Ordering::AcqRel) + 1;
        let socket = TcpStream::connect(self.address).await.map_err(|_| DialFault::Unreachable)?;
        let _ = socket.set_nodelay(true);
        let mut stream = Framed::new(socket, PeerCodec::new());
        let hello = HelloFrame::dialler(self.identity.member.clone(), self.identity.boot)
            .with_generation(generation);
        stream.send(PeerFrame::Hello(hello)).await.map_err(|_| DialFault::Unreachable)?;
        let boot = self.check_reply(stream.next().await)?;
        self.stats.generation.store(generation, Ordering::Release);
        Ok((stream, boot))
    }

    fn check_reply(
        &self,
        reply: Option<Result<PeerFrame, damaskrack_wire::WireError>>,
    ) -> Result<u64, DialFault> {
        match reply {
            Some(Ok(PeerFrame::Hello(hello)))
                if hello.member == self.peer
                    && hello.version == PROTOCOL_VERSION
                    && !hello.is_dialler =>
            {
                Ok(hello.boot)
            }
            Some(Ok(_)) => Err(DialFault::WrongPeer),
            Some(Err(_)) | None => Err(DialFault::Unreachable),
        }
    }

    async fn serve(&mut self, stream: PeerStream, boot: u64) -> PumpEnd {
        // Whatever was left over from the former connection counts as lost with it.
        while self.messages.try_recv().is_ok() {}
        self.stats.is_up.store(true, Ordering::Release);
        slog::info!(self.logger, "link_up"; "member" => %self.peer, "boot" => boot);
        let up = NodeInput::PeerUp { member: self.peer.clone(), boot };
        if self.inbox.send(up).await.is_err() {
            return PumpEnd::Closed;
        }
        let mut pump = FramePump {
            identity: &self.identity,
            messages: &mut self.messages,
            stats: &self.stats,
            metrics: &self.metrics,
        };
        let end = pump.run(stream).await;
        self.stats.is_up.store(false, Ordering::Release);
        if end != PumpEnd::Closed {
            self.report_down(end).await;
        }
        end
    }

    async fn report_down(&self, end: PumpEnd) {
        self.stats.replaced.fetch_add(1, Ordering::AcqRel);
        self.metrics.count(end.metric(), 1);
        slog::warn!(self.logger, "link_down";
            "member" => %self.peer, "cause" => format!("{end:?}"));
        let _ = self.inbox.send(NodeInput::PeerDown { member: self.peer.clone() }).await;
    }
}
