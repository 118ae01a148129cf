//! Tests that a reserved port is neither taken nor lost.

use {
    damaskrack_ports::PortReservation,
    std::{
        io::{ErrorKind, Read},
        net::{SocketAddr, TcpListener, TcpStream},
    },
};

fn reserve() -> PortReservation {
    PortReservation::any().expect("a free port")
}

fn failure<T>(result: std::io::Result<T>) -> Option<ErrorKind> {
    result.err().map(|error| error.kind())
}

/// Accepts a connection and closes it first, which leaves the port in TIME_WAIT.
fn serve_one(address: SocketAddr) {
    let listener = TcpListener::bind(address).expect("the reserved port can be listened on");
    let mut client = TcpStream::connect(address).expect("a listener accepts");
    drop(listener.accept().expect("a connection"));
    assert_eq!(client.read(&mut [0]).expect("an end"), 0);
}

#[test]
fn a_port_is_not_taken_while_its_listener_is_down() {
    let port = reserve();
    for _ in 0..3 {
        assert_eq!(failure(PortReservation::bind(port.address())), Some(ErrorKind::AddrInUse));
        serve_one(port.address());
    }
}

#[test]
fn a_port_is_not_taken_while_its_listener_is_up() {
    let port = reserve();
    let _listener = TcpListener::bind(port.address()).expect("a listener");
    assert_eq!(failure(PortReservation::bind(port.address())), Some(ErrorKind::AddrInUse));
    assert_eq!(failure(TcpListener::bind(port.address())), Some(ErrorKind::AddrInUse));
}

#[test]
fn a_port_that_a_listener_has_is_not_reserved() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    assert_eq!(failure(PortReservation::bind(address)), Some(ErrorKind::AddrInUse));
}

#[test]
fn a_reserved_port_refuses_connections_until_it_is_listened_on() {
    let port = reserve();
    let address = port.address();
    assert_eq!(failure(TcpStream::connect(address)), Some(ErrorKind::ConnectionRefused));
    let _listener = port.listen().expect("a listener");
    assert!(TcpStream::connect(address).is_ok());
    assert_eq!(failure(PortReservation::bind(address)), Some(ErrorKind::AddrInUse));
}
