//! A TCP proxy on the loopback interface that injects network faults: delay, stalls, stalls in one
//! direction, resets, and connections that fall silent for good.
//!
//! It works on the byte stream, so it needs no privileges, but it cannot lose or reorder packets.
//! Connections are accepted in every mode.

use {
    crate::port::ReservedPort,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::watch,
    },
};

/// Bytes forwarded at once; each chunk is delayed by itself.
const CHUNK_BYTES: usize = 8 << 10;

/// What a proxy does with its connections, those that are open and those to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Everything passes.
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

/// A running proxy in front of one server. It runs until its thread's runtime ends.
#[derive(Debug)]
pub struct Proxy {
    /// Where it accepts connections.
    pub addr: SocketAddr,
    server: watch::Sender<SocketAddr>,
    mode: watch::Sender<LinkMode>,
    /// How often the open connections were silenced.
    silences: watch::Sender<u64>,
    accepting: watch::Sender<bool>,
}

impl Proxy {
    /// Starts a proxy for `server` that listens at `at`, on the current thread's runtime.
    ///
    /// # Errors
    ///
    /// The listener cannot be bound.
    // A future, so that it is polled within the runtime that the listener needs.
    #[allow(clippy::unused_async)]
    pub async fn bind(at: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        let port = ReservedPort::bind(at)?;
        let (listener, addr) = (port.listen()?, port.addr());
        let (server, to) = watch::channel(server);
        let (mode, mode_receiver) = watch::channel(LinkMode::Normal);
        let (silences, seen) = watch::channel(0);
        let (accepting, mut accepts) = watch::channel(true);
        actix_rt::spawn(async move {
            let mut listener = Some(listener);
            loop {
                let accepted = async {
                    match &listener {
                        Some(listener) => listener.accept().await,
                        None => std::future::pending().await,
                    }
                };
                tokio::select! {
                    Ok((stream, _)) = accepted => {
                        let to = *to.borrow();
                        let forwarded = forward(stream, to, mode_receiver.clone(), seen.clone());
                        // The result is ignored: the caller and the server notice a broken connection.
                        actix_rt::spawn(forwarded);
                    }
                    Ok(()) = accepts.changed() => {
                        listener = None;
                        if *accepts.borrow_and_update() {
                            listener = port.listen().inspect_err(|e| eprintln!("{port:?}: {e}")).ok();
                        }
                    }
                    else => return,
                }
            }
        });
        Ok(Self {
            addr,
            server,
            mode,
            silences,
            accepting,
        })
    }

    /// Changes the server that new connections are forwarded to.
    pub fn set_server(&self, server: SocketAddr) {
        self.server.send_replace(server);
    }

    /// Changes the mode, also for connections that are open.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Sets whether new connections are accepted; otherwise they are refused.
    pub fn set_accepting(&self, accepting: bool) {
        self.accepting.send_replace(accepting);
    }

    /// Lets nothing pass any more on the connections that are open now. Neither end sees them
    /// close, and new connections work.
    pub fn silence_open(&self) {
        self.silences.send_modify(|count| *count += 1);
    }
}

/// Forwards one connection until it ends, is reset or falls silent.
async fn forward(
    mut caller: TcpStream,
    to: SocketAddr,
    mut mode: watch::Receiver<LinkMode>,
    mut silences: watch::Receiver<u64>,
) {
    silences.mark_unchanged();
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
            Ok(()) = silences.changed() => std::future::pending().await,
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
