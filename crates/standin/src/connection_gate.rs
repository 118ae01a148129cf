//! Limits the connections of one server and silences or closes them.

use {
    crate::gated_stream::{ConnectionMode, ConnectionSwitch, GatedStream},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
    },
    tokio::net::TcpStream,
};

type SwitchMap = HashMap<SocketAddr, Arc<ConnectionSwitch>>;

#[derive(Debug)]
struct GateState {
    switches: Mutex<SwitchMap>,
    max_connections: usize,
    is_cut: AtomicBool,
}

impl GateState {
    fn lock(&self) -> MutexGuard<'_, SwitchMap> {
        self.switches.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Limits, silences and closes the connections of a server.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionGate {
    shared: Arc<GateState>,
}

/// Removes its connection from the gate when it is dropped.
#[derive(Debug)]
pub(crate) struct GateGuard {
    shared: Arc<GateState>,
    address: SocketAddr,
}

impl Drop for GateGuard {
    fn drop(&mut self) {
        self.shared.lock().remove(&self.address);
    }
}

impl ConnectionGate {
    pub(crate) fn new(max_connections: usize) -> Self {
        let (switches, is_cut) = (Mutex::default(), AtomicBool::new(false));
        Self { shared: Arc::new(GateState { switches, max_connections, is_cut }) }
    }

    /// Registers a new connection, or returns `None` if the limit is reached.
    pub(crate) fn admit(&self, stream: TcpStream) -> Option<GatedStream<GateGuard>> {
        let address = stream.peer_addr().ok()?;
        stream.set_nodelay(true).ok()?;
        let switch = Arc::new(ConnectionSwitch::default());
        if self.shared.is_cut.load(Ordering::Acquire) {
            switch.set(ConnectionMode::Silent);
        }
        let mut switches = self.shared.lock();
        if switches.len() >= self.shared.max_connections {
            return None;
        }
        switches.insert(address, Arc::clone(&switch));
        drop(switches);
        let guard = GateGuard { shared: Arc::clone(&self.shared), address };
        Some(GatedStream::new(stream, switch, guard))
    }

    /// Silences all open connections permanently; new connections work.
    pub(crate) fn silence(&self) {
        self.set_all(ConnectionMode::Silent);
    }

    /// Silences open connections, and new ones until the cut ends; silenced connections stay so.
    pub(crate) fn set_cut(&self, is_cut: bool) {
        self.shared.is_cut.store(is_cut, Ordering::Release);
        if is_cut {
            self.silence();
        }
    }

    /// Closes the connection of a client without sending another byte.
    pub(crate) fn close(&self, address: SocketAddr) {
        if let Some(switch) = self.shared.lock().get(&address) {
            switch.set(ConnectionMode::Closed);
        }
    }

    /// Closes all connections.
    pub(crate) fn close_all(&self) {
        self.set_all(ConnectionMode::Closed);
    }

    /// Returns the number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.shared.lock().len()
    }

    fn set_all(&self, mode: ConnectionMode) {
        self.shared.lock().values().for_each(|switch| switch.set(mode));
    }
}
