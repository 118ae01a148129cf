//! Tests of the ports of the daemons.

use {super::DaemonPorts, damaskrack_ports::PortReservation, std::net::TcpListener};

// Another program got the port before the daemon listened, or while it was down.
#[test]
fn a_port_is_not_taken_while_a_daemon_is_down() {
    let ports = DaemonPorts::reserve().expect("free ports");
    for address in ports.addresses() {
        for _ in 0..2 {
            assert!(PortReservation::bind(address).is_err(), "{address}");
            TcpListener::bind(address).expect("the daemon starts");
        }
    }
}
