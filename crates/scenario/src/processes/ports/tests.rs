//! Tests of the choice of ports.

use {
    super::reserve_port,
    rand::{SeedableRng, rngs::SmallRng},
    std::net::TcpListener,
};

// A script that drew the same port took it before the daemon listened, or while it was down.
#[test]
fn a_port_is_not_taken_by_another_script_while_its_daemon_is_down() {
    let script = || SmallRng::seed_from_u64(41);
    let port = reserve_port(&mut script()).expect("a free port");
    for _ in 0..2 {
        let other = reserve_port(&mut script()).expect("a free port");
        let _listener = TcpListener::bind(other.address()).expect("the other script's daemon");
        TcpListener::bind(port.address()).expect("the daemon starts");
    }
}
