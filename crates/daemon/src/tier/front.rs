//! HTTP/1 server for callers: reads requests, writes answers and notices callers that leave.
//!
//! A connection serves one request at a time, and each request that was read as a whole gets an
//! answer unless its connection breaks. While it runs, its connection is still read. The end of the
//! caller's input may mean that the caller left or that it sends nothing more: the request goes on for
//! a while, see [`crate::tier::ending`]. A panic in a request ends only that request.
//!
//! What is read of requests counts in the budget of [`crate::tier::memory`]. A caller that stops
//! sending in the middle of a large request, or that stops reading its answer, is given up.
//!
//! During a graceful stop, connections are closed after their next answer while the daemon is
//! leaving. When it closes, what the callers have sent by then is still read and answered, and idle
//! connections end. They are closed for sending first, so that callers see a clean end.

mod refusal;
mod unanswered;

use {
    self::{
        refusal::{ReadError, count, refuse, refuse_for_memory, refuse_for_stop},
        unanswered::{RequestEnd, Unanswered},
    },
    crate::{
        clock, planted,
        stop::{sleep_until, stop_time},
        supervise::{panic_text, restarted},
        tier::{
            ending::{Ending, HALF_CLOSED_TIME, Stage},
            memory::{Hold, Refused, UNCOUNTED_BYTES, Upload},
            meters, query, relay,
            request::{Incoming, RETRY_AFTER, Reply},
            traffic::Traffic,
            view::Phase,
        },
    },
    actix_http::{
        Request, Response, StatusCode,
        body::BodySize,
        h1::{Codec, Message, MessageType},
    },
    bytes::{Bytes, BytesMut},
    futures::FutureExt,
    rattanturn_core::{catalog::CallerLimits, shutdown::StopSchedule},
    rattanturn_http::accept_waiting,
    rattanturn_platform::http::{echo_request_id, request_id},
    std::{
        any::Any, convert::Infallible, io, net::TcpListener, panic::AssertUnwindSafe, pin::pin,
        rc::Rc, time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::mpsc,
        time::timeout,
    },
    tokio_util::codec::{Decoder, Encoder},
};

/// Limit of what is read while a request runs. Beyond it, reading stops until the request is
/// answered, so that a caller that leaves is not noticed.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// Bytes that a read buffer has room for before each read.
const READ_BUFFER_BYTES: usize = UNCOUNTED_BYTES;
/// Longest time that a connection is still read after its last answer.
const LINGER_TIME: Duration = Duration::from_millis(300);
/// Time for which a connection without a request is still read when the daemon closes. Bytes that
/// have arrived by then are read at once; the time is for the thread to be told of them.
const LAST_READ_TIME: Duration = Duration::from_millis(20);
/// Delay after a failed accept, for which the usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts callers' connections until the daemon closes.
///
/// # Errors
///
/// The listener cannot be used; failed accepts are logged and retried.
pub(crate) async fn serve(listener: TcpListener, traffic: Rc<Traffic>) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let (reading, mut all_read) = mpsc::channel(1);
    restarted("callers' connections", || {
        accept_until_closing(&listener, &traffic, &reading)
    })
    .await;
    let spawn = |stream| spawn_connection(stream, &traffic, reading.clone());
    if let Err(error) = accept_waiting(listener, spawn) {
        tracing::warn!(%error, "connections that waited to be accepted are reset");
    }
    drop(reading);
    // Receiving fails once each connection was read for a last time and has dropped its sender.
    let _ = all_read.recv().await;
    Ok(())
}

/// Held by a connection while it may still get a request. Nothing is ever sent.
type Reading = mpsc::Sender<Infallible>;

async fn accept_until_closing(
    listener: &tokio::net::TcpListener,
    traffic: &Rc<Traffic>,
    reading: &Reading,
) {
    let mut closing = pin!(stop_time(traffic.stop_schedule(), StopSchedule::close_at));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closing => return,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(stream, traffic, reading.clone()),
            Err(error) => {
                tracing::warn!(%error, "cannot accept a caller's connection; retrying");
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn spawn_connection(stream: TcpStream, traffic: &Rc<Traffic>, reading: Reading) {
    let traffic = traffic.clone();
    actix_rt::spawn(async move {
        let mut connection = Connection::new(stream, traffic.uploads.hold());
        // An error means that the caller's connection broke, so no answer can be sent.
        let _ = connection.run(&traffic, reading).await;
    });
}

struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    codec: Codec,
    /// Memory of what was read while a request runs.
    read_ahead: Hold,
}

impl Connection {
    fn new(stream: TcpStream, read_ahead: Hold) -> Self {
        // A failure only makes answers slower.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: BytesMut::new(),
            codec: Codec::default(),
            read_ahead,
        }
    }

    /// Serves requests until the connection ends. `reading` is held until no request can follow.
    async fn run(&mut self, traffic: &Rc<Traffic>, reading: Reading) -> io::Result<()> {
        loop {
            let idle_time = caller_limits(traffic).idle_time;
            match self.wait_for_request(traffic, idle_time).await {
                Ok(()) => {}
                Err(ReadError::Idle) => {
                    drop(reading);
                    return self.linger().await;
                }
                Err(_) => return Ok(()),
            }
            let _open = traffic.open_request();
            // The configuration may have changed while the connection was idle.
            let limits = caller_limits(traffic);
            let incoming = match self.read_until_stop(traffic, limits).await {
                Ok(incoming) => incoming,
                Err(ReadError::Refused(refusal)) => {
                    refusal.record();
                    self.buffer = BytesMut::new();
                    self.write(refusal.answer, true, limits.idle_time).await?;
                    return self.linger().await;
                }
                Err(_) => return Ok(()),
            };
            let close = self.answer(traffic, &incoming, limits).await?;
            if close {
                return self.linger().await;
            }
        }
    }

    /// Serves a request and writes its answer; returns whether the connection is to be closed.
    async fn answer(
        &mut self,
        traffic: &Rc<Traffic>,
        incoming: &Incoming,
        limits: CallerLimits,
    ) -> io::Result<bool> {
        let open = Unanswered::new(traffic, incoming);
        let echo = relay::id_to_echo(incoming.head());
        let mut answer = match self.serve(traffic, incoming).await {
            Ok(answer) => answer,
            Err(error) => {
                open.end(RequestEnd::Reset);
                return Err(error);
            }
        };
        if let Some(id) = echo {
            echo_request_id(&id, &mut answer.headers);
        }
        let close = self.closes(traffic, incoming);
        let written = self.write(answer, close, limits.idle_time).await;
        open.end(match &written {
            Ok(()) => RequestEnd::Answered,
            Err(error) if error.kind() == io::ErrorKind::TimedOut => RequestEnd::Unread,
            Err(_) => RequestEnd::WriteFailed,
        });
        written.map(|()| close)
    }

    /// Serves a request, and tells it when the caller's input ends and when the daemon does.
    ///
    /// # Errors
    ///
    /// The connection broke. The request was dropped, and with it all calls made for it.
    async fn serve(&mut self, traffic: &Rc<Traffic>, incoming: &Incoming) -> io::Result<Reply> {
        let ending = &incoming.ending;
        let half_closed_time = half_closed_time(incoming);
        let mut left_at = None;
        let mut serving = pin!(AssertUnwindSafe(query::serve(traffic, incoming)).catch_unwind());
        let mut stopped = pin!(stop_time(traffic.stop_schedule(), StopSchedule::answer_by));
        loop {
            // The request comes first, so that it is polled after each change of its stage.
            let stage = tokio::select! {
                biased;
                served = &mut serving => {
                    return Ok(served.unwrap_or_else(|panic| panicked(incoming, &*panic)));
                }
                () = &mut stopped, if ending.stage() < Stage::Stopped => Stage::Stopped,
                end = input_end(&mut self.stream, &mut self.buffer, &mut self.read_ahead), if left_at.is_none() => {
                    if let Err(error) = end {
                        ending.enter(Stage::Reset);
                        return Err(error);
                    }
                    let now = clock::now();
                    ending.input_ended.set(Some(now));
                    left_at = Some(now + half_closed_time);
                    Stage::InputEnded
                }
                () = sleep_until(left_at), if ending.stage() < Stage::CallerLeft => Stage::CallerLeft,
            };
            ending.enter(stage);
        }
    }

    /// Whether the connection is to be closed after the answer to a request. Requests that the caller
    /// has sent already are answered before.
    fn closes(&mut self, traffic: &Rc<Traffic>, incoming: &Incoming) -> bool {
        let input_ended = incoming.ending.stage() == Stage::InputEnded
            || incoming.ending.stage() == Stage::CallerLeft;
        let stops = traffic.view().phase != Phase::Serving;
        if stops && !input_ended {
            // What cannot be read now is found out when the connection is read next.
            let _ = self.read_arrived();
        }
        !self.codec.keep_alive() || ((stops || input_ended) && self.buffer.is_empty())
    }

    /// Reads a request. At the time of the stop at which all requests get their answers, it is refused
    /// as far as it was read: no target got it.
    async fn read_until_stop(
        &mut self,
        traffic: &Rc<Traffic>,
        limits: CallerLimits,
    ) -> Result<Incoming, ReadError> {
        tokio::select! {
            biased;
            read = self.read_request(traffic, limits) => read,
            () = stop_time(traffic.stop_schedule(), StopSchedule::answer_by) => {
                refuse_for_stop()
            }
        }
    }

    async fn read_request(
        &mut self,
        traffic: &Rc<Traffic>,
        limits: CallerLimits,
    ) -> Result<Incoming, ReadError> {
        let arrived = clock::now();
        let upload = Upload::begin(&traffic.uploads);
        // What was read ahead counts for the request from now on.
        self.read_ahead.shrink(0);
        let (request, body) = tokio::select! {
            biased;
            () = upload.evicted() => {
                upload.record_refusal(Refused::StalledRequest);
                return refuse_for_memory();
            }
            read = self.read_parts(limits, &upload) => read?,
        };
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        Ok(Incoming {
            request,
            ending: Ending::default(),
            arrived,
            _hold: upload.finish(body.len()),
            body,
        })
    }

    /// Reads the head and the body of a request.
    async fn read_parts(
        &mut self,
        limits: CallerLimits,
        upload: &Upload,
    ) -> Result<(Request, Bytes), ReadError> {
        let head = timeout(limits.header_time, self.read_head(limits, upload)).await;
        let request = head.unwrap_or_else(|_| refuse(408, "the request's head took too long\n"))?;
        let body = timeout(limits.idle_time, self.read_body(&request, limits, upload)).await;
        let body = body.unwrap_or_else(|_| refuse(408, "the request's body took too long\n"))?;
        Ok((request, body))
    }

    /// Waits for the first byte of a request, until the idle timeout or the daemon closes.
    async fn wait_for_request(
        &mut self,
        traffic: &Rc<Traffic>,
        idle_time: Duration,
    ) -> Result<(), ReadError> {
        if !self.buffer.is_empty() {
            return Ok(());
        }
        let closing = stop_time(traffic.stop_schedule(), StopSchedule::close_at);
        let read = tokio::select! {
            biased;
            read = timeout(idle_time, self.read_more()) => read,
            () = closing => timeout(LAST_READ_TIME, self.read_more()).await,
        };
        match read.unwrap_or_else(|_| self.read_arrived()) {
            Ok(0) => Err(ReadError::Ended),
            Ok(_) => Ok(()),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(ReadError::Idle),
            Err(error) => Err(error.into()),
        }
    }

    /// Reads what has arrived by now, without waiting. The runtime may have asked the system long ago what
    /// has arrived, if the thread was held up since, so this asks the system itself.
    fn read_arrived(&mut self) -> io::Result<usize> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        let read = rustix::io::read(&self.stream, &mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    async fn read_head(
        &mut self,
        limits: CallerLimits,
        upload: &Upload,
    ) -> Result<Request, ReadError> {
        loop {
            let before = self.buffer.len();
            count(upload, before).await?;
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Item(mut request))) => {
                    planted::note_peer(&mut request, &self.stream);
                    if before - self.buffer.len() > limits.header_bytes {
                        return refuse(431, "the request's head is too large\n");
                    }
                    return Ok(request);
                }
                Ok(Some(Message::Chunk(_))) => return refuse(400, "the request cannot be read\n"),
                Ok(None) if before > limits.header_bytes => {
                    return refuse(431, "the request's head is too large\n");
                }
                Ok(None) => {}
                Err(error) => {
                    tracing::debug!(%error, "cannot parse a request");
                    return refuse(400, "the request cannot be read\n");
                }
            }
            if self.read_more().await? == 0 {
                return Err(ReadError::Ended);
            }
        }
    }

    async fn read_body(
        &mut self,
        request: &Request,
        limits: CallerLimits,
        upload: &Upload,
    ) -> Result<Bytes, ReadError> {
        match self.codec.message_type() {
            MessageType::None => return Ok(Bytes::new()),
            // The request asks for another protocol, to which no connection is switched. The codec would
            // read its body until the connection ends, whatever the length; a new one closes the
            // connection after the answer.
            MessageType::Stream => {
                self.codec = Codec::default();
                return self.read_sized_body(request, limits, upload).await;
            }
            MessageType::Payload => {}
        }
        self.send_continue(request).await?;
        let mut body = BytesMut::new();
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Chunk(Some(chunk)))) => body.extend_from_slice(&chunk),
                Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
                Ok(Some(Message::Item(_))) | Err(_) => {
                    return refuse(400, "the request's body cannot be read\n");
                }
                Ok(None) => {
                    if self.read_more().await? == 0 {
                        return Err(ReadError::Ended);
                    }
                }
            }
            if body.len() > limits.body_bytes {
                return refuse(413, "the request's body is too large\n");
            }
            count(upload, self.buffer.len() + body.len()).await?;
        }
    }

    /// Reads a body of the length that the request states; without a length there is no body.
    async fn read_sized_body(
        &mut self,
        request: &Request,
        limits: CallerLimits,
        upload: &Upload,
    ) -> Result<Bytes, ReadError> {
        let Some(stated) = request.head().headers.get("content-length") else {
            return Ok(Bytes::new());
        };
        // The codec has refused requests with several lengths, or with one and an encoding.
        let length = stated.to_str().ok().and_then(|v| v.trim().parse().ok());
        let Some(length): Option<usize> = length else {
            return refuse(400, "the request's body cannot be read\n");
        };
        if length > limits.body_bytes {
            return refuse(413, "the request's body is too large\n");
        }
        self.send_continue(request).await?;
        while self.buffer.len() < length {
            if self.read_more().await? == 0 {
                return Err(ReadError::Ended);
            }
            count(upload, self.buffer.len()).await?;
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    /// Tells a caller that waits for it to send the body.
    async fn send_continue(&mut self, request: &Request) -> io::Result<()> {
        if request.head().expect() {
            self.stream
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await?;
        }
        Ok(())
    }

    async fn read_more(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        self.stream.read_buf(&mut self.buffer).await
    }

    /// Writes an answer. Its memory counts until the caller's system has taken it.
    ///
    /// # Errors
    ///
    /// The connection broke, or the caller has read nothing for `idle_time`.
    async fn write(&mut self, answer: Reply, close: bool, idle_time: Duration) -> io::Result<()> {
        let _hold = answer.hold;
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Response::new(status);
        *response.headers_mut() = answer.headers;
        if close {
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
        while !out.is_empty() {
            let written = timeout(idle_time, self.stream.write_buf(&mut out)).await;
            if written.map_err(io::Error::from)?? == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
        }
        Ok(())
    }

    /// Closes a connection in such a way that the caller can still read the last answer.
    ///
    /// Closing a socket with unread input resets the connection, and the caller's side then
    /// discards what it has not read. So only the sending side is closed at first, and input is
    /// discarded until the caller closes.
    async fn linger(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let drain = async {
            let mut buffer = [0; 1024];
            while matches!(self.stream.read(&mut buffer).await, Ok(n) if n > 0) {}
        };
        // A caller that does not close in time risks the reset.
        let _ = timeout(LINGER_TIME, drain).await;
        Ok(())
    }
}

/// Limits of the current configuration on what callers send.
fn caller_limits(traffic: &Rc<Traffic>) -> CallerLimits {
    let view = traffic.view();
    let limits = view.catalog.as_ref().map(|c| c.limits());
    limits.unwrap_or_default()
}

/// How long a request goes on after the end of its caller's input. A daemon that passes a request on
/// closes its connection only to cancel it.
fn half_closed_time(incoming: &Incoming) -> Duration {
    match relay::relayed_attempts(incoming.head()) {
        Some(_) => Duration::ZERO,
        None => HALF_CLOSED_TIME,
    }
}

/// Logs and counts a request that panicked; returns its answer.
fn panicked(incoming: &Incoming, panic: &(dyn Any + Send)) -> Reply {
    meters::count_panic();
    tracing::error!(
        request = request_id(incoming.head()).unwrap_or(""),
        may_have_run = incoming.ending.may_have_run(),
        panic = panic_text(panic),
        "a request ended with a panic"
    );
    if incoming.ending.may_have_run() {
        Reply::text(
            502,
            "an internal error ended the request, which may have run\n",
        )
    } else {
        Reply::not_run("an internal error ended the request\n", RETRY_AFTER)
    }
}

/// Completes when the caller's input ends; bytes that come before are kept for its next request, as far
/// as there is room for them.
///
/// # Errors
///
/// The connection broke.
async fn input_end(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    hold: &mut Hold,
) -> io::Result<()> {
    loop {
        if buffer.len() > MAX_READ_AHEAD_BYTES || !hold.grow(buffer.len()) {
            return std::future::pending().await;
        }
        buffer.reserve(1);
        if stream.read_buf(buffer).await? == 0 {
            return Ok(());
        }
    }
}
