//! Guards against connections that are still in the accept queue when their listener closes, and
//! are reset with the client's request unanswered.

use {
    damaskrack_listen::accept_until,
    std::{
        collections::VecDeque,
        io::{Read, Write},
        net::{SocketAddr, TcpStream as BlockingStream},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::{JoinHandle, spawn},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
    tokio_util::sync::CancellationToken,
};

/// Number of clients that connect in a loop without pause.
const CLIENTS: usize = 4;
/// Time for which each listener accepts before it is closed, in milliseconds.
const SERVE_MS: u64 = 10;
/// Timeout for a client to connect, in milliseconds.
const CONNECT_MS: u64 = 50;

/// Number of responses that one client received, and number of its connections that failed after
/// they were established.
#[derive(Debug, Default)]
struct ClientCount {
    answered: usize,
    failed: usize,
}

impl ClientCount {
    fn read_response(&mut self, socket: Option<BlockingStream>) {
        let mut response = [0];
        match socket.map(|mut socket| socket.read_exact(&mut response)) {
            Some(Ok(())) => self.answered += 1,
            Some(Err(_)) => self.failed += 1,
            None => {}
        }
    }
}

/// Connects and sends requests without pause, and reads each response much later: a client that
/// waited for each response would never connect while the listener closes.
fn run_client(
    address: SocketAddr,
    max_unanswered: usize,
    is_over: Arc<AtomicBool>,
) -> JoinHandle<ClientCount> {
    spawn(move || {
        let mut count = ClientCount::default();
        let mut pending = VecDeque::new();
        let connect_limit = Duration::from_millis(CONNECT_MS);
        while !is_over.load(Ordering::Relaxed) {
            // Nothing was sent on a refused connection.
            let socket = BlockingStream::connect_timeout(&address, connect_limit);
            let Ok(mut socket) = socket else { continue };
            match socket.write_all(b"?") {
                Ok(()) => pending.push_back(socket),
                Err(_) => count.failed += 1,
            }
            if pending.len() > max_unanswered {
                count.read_response(pending.pop_front());
            }
        }
        while !pending.is_empty() {
            count.read_response(pending.pop_front());
        }
        count
    })
}

async fn respond(mut socket: TcpStream) {
    let mut request = [0];
    if socket.read_exact(&mut request).await.is_ok() {
        let _ = socket.write_all(b"!").await;
    }
}

/// Opens and closes `rounds` listeners while each client leaves up to `max_unanswered` requests
/// without reading their responses.
async fn count_rounds(rounds: usize, max_unanswered: usize) -> ClientCount {
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let mut total = ClientCount::default();
    for _ in 0..rounds {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let is_over = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| run_client(address, max_unanswered, Arc::clone(&is_over)))
            .collect();
        let stop = CancellationToken::new();
        let stopper = stop.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(SERVE_MS)).await;
            stopper.cancel();
        });
        accept_until(listener, &stop, &logger, |socket, _| {
            tokio::spawn(respond(socket));
        })
        .await;
        is_over.store(true, Ordering::Relaxed);
        for client in clients {
            let count = tokio::task::spawn_blocking(move || client.join()).await;
            let count = count.expect("a task").expect("a client");
            total.answered += count.answered;
            total.failed += count.failed;
        }
    }
    assert!(total.answered > rounds, "{total:?}");
    total
}

#[tokio::test]
async fn a_listener_that_closes_resets_no_connection() {
    let count = count_rounds(40, 48).await;
    assert_eq!(count.failed, 0, "{count:?}");
}

#[tokio::test]
async fn a_listener_whose_queue_is_full_resets_no_connection() {
    let count = count_rounds(12, usize::MAX).await;
    assert_eq!(count.failed, 0, "{count:?}");
}
