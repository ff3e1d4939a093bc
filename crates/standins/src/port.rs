//! A TCP port that no other socket gets while the stand-in that owns it is stopped.

use {
    std::{io, net::SocketAddr},
    tokio::net::{TcpListener, TcpSocket},
};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Keeps a port for one stand-in. Connections to it are refused unless it listens.
///
/// Without this, the system may give the port of a stopped stand-in to an outgoing connection, and the
/// stand-in cannot listen when it is started again.
#[derive(Debug)]
pub(crate) struct ReservedPort {
    addr: SocketAddr,
    /// Bound, but never listening.
    _socket: TcpSocket,
}

impl ReservedPort {
    /// Reserves the port of `at`, or a free one if it is 0.
    ///
    /// # Errors
    ///
    /// There are no file descriptors left, or another socket listens on the port.
    pub(crate) fn bind(at: SocketAddr) -> io::Result<Self> {
        let socket = new_socket(at)?;
        // Otherwise connections in TIME-WAIT, which last for a minute, would keep the port from use.
        socket.set_reuseaddr(at.port() != 0)?;
        socket.bind(at)?;
        // A free port is chosen before, so that no other socket has it.
        socket.set_reuseaddr(true)?;
        Ok(Self {
            addr: socket.local_addr()?,
            _socket: socket,
        })
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Listens on the port until the listener is dropped.
    ///
    /// # Errors
    ///
    /// There are no file descriptors left, or an earlier listener still exists.
    pub(crate) fn listen(&self) -> io::Result<TcpListener> {
        let socket = new_socket(self.addr)?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.addr)?;
        socket.listen(BACKLOG)
    }
}

fn new_socket(addr: SocketAddr) -> io::Result<TcpSocket> {
    if addr.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }
}
