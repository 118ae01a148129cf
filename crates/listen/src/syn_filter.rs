//! A socket filter that drops new SYN packets to a listener before it is closed.
//!
//! Closing a listener resets every connection that the kernel has established but the process has
//! not accepted yet, and a client may have sent its request on one of these. Draining the accept
//! queue first is not enough, because another connection can be established between the last accept
//! and the close. The filter therefore makes the kernel drop SYN packets, while handshakes in
//! progress may complete; once drained after that, the queue stays empty. A client whose SYN was
//! dropped retransmits it and is refused by the closed port, so it knows that nothing was sent.

use {
    socket2::{SockFilter, SockRef},
    std::io,
    tokio::net::TcpListener,
};

/// Loads one byte of the packet: `BPF_LD | BPF_B | BPF_ABS`.
const LOAD_BYTE: u16 = 0x30;
/// Jumps depending on whether bits are set: `BPF_JMP | BPF_JSET | BPF_K`.
const JUMP_IF_SET: u16 = 0x45;
/// Returns the number of bytes of the packet to keep: `BPF_RET | BPF_K`.
const RETURN: u16 = 0x06;
/// Offset of the flags in a TCP header, in bytes.
const FLAGS_OFFSET: u32 = 13;
/// The SYN flag, which requests a connection.
const SYN_FLAG: u32 = 0x02;

/// Makes the kernel drop all further SYN packets to a listener.
pub(crate) fn drop_new_syns(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&[
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_SET, 0, 1, SYN_FLAG),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ])
}
