//! Accepts connections of other daemons and delivers their messages to the inbox.

use {
    super::{
        KEEPALIVES_PER_IDLE_TIMEOUT, LinkConfig, PeerStream,
        incoming::{IncomingClaim, IncomingTable},
    },
    crate::metrics::MetricRegistry,
    damaskrack_node::NodeInput,
    damaskrack_wire::{
        FrameBudget, HelloFrame, PROTOCOL_VERSION, PeerCodec, PeerFrame, PeerMessage,
        SMALL_FRAME_BYTES, WireError,
    },
    futures_util::{SinkExt, StreamExt},
    slog::Logger,
    std::{sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc::Sender,
        task::JoinSet,
        time::{MissedTickBehavior, interval, sleep, timeout},
    },
    tokio_util::codec::Framed,
};

/// Maximum number of open connections of other daemons: several times as many as a cell has.
const MAX_CONNECTIONS: usize = 256;
/// Delay after a failed accept, such as for lack of file descriptors, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;

/// Why an incoming connection ended.
#[derive(Debug)]
enum IncomingConnectionEnd {
    /// No hello arrived, or it named an unacceptable peer or version, or it belonged to an older
    /// connection.
    Refused,
    /// A newer connection of the peer replaced this one.
    Superseded,
    /// The peer closed the connection, or the connection failed.
    Broken,
    /// Nothing arrived within the idle timeout.
    Silent,
    /// The peer sent a frame that a dialler must not send.
    Protocol,
    /// There was no space for a frame.
    NoSpace,
    /// The daemon is shutting down.
    Closed,
}

impl IncomingConnectionEnd {
    fn metric(&self) -> &'static str {
        match self {
            Self::Refused => "link.in_refused",
            Self::Superseded => "link.in_superseded",
            Self::Broken | Self::Closed => "link.in_closed",
            Self::Silent => "link.in_silent",
            Self::Protocol => "link.in_protocol",
            Self::NoSpace => "link.in_no_space",
        }
    }
}

/// Accepts connections of other daemons.
#[derive(Debug, Clone)]
pub(crate) struct PeerListener {
    pub(crate) config: LinkConfig,
    pub(crate) table: Arc<IncomingTable>,
    pub(crate) inbox: Sender<NodeInput>,
    pub(crate) metrics: Arc<MetricRegistry>,
    pub(crate) logger: Logger,
    /// Memory for the frames that are being received.
    pub(crate) frames: Arc<FrameBudget>,
}

impl PeerListener {
    /// Accepts connections until the task is dropped, which also drops every connection.
    pub(crate) async fn run(self, listener: TcpListener) {
        let mut tasks = JoinSet::new();
        loop {
            tokio::select! {
                Some(_) = tasks.join_next() => {}
                accepted = listener.accept() => match accepted {
                    Ok((socket, _)) if tasks.len() < MAX_CONNECTIONS => {
                        tasks.spawn(self.clone().serve(socket));
                    }
                    Ok(_) => self.metrics.count("link.in_refused", 1),
                    Err(_) => sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await,
                }
            }
        }
    }

    async fn serve(self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let stream = Framed::new(socket, PeerCodec::with_limit(SMALL_FRAME_BYTES));
        let end = self.receive(stream).await;
        self.metrics.count(end.metric(), 1);
        slog::debug!(self.logger, "incoming_link_ended"; "cause" => format!("{end:?}"));
    }

    async fn receive(&self, mut stream: PeerStream) -> IncomingConnectionEnd {
        let hello = match timeout(self.config.connect_timeout(), self.handshake(&mut stream)).await
        {
            Ok(Some(hello)) => hello,
            Ok(None) | Err(_) => return IncomingConnectionEnd::Refused,
        };
        let mut stream = stream.map_codec(|_| PeerCodec::with_budget(self.frames.clone()));
        let claim = self.table.claim(&hello.member, hello.boot, hello.generation);
        let Some(claim) = claim else { return IncomingConnectionEnd::Refused };
        let end = self.deliver_all(&mut stream, &claim, hello.boot).await;
        self.table.release(&claim);
        end
    }

    async fn handshake(&self, stream: &mut PeerStream) -> Option<HelloFrame> {
        let Some(Ok(PeerFrame::Hello(hello))) = stream.next().await else { return None };
        let is_accepted = hello.version == PROTOCOL_VERSION
            && hello.is_dialler
            && hello.member != self.config.member;
        let own = HelloFrame::listener(self.config.member.clone(), self.config.boot);
        stream.send(PeerFrame::Hello(own)).await.ok()?;
        is_accepted.then_some(hello)
    }

    async fn deliver_all(
        &self,
        stream: &mut PeerStream,
        claim: &IncomingClaim,
        boot: u64,
    ) -> IncomingConnectionEnd {
        let mut idle_ticks = 0;
        let mut received = 0;
        let mut waiting: Option<PeerMessage> = None;
        let mut ticks = interval(self.config.keepalive_interval());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // While a message waits for space in the inbox no more are read, but keepalives are
            // still sent, so that the peer does not take a busy daemon for a failed one.
            tokio::select! {
                biased;
                () = claim.superseded.cancelled() => return IncomingConnectionEnd::Superseded,
                _ = ticks.tick() => {
                    if waiting.is_none() && idle_ticks > KEEPALIVES_PER_IDLE_TIMEOUT {
                        return IncomingConnectionEnd::Silent;
                    }
                    idle_ticks += 1;
                    let pulse = stream.send(PeerFrame::Pulse { received });
                    if !matches!(timeout(self.config.idle_timeout(), pulse).await, Ok(Ok(()))) {
                        return IncomingConnectionEnd::Broken;
                    }
                }
                permit = self.inbox.reserve(), if waiting.is_some() => {
                    let Ok(permit) = permit else { return IncomingConnectionEnd::Closed };
                    let member = claim.member.clone();
                    if let Some(message) = waiting.take() {
                        let input = NodeInput::Peer { member, boot, message };
                        if !self.table.deliver(claim, permit, input) {
                            return IncomingConnectionEnd::Superseded;
                        }
                    }
                }
                frame = stream.next(), if waiting.is_none() => match accept_frame(frame) {
                    Ok(message) => {
                        received += 1;
                        waiting = message;
                        idle_ticks = 0;
                    }
                    Err(end) => return end,
                },
            }
        }
    }
}

fn accept_frame(
    frame: Option<Result<PeerFrame, WireError>>,
) -> Result<Option<PeerMessage>, IncomingConnectionEnd> {
    match frame {
        Some(Ok(PeerFrame::Message(message))) => Ok(Some(message)),
        Some(Ok(PeerFrame::Pulse { .. })) => Ok(None),
        Some(Ok(PeerFrame::Hello(_))) => Err(IncomingConnectionEnd::Protocol),
        Some(Err(WireError::Io(_))) | None => Err(IncomingConnectionEnd::Broken),
        Some(Err(WireError::NoSpace { .. })) => Err(IncomingConnectionEnd::NoSpace),
        Some(Err(_)) => Err(IncomingConnectionEnd::Protocol),
    }
}
