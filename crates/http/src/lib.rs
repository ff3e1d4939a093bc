//! Minimal HTTP/1.1 server with limits on connections, header time and idle time.
//!
//! Daemons use it for callers and operators, and test stand-ins use it to act as targets and as the
//! platform. All connections of a listener run on the thread that spawned it, so handlers need not
//! be `Send`; a process that wants more threads spawns one listener on each.

use {
    actix_http::{
        HttpMessage, HttpService, KeepAlive, Request, Response,
        body::{BoxBody, MessageBody},
    },
    actix_rt::net::TcpStream,
    actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service},
    futures_core::Stream,
    std::{
        convert::Infallible,
        future::{Future, poll_fn},
        io,
        net::{SocketAddr, TcpListener},
        pin::Pin,
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Limits on the resources that the clients of one listener can use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest number of open connections; further ones are closed without an answer.
    pub max_connections: usize,
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

/// Handle of a running listener. Dropping it stops accepting; open connections go on.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    counts: Arc<ConnectionCounts>,
    stop: Rc<Notify>,
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
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.notify_one();
    }
}

/// Starts to serve `listener` on the current thread and returns at once.
///
/// `handler` runs for each request. The function must be called within an `actix_rt` runtime.
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
    let server = Server {
        addr,
        counts: counts.clone(),
        stop: stop.clone(),
    };
    actix_rt::spawn(async move {
        tokio::select! {
            () = accept(listener, limits, counts, handler) => {}
            () = stop.notified() => {}
        }
    });
    Ok(server)
}

async fn accept<F, R>(
    listener: tokio::net::TcpListener,
    limits: Limits,
    counts: Arc<ConnectionCounts>,
    handler: F,
) where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Response<BoxBody>> + 'static,
{
    let serve = fn_service(move |request: Request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let factory = HttpService::<TcpStream, _, _>::build()
        .keep_alive(KeepAlive::Timeout(limits.idle_timeout))
        .client_request_timeout(limits.header_timeout)
        .h1(serve.into_factory())
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely the process is out of file descriptors. The pause avoids a busy loop
            // until some are free.
            actix_rt::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if counts.open.load(Ordering::Relaxed) >= limits.max_connections {
            counts.refused.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        let open = counts.open.fetch_add(1, Ordering::Relaxed) + 1;
        counts.peak.fetch_max(open, Ordering::Relaxed);
        let _ = stream.set_nodelay(true);
        let (service, counts) = (service.clone(), counts.clone());
        actix_rt::spawn(async move {
            if !limits.setup_delay.is_zero() {
                actix_rt::time::sleep(limits.setup_delay).await;
            }
            let _ = service.call(stream).await;
            counts.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
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
