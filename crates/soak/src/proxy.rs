//! A TCP proxy on the loopback interface that injects network faults: delay, stalls, stalls in one
//! direction, and resets.
//!
//! It works on the byte stream, so it needs no privileges, but it cannot lose or reorder packets.
//! Connections are accepted in every mode.

use {
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// Bytes forwarded at once; each chunk is delayed by itself.
const CHUNK_BYTES: usize = 8 << 10;

/// What a proxy does with its connections, those that are open and those to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkMode {
    Normal,
    /// Each chunk is held back this long, in both directions.
    Delayed(Duration),
    /// Nothing passes, but connections stay open.
    Stalled,
    /// Bytes pass to the server but not back.
    RequestsOnly,
    /// Connections are reset.
    Reset,
}

/// A running proxy in front of one server.
pub(crate) struct Proxy {
    /// Where it accepts connections.
    pub(crate) addr: SocketAddr,
    mode: watch::Sender<LinkMode>,
}

impl Proxy {
    /// Starts a proxy for the server at `to`, on the current thread's runtime.
    pub(crate) async fn spawn(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (mode, receiver) = watch::channel(LinkMode::Normal);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // The result is ignored: the caller and the server notice a broken connection.
                actix_rt::spawn(forward(stream, to, receiver.clone()));
            }
        });
        Ok(Self { addr, mode })
    }

    /// Changes the mode, also for connections that are open.
    pub(crate) fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

/// Forwards one connection until it ends or is reset.
async fn forward(mut caller: TcpStream, to: SocketAddr, mut mode: watch::Receiver<LinkMode>) {
    let Ok(mut server) = TcpStream::connect(to).await else {
        return;
    };
    let reset = {
        let (mut from_caller, mut to_caller) = caller.split();
        let (mut from_server, mut to_server) = server.split();
        let upstream = copy_one_way(&mut from_caller, &mut to_server, mode.clone(), false);
        let downstream = copy_one_way(&mut from_server, &mut to_caller, mode.clone(), true);
        tokio::select! {
            _ = async { tokio::join!(upstream, downstream) } => false,
            _ = mode.wait_for(|l| *l == LinkMode::Reset) => true,
        }
    };
    if reset {
        for stream in [&caller, &server] {
            // With a linger time of zero, closing sends RST instead of FIN.
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Copies one direction of a connection; `answers` says whether it is the one from the server.
async fn copy_one_way(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    mut mode: watch::Receiver<LinkMode>,
    answers: bool,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = from.read(&mut chunk).await?;
        let passes =
            |l: &LinkMode| !(*l == LinkMode::Stalled || (*l == LinkMode::RequestsOnly && answers));
        let now = mode.wait_for(passes).await.map(|l| *l);
        if let Ok(LinkMode::Delayed(time)) = now {
            actix_rt::time::sleep(time).await;
        }
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&chunk[..count]).await?;
    }
}
