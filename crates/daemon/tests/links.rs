//! Links between daemons over loopback: verification of the peer, replacement of idle connections,
//! and frames of superseded connections.

#![allow(clippy::unwrap_used)]

mod support;

use {
    damaskrack_daemon::{DaemonServer, LimitSettings},
    damaskrack_model::MemberName,
    damaskrack_node::{NodeAction, NodeInput},
    damaskrack_wire::{HelloFrame, PeerCodec, PeerFrame, PeerMessage},
    futures_util::{SinkExt, StreamExt},
    std::{net::SocketAddr, time::Duration},
    support::{CoreProbe, TEST_TIMEOUT, echo_script, start_with, test_config},
    tokio::{
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
    tokio_util::codec::Framed,
};

type PeerStream = Framed<TcpStream, PeerCodec>;

fn name(text: &str) -> MemberName {
    text.parse().unwrap()
}

fn message(have: u64) -> PeerMessage {
    PeerMessage::ManifestPull { have }
}

fn pulled(input: &NodeInput) -> Option<u64> {
    match input {
        NodeInput::Peer { message: PeerMessage::ManifestPull { have }, .. } => Some(*have),
        _ => None,
    }
}

fn is_up(input: &NodeInput) -> bool {
    matches!(input, NodeInput::PeerUp { .. })
}

fn is_down(input: &NodeInput) -> bool {
    matches!(input, NodeInput::PeerDown { .. })
}

async fn start(member: &str) -> (DaemonServer, CoreProbe) {
    start_with(test_config(member), echo_script).await
}

fn connect(probe: &CoreProbe, member: &str, address: SocketAddr) {
    probe.act(NodeAction::Connect { member: name(member), address });
}

fn send(probe: &CoreProbe, member: &str, have: u64) {
    probe.act(NodeAction::Peer { member: name(member), message: message(have) });
}

async fn next_frame(stream: &mut PeerStream) -> Option<PeerFrame> {
    timeout(TEST_TIMEOUT, stream.next()).await.unwrap()?.ok()
}

async fn next_message(stream: &mut PeerStream) -> Option<PeerMessage> {
    loop {
        match next_frame(stream).await? {
            PeerFrame::Message(message) => return Some(message),
            PeerFrame::Hello(_) | PeerFrame::Pulse { .. } => {}
        }
    }
}

/// Connects to a daemon as the peer `member`.
async fn dial(address: SocketAddr, member: &str, boot: u64, generation: u64) -> PeerStream {
    let mut stream = Framed::new(TcpStream::connect(address).await.unwrap(), PeerCodec::new());
    let hello = HelloFrame::dialler(name(member), boot).with_generation(generation);
    stream.send(PeerFrame::Hello(hello)).await.unwrap();
    let Some(PeerFrame::Hello(reply)) = next_frame(&mut stream).await else { panic!() };
    assert!(!reply.is_dialler);
    stream
}

/// Accepts a daemon's connection as the peer `member`.
async fn accept(listener: &TcpListener, member: &str, boot: u64) -> (PeerStream, HelloFrame) {
    let (socket, _) = timeout(TEST_TIMEOUT, listener.accept()).await.unwrap().unwrap();
    let mut stream = Framed::new(socket, PeerCodec::new());
    let Some(PeerFrame::Hello(hello)) = next_frame(&mut stream).await else { panic!() };
    let own = HelloFrame::listener(name(member), boot);
    stream.send(PeerFrame::Hello(own)).await.unwrap();
    (stream, hello)
}

#[tokio::test]
async fn two_daemons_exchange_messages_in_order() {
    const MESSAGES: u64 = 500;
    let (one, one_probe) = start("entry-1").await;
    let (two, two_probe) = start("entry-2").await;
    connect(&one_probe, "entry-2", two.addresses().peer);
    connect(&two_probe, "entry-1", one.addresses().peer);
    one_probe.wait_for(1, is_up).await;
    two_probe.wait_for(1, is_up).await;
    for have in 0..MESSAGES {
        send(&one_probe, "entry-2", have);
        send(&two_probe, "entry-1", MESSAGES + have);
    }
    let is_pull = |input: &NodeInput| pulled(input).is_some();
    one_probe.wait_for(500, is_pull).await;
    two_probe.wait_for(500, is_pull).await;
    let got: Vec<_> = two_probe.inputs().iter().filter_map(pulled).collect();
    assert_eq!(got, (0..MESSAGES).collect::<Vec<_>>());
    let got: Vec<_> = one_probe.inputs().iter().filter_map(pulled).collect();
    assert_eq!(got, (MESSAGES..2 * MESSAGES).collect::<Vec<_>>());
    // Keepalives alone keep idle links up beyond the idle timeout.
    sleep(Duration::from_millis(1_200)).await;
    assert_eq!((one_probe.count(is_down), two_probe.count(is_down)), (0, 0));
    one.shutdown().await;
    two.shutdown().await;
}

#[tokio::test]
async fn a_silent_connection_is_replaced() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (server, probe) = start("entry-1").await;
    connect(&probe, "entry-2", listener.local_addr().unwrap());
    // The peer completes the handshake and then sends nothing; the socket stays open.
    let (silent, first) = accept(&listener, "entry-2", 7).await;
    probe.wait_for(1, is_up).await;
    let (mut live, second) = accept(&listener, "entry-2", 7).await;
    assert!(second.generation > first.generation);
    assert_eq!((first.member, first.boot), (second.member, second.boot));
    probe.wait_for(1, is_down).await;
    probe.wait_for(2, is_up).await;
    send(&probe, "entry-2", 5);
    assert_eq!(next_message(&mut live).await, Some(message(5)));
    drop(silent);
    server.shutdown().await;
}

#[tokio::test]
async fn a_peer_that_never_reads_is_replaced() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (server, probe) = start("entry-1").await;
    connect(&probe, "entry-2", listener.local_addr().unwrap());
    let (mut stuck, _) = accept(&listener, "entry-2", 7).await;
    probe.wait_for(1, is_up).await;
    // The peer sends keepalives but reads nothing, so the socket's buffers fill up.
    let pulses = tokio::spawn(async move {
        while stuck.send(PeerFrame::Pulse { received: 0 }).await.is_ok() {
            sleep(Duration::from_millis(50)).await;
        }
    });
    let json = "x".repeat(1 << 20);
    for version in 0..32 {
        let message = PeerMessage::ManifestPush { version, json: json.clone() };
        probe.act(NodeAction::Peer { member: name("entry-2"), message });
    }
    probe.wait_for(1, is_down).await;
    pulses.abort();
    server.shutdown().await;
}

#[tokio::test]
async fn a_silent_dialler_is_closed() {
    let (server, probe) = start("entry-1").await;
    let mut stream = dial(server.addresses().peer, "entry-2", 7, 1).await;
    stream.send(PeerFrame::Message(message(1))).await.unwrap();
    probe.wait_for(1, |input| pulled(input) == Some(1)).await;
    while next_frame(&mut stream).await.is_some() {}
    server.shutdown().await;
}

#[tokio::test]
async fn frames_of_an_older_connection_are_discarded() {
    let (server, probe) = start("entry-1").await;
    let address = server.addresses().peer;
    let mut second = dial(address, "entry-2", 7, 2).await;
    second.send(PeerFrame::Message(message(20))).await.unwrap();
    probe.wait_for(1, |input| pulled(input) == Some(20)).await;
    // A hello delayed in the network arrives after that of a later connection.
    let mut first = dial(address, "entry-2", 7, 1).await;
    let _ = first.send(PeerFrame::Message(message(10))).await;
    assert_eq!(next_message(&mut first).await, None);
    let mut third = dial(address, "entry-2", 7, 3).await;
    third.send(PeerFrame::Message(message(30))).await.unwrap();
    probe.wait_for(1, |input| pulled(input) == Some(30)).await;
    let _ = second.send(PeerFrame::Message(message(21))).await;
    assert_eq!(next_message(&mut second).await, None);
    third.send(PeerFrame::Message(message(31))).await.unwrap();
    probe.wait_for(1, |input| pulled(input) == Some(31)).await;
    let got: Vec<_> = probe.inputs().iter().filter_map(pulled).collect();
    assert_eq!(got, [20, 30, 31]);
    // A restarted process of the same name starts its own generations.
    let mut reborn = dial(address, "entry-2", 8, 1).await;
    reborn.send(PeerFrame::Message(message(40))).await.unwrap();
    probe.wait_for(1, |input| pulled(input) == Some(40)).await;
    server.shutdown().await;
}

#[tokio::test]
async fn somebody_else_at_the_address_is_not_the_peer() {
    let (one, one_probe) = start("entry-1").await;
    let (two, two_probe) = start("entry-2").await;
    connect(&one_probe, "entry-3", two.addresses().peer);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(one_probe.count(is_up), 0);
    send(&one_probe, "entry-3", 1);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(two_probe.count(|input| pulled(input).is_some()), 0);
    // With the correct member name the link comes up.
    connect(&one_probe, "entry-2", two.addresses().peer);
    one_probe.wait_for(1, is_up).await;
    one.shutdown().await;
    two.shutdown().await;
}

#[tokio::test]
async fn a_daemon_is_not_its_own_peer() {
    let (server, probe) = start("entry-1").await;
    let mut stream = dial(server.addresses().peer, "entry-1", 7, 1).await;
    let _ = stream.send(PeerFrame::Message(message(1))).await;
    assert_eq!(next_message(&mut stream).await, None);
    assert_eq!(probe.count(|input| pulled(input).is_some()), 0);
    server.shutdown().await;
}

#[tokio::test]
async fn a_restarted_peer_is_met_again_under_its_new_boot() {
    let (one, probe) = start("entry-1").await;
    let (two, _) = start("entry-2").await;
    let address = two.addresses().peer;
    connect(&probe, "entry-2", address);
    probe.wait_for(1, is_up).await;
    two.shutdown().await;
    probe.wait_for(1, is_down).await;
    let config = test_config("entry-2").with_peer_address(address);
    let (two, _) = start_with(config, echo_script).await;
    probe.wait_for(2, is_up).await;
    let boots: Vec<_> = probe
        .inputs()
        .iter()
        .filter_map(|input| match input {
            NodeInput::PeerUp { boot, .. } => Some(*boot),
            _ => None,
        })
        .collect();
    assert_ne!(boots[0], boots[1]);
    one.shutdown().await;
    two.shutdown().await;
}

#[tokio::test]
async fn a_full_queue_drops_and_the_link_stays() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let limits = LimitSettings { link_queue: 16, ..LimitSettings::default() };
    let config = test_config("entry-1").with_limits(limits);
    let (server, probe) = start_with(config, echo_script).await;
    connect(&probe, "entry-2", listener.local_addr().unwrap());
    let (mut stream, _) = accept(&listener, "entry-2", 7).await;
    probe.wait_for(1, is_up).await;
    let batch: Vec<_> = (0..200).collect();
    // One tick sends more messages than the queue holds.
    for have in batch {
        send(&probe, "entry-2", have);
    }
    let first = next_message(&mut stream).await;
    assert_eq!(first, Some(message(0)));
    stream.send(PeerFrame::Pulse { received: 1 }).await.unwrap();
    send(&probe, "entry-2", 999);
    while next_message(&mut stream).await != Some(message(999)) {}
    server.shutdown().await;
}

#[tokio::test]
async fn a_daemon_whose_core_has_ended_is_not_up() {
    let (one, probe) = start("entry-1").await;
    let (two, two_probe) = start_with(test_config("entry-2"), echo_script).await;
    connect(&probe, "entry-2", two.addresses().peer);
    probe.wait_for(1, is_up).await;
    two_probe.act(NodeAction::Exit);
    probe.wait_for(1, is_down).await;
    // Its HTTP ports refuse late requests until the server has stopped.
    timeout(TEST_TIMEOUT, two.wait()).await.unwrap();
    sleep(Duration::from_millis(300)).await;
    assert_eq!((probe.count(is_up), probe.count(is_down)), (1, 1));
    one.shutdown().await;
}

#[tokio::test]
async fn a_core_that_has_ended_still_answers_its_peers() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (server, probe) = start_with(test_config("entry-1"), |input| match pulled(input) {
        Some(have) => vec![NodeAction::Peer { member: name("entry-2"), message: message(have) }],
        None => echo_script(input),
    })
    .await;
    connect(&probe, "entry-2", listener.local_addr().unwrap());
    let (mut responses, _) = accept(&listener, "entry-2", 7).await;
    let mut requests = dial(server.addresses().peer, "entry-2", 7, 1).await;
    probe.wait_for(1, is_up).await;
    probe.act(NodeAction::Exit);
    sleep(Duration::from_millis(80)).await;
    requests.send(PeerFrame::Message(message(9))).await.unwrap();
    assert_eq!(next_message(&mut responses).await, Some(message(9)));
    timeout(TEST_TIMEOUT, server.wait()).await.unwrap();
}

#[tokio::test]
async fn last_messages_are_written_before_exit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (server, probe) = start_with(test_config("entry-1"), |input| match input {
        NodeInput::Shutdown => {
            let messages = (0..100)
                .map(|have| NodeAction::Peer { member: name("entry-2"), message: message(have) });
            messages.chain([NodeAction::Exit]).collect()
        }
        _ => Vec::new(),
    })
    .await;
    connect(&probe, "entry-2", listener.local_addr().unwrap());
    let (mut stream, _) = accept(&listener, "entry-2", 7).await;
    probe.wait_for(1, is_up).await;
    server.shutdown().await;
    for have in 0..100 {
        assert_eq!(next_message(&mut stream).await, Some(message(have)));
    }
}
