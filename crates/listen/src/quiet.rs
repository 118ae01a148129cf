//! Keeps new connections away from a listener that is about to be closed.
//!
//! Closing a listener resets every connection that the kernel has made but the process has not
//! taken yet, and a client may have sent its request on one of these. Emptying the queue first is
//! not enough, as another connection can be made between the last look and the close. The kernel
//! is therefore told to drop requests for new connections, while the handshakes that have begun
//! may end; the queue that is emptied after that stays empty. A client whose request was dropped
//! repeats it and is refused by the closed port, so it knows that nothing was sent.

use {
    socket2::{SockFilter, SockRef},
    std::io,
    tokio::net::TcpListener,
};

/// Loads one byte of the packet: `BPF_LD | BPF_B | BPF_ABS`.
const LOAD_BYTE: u16 = 0x30;
/// Skips instructions by whether bits are set: `BPF_JMP | BPF_JSET | BPF_K`.
const JUMP_IF_SET: u16 = 0x45;
/// Ends with the number of bytes to keep: `BPF_RET | BPF_K`.
const RETURN: u16 = 0x06;
/// Place of the flags in a TCP header, in bytes.
const FLAGS_OFFSET: u32 = 13;
/// The flag of a request for a connection.
const SYN_FLAG: u32 = 0x02;

/// Drops every further request for a connection to a listener.
pub(crate) fn refuse_new(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&[
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_SET, 0, 1, SYN_FLAG),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ])
}
