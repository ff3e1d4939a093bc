//! Minimal HTTP/1.1 server with limits on connections, header time and idle time.
//!
//! Daemons use it for callers and operators, and test stand-ins use it to act as targets and as the
//! platform. All connections of a listener run on the thread that spawned it, so handlers need not
//! be `Send`; a process that wants more threads spawns one listener on each.

mod connection;
mod connection_limit;

use {
    crate::connection::{ClientStream, Running},
    actix_http::{
        HttpMessage, HttpService, KeepAlive, Request, Response,
        body::{BoxBody, MessageBody},
    },
    actix_rt::net::TcpStream,
    actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service},
    futures::FutureExt,
    futures_core::Stream,
    std::{
        convert::Infallible,
        future::{Future, poll_fn},
        io,
        net::{SocketAddr, TcpListener},
        panic::AssertUnwindSafe,
        pin::Pin,
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{Notify, watch},
};

pub use {
    connection::{Connection, connection},
    connection_limit::{ConnectionLimit, LimitedConnection},
};

/// Time for which a closing listener's connections are still read. Bytes that have arrived by then
/// are read at once; the time is for the thread to be told of them.
const LAST_READ_TIME: Duration = Duration::from_millis(20);

/// Number of accepts that may fail when a listener closes. One that lacks descriptors fails again at
/// once, and the connections that wait cannot be served then.
pub const MAX_FAILED_ACCEPTS: u32 = 100;

/// Limits on the resources that the clients of one listener can use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest number of open connections; further ones are closed without an answer, unless
    /// [`Self::vm_memory`] is set.
    pub max_connections: usize,
    /// Memory of the VM in bytes. The oldest connections are closed when they need more than a listener's
    /// part of it; `None` closes none.
    pub vm_memory: Option<u64>,
    /// Largest request line and headers together, in bytes; a longer head is refused with status 431.
    /// `None` leaves the bound to the library, which is 128 KiB. Bytes of a body that a handler left
    /// unread count as well, so it is for listeners whose requests have no body.
    pub max_head: Option<usize>,
    /// Time that a client has to send the request line and headers.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Delay between accepting a connection and serving it. Stand-ins use it to simulate the cost
    /// of setting up a connection; it is zero otherwise.
    pub setup_delay: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            vm_memory: None,
            max_head: None,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(75),
            setup_delay: Duration::ZERO,
        }
    }
}

/// Connection counts of one listener, readable from any thread.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    /// Number of connections that are open.
    pub open: AtomicUsize,
    /// Largest number of connections that were open at the same time.
    pub peak: AtomicUsize,
    /// Total number of connections closed because of [`Limits::max_connections`].
    pub refused: AtomicU64,
}

/// Counts a connection as open until it is dropped.
struct OpenConnection(Arc<ConnectionCounts>);

impl OpenConnection {
    fn new(counts: &Arc<ConnectionCounts>) -> Self {
        let open = counts.open.fetch_add(1, Ordering::Relaxed) + 1;
        counts.peak.fetch_max(open, Ordering::Relaxed);
        Self(counts.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Handle of a running listener. Dropping it stops accepting; open connections go on, also those that
/// waited to be accepted. [`Server::close`] closes the connections as well.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    counts: Arc<ConnectionCounts>,
    stop: Rc<Notify>,
    /// Tells the connections that the listener closes.
    closed: watch::Sender<bool>,
}

impl Server {
    /// Returns the address that the listener is bound to, with its actual port.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the connection counts, which are updated as long as connections are open.
    #[must_use]
    pub fn counts(&self) -> Arc<ConnectionCounts> {
        self.counts.clone()
    }

    /// Stops accepting, and closes each connection as soon as no request is open on it. Returns when
    /// the handlers of all requests that have arrived until now run.
    pub async fn close(self) {
        self.stop.notify_one();
        actix_rt::time::sleep(LAST_READ_TIME).await;
        self.closed.send_replace(true);
        actix_rt::time::sleep(LAST_READ_TIME).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.notify_one();
    }
}

/// Starts to serve `listener` on the current thread and returns at once.
///
/// `handler` runs for each request. If it panics, the request is answered with status 500 and other
/// requests go on. The function must be called within an `actix_rt` runtime.
///
/// # Errors
///
/// The listener cannot be registered with the runtime.
pub fn spawn<F, R>(listener: TcpListener, limits: Limits, handler: F) -> io::Result<Server>
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Response<BoxBody>> + 'static,
{
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let addr = listener.local_addr()?;
    let counts = Arc::new(ConnectionCounts::default());
    let stop = Rc::new(Notify::new());
    let (closed, closing) = watch::channel(false);
    let server = Server {
        addr,
        counts: counts.clone(),
        stop: stop.clone(),
        closed,
    };
    let signals = (stop, closing);
    actix_rt::spawn(accept(listener, limits, counts, signals, handler));
    Ok(server)
}

async fn accept<F, R>(
    listener: tokio::net::TcpListener,
    limits: Limits,
    counts: Arc<ConnectionCounts>,
    (stop, closing): (Rc<Notify>, watch::Receiver<bool>),
    handler: F,
) where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Response<BoxBody>> + 'static,
{
    let serve = fn_service(move |request: Request| {
        let handler = handler.clone();
        async move {
            let path = request.path().to_owned();
            let _running = Running::new(&request);
            let response = AssertUnwindSafe(async { handler(request).await });
            let response = response.catch_unwind().await;
            Ok::<_, Infallible>(response.unwrap_or_else(|_| panicked(&path)))
        }
    });
    let factory = HttpService::<ClientStream, _, _>::build()
        .keep_alive(KeepAlive::Timeout(limits.idle_timeout))
        .client_request_timeout(limits.header_timeout)
        .on_connect_ext(|stream: &ClientStream, data| {
            data.insert(stream.connection().clone());
        })
        .h1(serve.into_factory());
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    let limit = limits.vm_memory.map(ConnectionLimit::new);
    let serve = |stream: TcpStream| {
        let full = counts.open.load(Ordering::Relaxed) >= limits.max_connections;
        if full && limit.is_none() {
            counts.refused.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let open = OpenConnection::new(&counts);
        let limited = limit.as_ref().map(ConnectionLimit::open);
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        let client = stream.peer_addr().ok();
        let stream = ClientStream::new(stream, limits.max_head, closing.clone());
        actix_rt::spawn(async move {
            if !limits.setup_delay.is_zero() {
                actix_rt::time::sleep(limits.setup_delay).await;
            }
            let served = service.call((stream, client));
            match limited {
                Some(limited) => limited.run(served).await,
                None => drop(served.await),
            }
            drop(open);
        });
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.notified() => break,
        };
        match accepted {
            Ok((stream, _)) => serve(stream),
            // Most likely the process is out of file descriptors. The pause avoids a busy loop until
            // some are free.
            Err(_) => actix_rt::time::sleep(Duration::from_millis(20)).await,
        }
    }
    if let Err(error) = accept_waiting(listener, serve) {
        tracing::warn!(%error, "connections that waited to be accepted are reset");
    }
}

/// Accepts the connections that wait in the listener's queue, which would be reset otherwise, and
/// closes the listener.
///
/// # Errors
///
/// The listener cannot be used, or too many accepts failed.
pub fn accept_waiting(
    listener: tokio::net::TcpListener,
    serve: impl Fn(TcpStream),
) -> io::Result<()> {
    let listener = listener.into_std()?;
    each_waiting(
        || listener.accept(),
        |(stream, _)| {
            stream.set_nonblocking(true)?;
            serve(TcpStream::from_std(stream)?);
            Ok(())
        },
    )
}

/// Calls `serve` with each connection that `accept` returns, until it returns
/// [`io::ErrorKind::WouldBlock`]. A failure of one connection, which an accept may report, does not
/// keep the others from being served.
///
/// ```
/// use std::io;
/// let mut queue = vec![Ok(2), Err(io::ErrorKind::ConnectionAborted.into()), Ok(1)];
/// let mut served = Vec::new();
/// let accept = || queue.pop().unwrap_or(Err(io::ErrorKind::WouldBlock.into()));
/// rattanturn_http::each_waiting(accept, |n| Ok(served.push(n)))?;
/// assert_eq!(served, [1, 2]);
/// # Ok::<(), io::Error>(())
/// ```
///
/// # Errors
///
/// More than [`MAX_FAILED_ACCEPTS`] accepts or connections failed.
pub fn each_waiting<T>(
    mut accept: impl FnMut() -> io::Result<T>,
    mut serve: impl FnMut(T) -> io::Result<()>,
) -> io::Result<()> {
    let mut failed = 0;
    loop {
        let served = match accept() {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            accepted => accepted.and_then(&mut serve),
        };
        if let Err(error) = served {
            failed += 1;
            if failed > MAX_FAILED_ACCEPTS {
                return Err(error);
            }
        }
    }
}

/// The response to a request whose handler panicked.
fn panicked(path: &str) -> Response<BoxBody> {
    tracing::error!(path, "a request ended with a panic");
    response(500, &[], "an internal error ended the request\n")
}

/// Reason why the body of a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than the limit.
    TooLarge,
    /// The connection broke or the body is wrongly encoded.
    Broken,
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// [`BodyError::TooLarge`] as soon as the body exceeds `limit` bytes, [`BodyError::Broken`] if it
/// ends early or is wrongly encoded.
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Vec<u8>, BodyError> {
    let mut payload = request.take_payload();
    let mut out = Vec::new();
    while let Some(chunk) = poll_fn(|cx| Pin::new(&mut payload).poll_next(cx)).await {
        let chunk = chunk.map_err(|_| BodyError::Broken)?;
        if out.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge);
        }
        out.extend_from_slice(&chunk);
    }
    Ok(out)
}

/// Builds a response; an invalid `status` becomes 500.
#[must_use]
pub fn response(
    status: u16,
    headers: &[(&'static str, String)],
    body: impl MessageBody + 'static,
) -> Response<BoxBody> {
    let status = actix_http::StatusCode::from_u16(status)
        .unwrap_or(actix_http::StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::build(status);
    for (name, value) in headers {
        builder.insert_header((*name, value.as_str()));
    }
    builder.body(body).map_into_boxed_body()
}

/// Returns the value of a request header, or `None` if it is missing or not visible ASCII.
#[must_use]
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Returns the value of the first query parameter with this name, without percent-decoding.
#[must_use]
pub fn query_parameter<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    query
        .split('&')
        .find_map(|pair| pair.split_once('=').filter(|(k, _)| *k == name))
        .map(|p| p.1)
}
