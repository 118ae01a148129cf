//! A TCP relay that can drop traffic while its sockets stay open.
//!
//! A connection that has dropped a byte drops everything after it, because the receiver could not
//! parse the rest of the stream.

use {
    std::{
        net::{SocketAddr, TcpListener},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Size of the copy buffer, in bytes.
const CHUNK_BYTES: usize = 64 << 10;

/// Replacement of a text by another of equal length in traffic to the target.
#[derive(Debug, Clone)]
pub(crate) struct RewritePlan {
    pub(crate) from: String,
    pub(crate) to: String,
}

impl RewritePlan {
    fn apply(&self, bytes: &mut [u8]) {
        let (from, to) = (self.from.as_bytes(), self.to.as_bytes());
        let mut at = 0;
        while at + from.len() <= bytes.len() {
            if bytes[at..].starts_with(from) {
                bytes[at..at + from.len()].copy_from_slice(to);
                at += from.len();
            } else {
                at += 1;
            }
        }
    }
}

#[derive(Debug, Default)]
struct RelayedConnection {
    source: Option<String>,
    is_silent: bool,
}

#[derive(Debug, Default)]
struct RelayState {
    connections: Vec<RelayedConnection>,
    /// Sources whose traffic is dropped, on open and new connections; one entry per active cut.
    cut: Vec<String>,
}

/// A relay to one target.
#[derive(Debug, Clone)]
pub(crate) struct SocketRelay {
    address: SocketAddr,
    state: Arc<Mutex<RelayState>>,
}

impl SocketRelay {
    /// Serves on a bound port. A connection is attributed to the first of `sources` that is named
    /// in what its client sends.
    pub(crate) fn start(
        listener: TcpListener,
        target: SocketAddr,
        sources: Vec<String>,
        rewrite: Option<RewritePlan>,
    ) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let state = Arc::new(Mutex::new(RelayState::default()));
        let relay = Self { address, state };
        let accepting = relay.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let connection = accepting.clone().relay_connection(
                    client,
                    target,
                    sources.clone(),
                    rewrite.clone(),
                );
                tokio::spawn(connection);
            }
        });
        Ok(relay)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all further traffic on the open connections of a source.
    pub(crate) fn silence(&self, source: &str) {
        for connection in &mut self.lock().connections {
            connection.is_silent |= connection.source.as_deref() == Some(source);
        }
    }

    /// Starts or stops dropping everything that a source sends.
    pub(crate) fn set_cut(&self, source: &str, is_cut: bool) {
        let mut state = self.lock();
        if is_cut {
            state.cut.push(source.to_owned());
        } else if let Some(index) = state.cut.iter().position(|cut| cut == source) {
            state.cut.remove(index);
        }
    }

    async fn relay_connection(
        self,
        client: TcpStream,
        target: SocketAddr,
        sources: Vec<String>,
        rewrite: Option<RewritePlan>,
    ) {
        let Ok(upstream) = TcpStream::connect(target).await else { return };
        let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
        let index = self.add_connection(&sources);
        let (client_read, client_write) = client.into_split();
        let (upstream_read, upstream_write) = upstream.into_split();
        let up = self.copy_one_way(index, client_read, upstream_write, &sources, rewrite);
        let down = self.copy_one_way(index, upstream_read, client_write, &[], None);
        tokio::join!(up, down);
    }

    /// Registers a connection; if there is only one possible source, it is attributed at once.
    fn add_connection(&self, sources: &[String]) -> usize {
        let source = (sources.len() == 1).then(|| sources[0].clone());
        let mut state = self.lock();
        state.connections.push(RelayedConnection { source, is_silent: false });
        state.connections.len() - 1
    }

    async fn copy_one_way(
        &self,
        index: usize,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        sources: &[String],
        rewrite: Option<RewritePlan>,
    ) {
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(length @ 1..) = from.read(&mut buffer).await {
            let chunk = &mut buffer[..length];
            if self.drops_chunk(index, chunk, sources) {
                continue;
            }
            if let Some(rewrite) = &rewrite {
                rewrite.apply(chunk);
            }
            if to.write_all(chunk).await.is_err() {
                break;
            }
        }
        let is_silent = self.lock().connections[index].is_silent;
        if is_silent {
            // Keep the socket open, so that the receiver does not see the sender's end.
            std::future::pending::<()>().await;
        }
        let _ = to.shutdown().await;
    }

    fn drops_chunk(&self, index: usize, chunk: &[u8], sources: &[String]) -> bool {
        let mut state = self.lock();
        if state.connections[index].source.is_none() {
            let is_named = |source: &&String| {
                chunk.windows(source.len()).any(|window| window == source.as_bytes())
            };
            state.connections[index].source = sources.iter().find(is_named).cloned();
        }
        let RelayState { connections, cut } = &mut *state;
        let connection = &mut connections[index];
        let is_cut = connection.source.as_ref().is_some_and(|source| cut.contains(source));
        connection.is_silent |= is_cut;
        connection.is_silent
    }

    fn lock(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
