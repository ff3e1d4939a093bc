//! HTTP/1.1 listener with limits on connections, header time and idle time.
//!
//! The daemon serves callers and operators with it, and the stand-ins play targets and the
//! platform. Connections run on the thread that spawned the listener.

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

/// Bounds on what callers may hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at once; further ones are closed unanswered.
    pub max_connections: usize,
    /// Time for the request line and headers.
    pub header_timeout: Duration,
    /// Time that an idle connection stays open.
    pub idle_timeout: Duration,
    /// Time between accepting a connection and serving it; stand-ins use it as set-up cost.
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

/// Counts of one listener, readable from any thread.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    /// Connections open now.
    pub open: AtomicUsize,
    /// Most connections open at once so far.
    pub peak: AtomicUsize,
    /// Connections closed because of the limit.
    pub refused: AtomicU64,
}

/// A running listener; it stops accepting when dropped.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    counts: Arc<ConnectionCounts>,
    stop: Rc<Notify>,
}

impl Server {
    /// Address it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Its counts.
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

/// Serves `listener` on this thread.
///
/// # Errors
///
/// The listener cannot be used with the runtime.
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
            // Out of file descriptors: pause instead of spinning.
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

/// Why a request body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLarge,
    /// The connection broke or the encoding is wrong.
    Broken,
}

/// Reads a request's body of at most `limit` bytes.
///
/// # Errors
///
/// The body is too large or broken.
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

/// A response with a status, headers and a body.
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

/// Text of a request header.
#[must_use]
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Value of a parameter in a request's query string.
#[must_use]
pub fn query_parameter<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    query
        .split('&')
        .find_map(|pair| pair.split_once('=').filter(|(k, _)| *k == name))
        .map(|p| p.1)
}
