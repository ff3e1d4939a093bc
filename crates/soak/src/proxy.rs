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
const CHUNK: usize = 8 << 10;

/// What a proxy does with what it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Link {
    Open,
    Delayed(Duration),
    /// Nothing passes; connections stay open.
    Silent,
    /// Requests pass, answers do not.
    OneWay,
    /// Connections are reset.
    Reset,
}

/// A running proxy before one address.
pub(crate) struct Proxy {
    pub(crate) addr: SocketAddr,
    link: watch::Sender<Link>,
}

impl Proxy {
    /// Starts a proxy on this thread.
    pub(crate) async fn spawn(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (link, seen) = watch::channel(Link::Open);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // A connection that breaks is seen by its two ends.
                actix_rt::spawn(carry(stream, to, seen.clone()));
            }
        });
        Ok(Self { addr, link })
    }

    pub(crate) fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

async fn carry(mut caller: TcpStream, to: SocketAddr, mut link: watch::Receiver<Link>) {
    let Ok(mut server) = TcpStream::connect(to).await else {
        return;
    };
    let reset = {
        let (mut from_caller, mut to_caller) = caller.split();
        let (mut from_server, mut to_server) = server.split();
        let there = pump(&mut from_caller, &mut to_server, link.clone(), false);
        let back = pump(&mut from_server, &mut to_caller, link.clone(), true);
        tokio::select! {
            _ = async { tokio::join!(there, back) } => false,
            _ = link.wait_for(|l| *l == Link::Reset) => true,
        }
    };
    if reset {
        for stream in [&caller, &server] {
            // Without it the ends would see an orderly close.
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

async fn pump(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    mut link: watch::Receiver<Link>,
    back: bool,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK];
    loop {
        let count = from.read(&mut chunk).await?;
        let passes = |l: &Link| !(*l == Link::Silent || (*l == Link::OneWay && back));
        let now = link.wait_for(passes).await.map(|l| *l);
        if let Ok(Link::Delayed(time)) = now {
            actix_rt::time::sleep(time).await;
        }
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&chunk[..count]).await?;
    }
}
