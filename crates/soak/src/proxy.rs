//! A loopback proxy that delays, silences, cuts one way or resets what passes through it.

use {
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// Bytes carried at once.
const CHUNK_BYTES: usize = 8 << 10;

/// What a proxy does with what it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkMode {
    Normal,
    Delayed(Duration),
    /// Nothing passes; connections stay open.
    Stalled,
    /// Requests pass, answers do not.
    RequestsOnly,
    /// Connections are reset.
    Reset,
}

/// A running proxy before one address.
pub(crate) struct Proxy {
    pub(crate) addr: SocketAddr,
    mode: watch::Sender<LinkMode>,
}

impl Proxy {
    /// Starts a proxy on this thread.
    pub(crate) async fn spawn(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (mode, receiver) = watch::channel(LinkMode::Normal);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // A connection that breaks is seen by its two ends.
                actix_rt::spawn(forward(stream, to, receiver.clone()));
            }
        });
        Ok(Self { addr, mode })
    }

    pub(crate) fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

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
            // Without it the ends would see an orderly close.
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

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
