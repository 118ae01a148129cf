//! A TCP port that is held for a process which listens on it later or restarts.

use {
    socket2::{Domain, Socket, Type},
    std::{
        io::{self, ErrorKind},
        net::{Ipv4Addr, SocketAddr, TcpListener},
    },
};

/// Length of the queue of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// A TCP port that no other reservation, listener on any port or outgoing connection gets until this
/// value is dropped.
///
/// The port is held by a socket that is bound and does not listen, so connections are refused. It
/// is bound without `SO_REUSEADDR`, which fails if any other socket has the port. The option is set
/// afterwards, and Linux then lets a listener that has set it too share the port: the listeners of
/// std and tokio do, in this or another process, as often as needed.
#[derive(Debug)]
pub struct PortReservation {
    socket: Socket,
    address: SocketAddr,
}

impl PortReservation {
    /// Reserves the port of an address; port 0 selects a free port.
    ///
    /// ```
    /// use {damaskrack_ports::PortReservation, std::net::TcpListener};
    ///
    /// let port = PortReservation::bind(([127, 0, 0, 1], 0).into())?;
    /// assert!(PortReservation::bind(port.address()).is_err());
    /// drop(TcpListener::bind(port.address())?);
    /// TcpListener::bind(port.address())?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::AddrInUse`] if another socket has the port, and with other errors if
    /// the address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.bind(&address.into())?;
        socket.set_reuse_address(true)?;
        let address = socket.local_addr()?.as_socket().ok_or(ErrorKind::AddrNotAvailable)?;
        Ok(Self { socket, address })
    }

    /// Reserves a free port of the loopback interface.
    ///
    /// ```
    /// use {damaskrack_ports::PortReservation, std::net::TcpStream};
    ///
    /// let port = PortReservation::any()?;
    /// assert!(TcpStream::connect(port.address()).is_err());
    /// # Ok::<(), std::io::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn any() -> io::Result<Self> {
        Self::bind((Ipv4Addr::LOCALHOST, 0).into())
    }

    /// Returns the reserved address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens on the port, which stays reserved until the listener is closed.
    ///
    /// ```
    /// use {damaskrack_ports::PortReservation, std::net::TcpStream};
    ///
    /// let listener = PortReservation::any()?.listen()?;
    /// TcpStream::connect(listener.local_addr()?)?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if another socket listens on the port.
    pub fn listen(self) -> io::Result<TcpListener> {
        self.socket.listen(BACKLOG)?;
        Ok(self.socket.into())
    }
}
