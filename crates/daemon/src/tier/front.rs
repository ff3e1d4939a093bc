//! Callers' connections: reads requests, watches for callers that leave, writes answers.
//!
//! A connection serves one request at a time. While it runs, the connection is read on: its end
//! means that the caller left, and dropping the request ends all calls made for it. A planned
//! stop first ends kept connections with an answer, then those that are idle.

use {
    crate::{
        clock,
        tier::{meters, query, traffic::Traffic, view::Phase},
    },
    actix_http::{
        Request, RequestHead, Response, StatusCode,
        body::BodySize,
        h1::{Codec, Message, MessageType},
        header::HeaderMap,
    },
    bytes::{Bytes, BytesMut},
    rattanturn_core::{Time, catalog::CallerLimits},
    rattanturn_platform::http::retry_after,
    std::{io, net::TcpListener, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
    tokio_util::codec::{Decoder, Encoder},
};

/// Bytes that a caller may send ahead while its request runs.
const READ_AHEAD: usize = 64 << 10;
/// Read buffer of a connection in use, in bytes.
const READ_BYTES: usize = 4 << 10;
/// A closed connection is read on for this time, so that the last answer is not reset.
const LINGER: Duration = Duration::from_millis(300);
/// How often an idle connection looks whether the daemon closes.
const CLOSING_POLL: Duration = Duration::from_millis(200);
/// Pause after an accept failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// When callers should come back after a refusal, if nothing better is known.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(300);

/// A request as it came.
pub(crate) struct Incoming {
    pub(crate) request: Request,
    pub(crate) body: Bytes,
    pub(crate) arrived: Time,
}

impl Incoming {
    pub(crate) fn head(&self) -> &RequestHead {
        self.request.head()
    }
}

/// An answer to a caller.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Reply {
    /// An answer of this daemon's own.
    pub(crate) fn text(status: u16, text: &'static str) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::from_static(text.as_bytes()),
        }
    }

    /// States that the request has not run and when to come back.
    pub(crate) fn not_run(text: &'static str, after: Duration) -> Self {
        let mut out = Self::text(503, text);
        let (name, value) = retry_after(after);
        out.headers.insert(name, value);
        out
    }
}

/// Accepts callers until the daemon closes.
pub(crate) async fn serve(listener: TcpListener, traffic: Rc<Traffic>) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    while traffic.view().phase < Phase::Closing {
        match timeout(CLOSING_POLL, listener.accept()).await {
            Ok(Ok((stream, _))) => {
                let traffic = traffic.clone();
                actix_rt::spawn(async move {
                    let mut connection = Connection::open(stream);
                    // A connection that breaks has nobody left to tell.
                    let _ = connection.run(&traffic).await;
                });
            }
            Ok(Err(error)) => {
                tracing::warn!(%error, "callers cannot be accepted");
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
            }
            Err(_) => {}
        }
    }
    Ok(())
}

/// Why a request could not be read.
enum Unread {
    /// The connection ended or idled out between requests.
    Ended,
    /// The caller broke a rule; the answer that says which.
    Refused(Reply),
}

impl From<io::Error> for Unread {
    fn from(_: io::Error) -> Self {
        Self::Ended
    }
}

struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    codec: Codec,
}

impl Connection {
    fn open(stream: TcpStream) -> Self {
        // Without it answers are only slower.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: BytesMut::new(),
            codec: Codec::default(),
        }
    }

    async fn run(&mut self, traffic: &Rc<Traffic>) -> io::Result<()> {
        loop {
            let incoming = match self.read_request(traffic).await {
                Ok(incoming) => incoming,
                Err(Unread::Ended) => return Ok(()),
                Err(Unread::Refused(answer)) => {
                    log_unread(&answer);
                    self.write(answer, true).await?;
                    return self.linger().await;
                }
            };
            traffic.open_requests.set(traffic.open_requests.get() + 1);
            let served = tokio::select! {
                answer = query::serve(traffic, incoming) => Some(answer),
                () = left(&mut self.stream, &mut self.buffer) => None,
            };
            traffic.open_requests.set(traffic.open_requests.get() - 1);
            let Some(answer) = served else {
                return Ok(());
            };
            let last = traffic.view().phase != Phase::Serving || !self.codec.keep_alive();
            self.write(answer, last).await?;
            if last {
                return self.linger().await;
            }
        }
    }

    async fn read_request(&mut self, traffic: &Rc<Traffic>) -> Result<Incoming, Unread> {
        let view = traffic.view();
        let limits = view
            .catalog
            .as_ref()
            .map(|c| c.limits())
            .unwrap_or_default();
        drop(view);
        self.wait_for_request(traffic, limits).await?;
        let arrived = clock::now();
        let head = timeout(limits.header_time, self.read_head(limits)).await;
        let request =
            head.unwrap_or_else(|_| refused(408, "the request's head took too long\n"))?;
        let body = timeout(limits.idle_time, self.read_body(&request, limits)).await;
        let body = body.unwrap_or_else(|_| refused(408, "the request's body took too long\n"))?;
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        Ok(Incoming {
            request,
            body,
            arrived,
        })
    }

    /// Waits for the first byte of a request.
    async fn wait_for_request(
        &mut self,
        traffic: &Rc<Traffic>,
        limits: CallerLimits,
    ) -> Result<(), Unread> {
        let since = clock::now();
        while self.buffer.is_empty() {
            let phase = traffic.view().phase;
            if phase == Phase::Closing || clock::now().since(since) >= limits.idle_time {
                return Err(Unread::Ended);
            }
            let left = limits.idle_time.saturating_sub(clock::now().since(since));
            let wait = if phase == Phase::Serving {
                left.min(Duration::from_secs(1))
            } else {
                CLOSING_POLL
            };
            if let Ok(read) = timeout(wait, self.read_more()).await
                && read? == 0
            {
                return Err(Unread::Ended);
            }
        }
        Ok(())
    }

    async fn read_head(&mut self, limits: CallerLimits) -> Result<Request, Unread> {
        loop {
            let before = self.buffer.len();
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Item(request))) => {
                    if before - self.buffer.len() > limits.header_bytes {
                        return refused(431, "the request's head is too large\n");
                    }
                    return Ok(request);
                }
                Ok(Some(Message::Chunk(_))) => return refused(400, "the request cannot be read\n"),
                Ok(None) if before > limits.header_bytes => {
                    return refused(431, "the request's head is too large\n");
                }
                Ok(None) => {}
                Err(error) => {
                    tracing::debug!(%error, "a request cannot be read");
                    return refused(400, "the request cannot be read\n");
                }
            }
            if self.read_more().await? == 0 {
                return Err(Unread::Ended);
            }
        }
    }

    async fn read_body(
        &mut self,
        request: &Request,
        limits: CallerLimits,
    ) -> Result<Bytes, Unread> {
        if self.codec.message_type() == MessageType::None {
            return Ok(Bytes::new());
        }
        if request.head().expect() {
            self.stream
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await?;
        }
        let mut body = BytesMut::new();
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Chunk(Some(chunk)))) => body.extend_from_slice(&chunk),
                Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
                Ok(Some(Message::Item(_))) | Err(_) => {
                    return refused(400, "the request's body cannot be read\n");
                }
                Ok(None) => {
                    if self.read_more().await? == 0 {
                        return Err(Unread::Ended);
                    }
                }
            }
            if body.len() > limits.body_bytes {
                return refused(413, "the request's body is too large\n");
            }
        }
    }

    async fn read_more(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        self.stream.read_buf(&mut self.buffer).await
    }

    async fn write(&mut self, answer: Reply, last: bool) -> io::Result<()> {
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Response::new(status);
        *response.headers_mut() = answer.headers;
        if last {
            let close = actix_http::ConnectionType::Close;
            response.head_mut().set_connection_type(close);
        }
        let size = BodySize::Sized(answer.body.len() as u64);
        let mut out = BytesMut::with_capacity(512 + answer.body.len());
        self.codec
            .encode(Message::Item((response.drop_body(), size)), &mut out)?;
        if !answer.body.is_empty() {
            self.codec
                .encode(Message::Chunk(Some(answer.body)), &mut out)?;
        }
        self.codec.encode(Message::Chunk(None), &mut out)?;
        self.stream.write_all(&out).await
    }

    /// Ends a connection without resetting what the caller has not read yet.
    async fn linger(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let drain = async {
            let mut buffer = [0; 1024];
            while matches!(self.stream.read(&mut buffer).await, Ok(n) if n > 0) {}
        };
        // A caller that sends on is cut off.
        let _ = timeout(LINGER, drain).await;
        Ok(())
    }
}

/// Logs and counts what could not be read as a request; its id is not known.
fn log_unread(answer: &Reply) {
    let reason = match answer.status {
        408 => "too-slow",
        413 | 431 => "too-large",
        _ => "unreadable",
    };
    meters::count_refused(reason);
    let why = String::from_utf8_lossy(&answer.body);
    tracing::info!(reason, why = why.trim_end(), "request refused");
}

fn refused<T>(status: u16, text: &'static str) -> Result<T, Unread> {
    Err(Unread::Refused(Reply::text(status, text)))
}

/// Returns when the caller has left; what it sends meanwhile is kept for its next request.
async fn left(stream: &mut TcpStream, buffer: &mut BytesMut) {
    loop {
        if buffer.len() > READ_AHEAD {
            return std::future::pending().await;
        }
        buffer.reserve(1);
        match stream.read_buf(buffer).await {
            Ok(n) if n > 0 => {}
            _ => return,
        }
    }
}
