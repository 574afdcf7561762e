//! Reads from the operating system how much of what was sent on a connection its peer has acknowledged.

use std::time::Duration;

use nix::getsockopt_impl;
use nix::libc;
use nix::sys::socket::getsockopt;
use nix::sys::socket::sockopt::GetStruct;
use sedgeridge_fleet::peer_silence::SentState;
use tokio::net::TcpStream;

/// The socket option `TCP_INFO`.
#[derive(Debug, Clone, Copy)]
struct TcpInfo;

getsockopt_impl!(
    TcpInfo,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    libc::tcp_info,
    GetStruct<libc::tcp_info>
);

/// Returns the state of the bytes that were sent on a connection; `None` if the system does not tell.
pub fn read(stream: &TcpStream) -> Option<SentState> {
    let info = getsockopt(stream, TcpInfo).ok()?;
    let is_unanswered = info.tcpi_retransmits > 0 || info.tcpi_probes > 0;
    Some(SentState {
        // The system sends probes of a closed window at growing intervals, and counts these as a backoff.
        is_outstanding: is_unanswered || info.tcpi_unacked > 0 || info.tcpi_backoff > 0,
        is_unanswered,
        since_answer: Duration::from_millis(info.tcpi_last_ack_recv.into()),
    })
}
