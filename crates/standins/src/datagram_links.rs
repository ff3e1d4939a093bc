//! Forwards datagrams between daemons on the loopback interface, and can lose or delay them.
//!
//! Each daemon has a public address, which the others are told. A datagram that arrives there is
//! passed on to the daemon from the public address of its sender, so that answers take the same way.

use {
    rand::RngExt,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
        io,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::net::UdpSocket,
};

/// Largest datagram.
const MAX_BYTES: usize = 64 << 10;
/// Most bytes that are recorded.
const MAX_RECORDED: usize = 64 << 20;

/// Links between daemons; they run until the thread's runtime ends. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct DatagramLinks(Rc<State>);

#[derive(Debug, Default)]
struct State {
    daemons: RefCell<Vec<Link>>,
    /// Part of the datagrams that is lost.
    loss: Cell<f64>,
    /// Part of the datagrams in JSON that is lost, among them those on quotas but no gossip.
    json_loss: Cell<f64>,
    delay: Cell<Duration>,
    isolated: RefCell<BTreeSet<SocketAddr>>,
    /// The bytes of all datagrams while they are recorded.
    recorded: RefCell<Option<Vec<u8>>>,
}

#[derive(Clone, Debug)]
struct Link {
    public: SocketAddr,
    socket: Rc<UdpSocket>,
    /// The daemon's own address, once it is known.
    daemon: Option<SocketAddr>,
}

impl DatagramLinks {
    /// Opens the public address of a daemon, on the current thread's runtime.
    ///
    /// # Errors
    ///
    /// The socket cannot be bound.
    pub async fn bind(&self, at: SocketAddr) -> io::Result<SocketAddr> {
        let socket = Rc::new(UdpSocket::bind(at).await?);
        let public = socket.local_addr()?;
        self.0.daemons.borrow_mut().push(Link {
            public,
            socket: socket.clone(),
            daemon: None,
        });
        let links = self.clone();
        actix_rt::spawn(async move {
            let mut buffer = vec![0; MAX_BYTES];
            loop {
                if let Ok((length, from)) = socket.recv_from(&mut buffer).await {
                    links.forward(public, from, &buffer[..length]).await;
                }
            }
        });
        Ok(public)
    }

    /// Sets the daemon behind a public address.
    pub fn set_daemon(&self, public: SocketAddr, daemon: SocketAddr) {
        for link in self.0.daemons.borrow_mut().iter_mut() {
            if link.public == public {
                link.daemon = Some(daemon);
            }
        }
    }

    /// Sets the part of all datagrams that is lost.
    pub fn set_loss(&self, part: f64) {
        self.0.loss.set(part);
    }

    /// Sets the part of the datagrams in JSON that is lost. Those on quotas are in JSON, those of the
    /// membership protocol are not.
    pub fn set_json_loss(&self, part: f64) {
        self.0.json_loss.set(part);
    }

    /// Delays each datagram.
    pub fn set_delay(&self, delay: Duration) {
        self.0.delay.set(delay);
    }

    /// Loses all datagrams from and to a daemon, or no longer.
    pub fn set_isolated(&self, public: SocketAddr, isolated: bool) {
        let mut all = self.0.isolated.borrow_mut();
        if isolated {
            all.insert(public);
        } else {
            all.remove(&public);
        }
    }

    /// Begins to record the bytes of all datagrams.
    pub fn record(&self) {
        self.0.recorded.replace(Some(Vec::new()));
    }

    /// Ends the recording and returns what was recorded.
    #[must_use]
    pub fn take_recorded(&self) -> Vec<u8> {
        self.0.recorded.take().unwrap_or_default()
    }

    async fn forward(&self, public: SocketAddr, from: SocketAddr, bytes: &[u8]) {
        let state = &self.0;
        let find = |matches: &dyn Fn(&Link) -> bool| {
            let daemons = state.daemons.borrow();
            daemons.iter().find(|l| matches(l)).cloned()
        };
        let receiver = find(&|l| l.public == public).and_then(|l| l.daemon);
        let (Some(receiver), Some(sender)) = (receiver, find(&|l| l.daemon == Some(from))) else {
            return;
        };
        if let Some(recorded) = state.recorded.borrow_mut().as_mut()
            && recorded.len() + bytes.len() < MAX_RECORDED
        {
            recorded.extend_from_slice(bytes);
        }
        let is_cut = {
            let isolated = state.isolated.borrow();
            isolated.contains(&public) || isolated.contains(&sender.public)
        };
        let json_loss = match bytes.first() {
            Some(b'{') => state.json_loss.get(),
            _ => 0.0,
        };
        let loss = state.loss.get().max(json_loss);
        if is_cut || rand::rng().random_bool(loss.clamp(0.0, 1.0)) {
            return;
        }
        let delay = state.delay.get();
        if delay.is_zero() {
            // A datagram that cannot be sent is lost like any other.
            let _ = sender.socket.send_to(bytes, receiver).await;
            return;
        }
        let bytes = bytes.to_vec();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(delay).await;
            let _ = sender.socket.send_to(&bytes, receiver).await;
        });
    }
}
