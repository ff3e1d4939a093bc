//! Sending of datagrams to other daemons.

use {
    std::{net::SocketAddr, time::Duration},
    tokio::{net::UdpSocket, time::timeout},
};

/// Longest wait for room in the socket's send buffer, which frees up within microseconds at the speed of
/// the network.
const SEND_TIMEOUT: Duration = Duration::from_millis(1);

/// Sends a datagram. Messages between daemons are repeated, so one that cannot be sent counts as lost.
///
/// The wait is short because control does nothing else meanwhile, and would not notice a stop.
pub(crate) async fn send_datagram(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    let _ = timeout(SEND_TIMEOUT, socket.send_to(bytes, to)).await;
}
