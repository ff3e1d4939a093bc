//! HTTP/1 client connection to one target.
//!
//! Requests are not pipelined, so at most one is open on a connection, and an answer counts only if
//! it carries that request's id, see [`Expected`] for the exception. A target may answer before it has
//! read the whole request, so its answer is read while the request is still being written. Targets may send an answer twice, late,
//! truncated or without a length. An answer to another request is skipped, and unexpected bytes on
//! an idle connection make it unusable. A body without a length is complete if the target closes the connection
//! without an error. Answers are not streamed: a body is held in memory as a whole. A target may
//! also send bytes without end, in any part of an answer, so everything that is read for a call
//! counts towards [`MAX_CALL_BYTES`] and the budget of [`crate::tier::memory`]. A body whose length
//! is stated gets its room before it is read, so that none is given up when it is nearly whole.

use {
    crate::{
        clock,
        tier::memory::{Hold, Refused},
    },
    actix_http::{
        Method, RequestHeadType, ResponseHead, Version,
        body::BodySize,
        h1::{ClientCodec, Message, MessageType},
        header::{HeaderName, HeaderValue},
    },
    bytes::{Bytes, BytesMut},
    rattanturn_core::{Time, relay::PeerVerdict},
    rattanturn_platform::http::{AnswerHead, answer_head},
    rustix::io::Errno,
    std::{io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
    tokio_util::codec::{Decoder, Encoder},
};

/// Time limit for opening a connection. A handshake takes some 10 ms, but 1 s if a packet is lost,
/// and another target is tried sooner than that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Most bytes that are read for one call, including what is no part of its answer.
const MAX_CALL_BYTES: usize = 8 << 20;
/// Bytes of heads and of chunks' framing that are read for one call: parsing them costs far more
/// time than a body, on VMs with a tenth of a core.
const MAX_FRAMING_BYTES: usize = 256 << 10;
/// Largest status of an answer. The parser takes three digits from 100 on; RFC 9110, section 15, calls those
/// above this one invalid, so callers do not get them.
const MAX_STATUS: u16 = 599;
/// Number of answers to other requests that are skipped before the connection is given up.
const MAX_SKIPPED_ANSWERS: u32 = 3;
/// A connection is not reused within this time before the target's idle timeout, because a request
/// could then meet the target's close.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle timeout that is assumed for a target that does not state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Bytes that a read buffer has room for before each read.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// Memory for the answer to a call.
pub(crate) struct Room {
    pub(crate) hold: Hold,
    /// How long an answer may wait for more of it.
    pub(crate) until: Time,
}

/// Counts the bytes that are read for one call.
struct ByteCount {
    room: Room,
    read: usize,
    /// Those of them that were read for heads, or brought no part of a body.
    framing: usize,
}

impl ByteCount {
    /// Counts `bytes` more; fails if a limit is exceeded.
    fn add(&mut self, bytes: usize) -> io::Result<()> {
        self.read += bytes;
        if self.read > MAX_CALL_BYTES {
            return Err(invalid_data("the answer is too large"));
        }
        if !self.room.hold.grow(self.read) {
            return Err(self.without_room());
        }
        Ok(())
    }

    /// Waits for room for `bytes` that are still to be read; fails if they exceed a limit.
    async fn reserve(&mut self, bytes: usize) -> io::Result<()> {
        let all = self.read.saturating_add(bytes);
        if all > MAX_CALL_BYTES {
            return Err(invalid_data("the answer is too large"));
        }
        let Room { hold, until } = &mut self.room;
        if hold.grow(all) || hold.wait_for_room(all, self.read, *until).await {
            return Ok(());
        }
        Err(self.without_room())
    }

    fn without_room(&self) -> io::Error {
        self.room.hold.record_refusal(Refused::Answer);
        invalid_data("no memory is left for the answer")
    }

    /// Counts bytes of the answer's framing; fails if there are too many.
    fn add_framing(&mut self, bytes: usize) -> io::Result<()> {
        self.framing += bytes;
        if self.framing > MAX_FRAMING_BYTES {
            return Err(invalid_data("too many bytes are no part of a body"));
        }
        Ok(())
    }
}

/// A target's complete answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    /// What the platform's headers state.
    pub(crate) head: AnswerHead,
    pub(crate) status: u16,
    pub(crate) headers: actix_http::header::HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the answer itself says where its body ends. If not, a body that was closed inside
    /// looks like a whole one; only a reset shows.
    pub(crate) framed: bool,
    /// Memory of the answer, which counts until the last copy is dropped.
    pub(crate) hold: Option<Rc<Hold>>,
}

impl Answer {
    /// Bytes of its headers and body.
    pub(crate) fn bytes(&self) -> usize {
        let header = |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len();
        self.headers.iter().map(header).sum::<usize>() + self.body.len()
    }
}

/// Which answers belong to a call.
#[derive(Clone, Copy)]
pub(crate) enum Expected<'a> {
    /// Those with this request id.
    Id(Option<&'a str>),
    /// Also the refusal of a daemon that could not read the request: it has no id, and the daemon closes
    /// the connection after it, so that it belongs to no other request.
    FromPeer(Option<&'a str>),
}

impl Expected<'_> {
    /// Whether an answer belongs to the call; `last` tells whether the connection ends after it.
    fn includes(self, answer: &Answer, last: bool) -> bool {
        let found = answer.head.request.as_deref();
        match self {
            Self::Id(id) => found == id,
            Self::FromPeer(id) => {
                let signed = answer.head.signature.is_some();
                let refused = PeerVerdict::of(answer.status, signed) == PeerVerdict::NotRun;
                found == id || (found.is_none() && last && refused)
            }
        }
    }
}

/// A connection to one target, which the target may close at any time.
pub(crate) struct TargetConnection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Bytes of the request that are not written yet.
    unsent: BytesMut,
    /// Why the rest of the request could not be written. What the target answered before can still
    /// be read.
    write_error: Option<io::Error>,
    /// `None` while a body is read, and for good after reading one has failed.
    codec: Option<ClientCodec>,
    idle_since: Time,
    idle_timeout: Duration,
    /// False while a request is open and after an error.
    reusable: bool,
}

impl TargetConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The target did not accept it within [`CONNECT_TIMEOUT`]. No request was sent.
    pub(crate) async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            unsent: BytesMut::new(),
            write_error: None,
            codec: Some(ClientCodec::default()),
            idle_since: clock::now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            reusable: true,
        })
    }

    /// Whether another request may be sent.
    ///
    /// This needs that the last request was written as a whole, that its answer was complete and
    /// allowed it, that nothing came since, not even the target's close, and that the target's idle
    /// timeout is not near. The runtime may have asked the system long ago what has arrived, if the thread
    /// was held up since, so this asks the system itself.
    pub(crate) fn is_reusable(&self, now: Time) -> bool {
        let no_input = || {
            matches!(
                rustix::io::read(&self.stream, &mut [0_u8]),
                Err(Errno::WOULDBLOCK)
            )
        };
        self.reusable
            && self.unsent.is_empty()
            && self.write_error.is_none()
            && self.buffer.is_empty()
            && now.since(self.idle_since) < self.idle_timeout
            && no_input()
    }

    /// Sends a request and waits for its answer, which is read into `room`.
    ///
    /// A future that is dropped leaves the connection unusable.
    ///
    /// # Errors
    ///
    /// The connection broke or its bytes are no valid answer. The request may have run.
    pub(crate) async fn round_trip(
        &mut self,
        head: RequestHeadType,
        body: &Bytes,
        expected: Expected<'_>,
        room: Room,
    ) -> io::Result<Answer> {
        self.reusable = false;
        let mut count = ByteCount {
            room,
            read: 0,
            framing: 0,
        };
        let size = match body.len() {
            0 => BodySize::None,
            len => BodySize::Sized(len as u64),
        };
        let mut out = BytesMut::with_capacity(512 + body.len());
        let to_head = head.as_ref().method == Method::HEAD;
        let codec = self.codec()?;
        codec.encode(Message::Item((head, size)), &mut out)?;
        out.extend_from_slice(body);
        self.unsent = out;
        for _ in 0..=MAX_SKIPPED_ANSWERS {
            let mut answer = self.read_answer(to_head, &mut count).await?;
            if expected.includes(&answer, !self.reusable) {
                let mut hold = count.room.hold;
                // What was read besides the answer is not kept.
                hold.shrink(answer.bytes());
                answer.hold = Some(Rc::new(hold));
                return Ok(answer);
            }
            if !self.reusable {
                break;
            }
            self.reusable = false;
        }
        Err(invalid_data("the answer belongs to another request"))
    }

    /// Reads an answer; `to_head` tells whether the request's method is HEAD.
    async fn read_answer(&mut self, to_head: bool, count: &mut ByteCount) -> io::Result<Answer> {
        let head = loop {
            let head = self.read_head(count).await?;
            // Informational (1xx) answers are followed by the final one.
            if !head.status.is_informational() {
                break head;
            }
        };
        let without_body = to_head || matches!(head.status.as_u16(), 204 | 304);
        let framed = without_body || is_framed(&head);
        let (body, last) = if without_body {
            (Bytes::new(), self.expects_body()?)
        } else {
            self.read_body(&head, count).await?
        };
        let answer = Answer {
            head: answer_head(&head),
            status: head.status.as_u16(),
            headers: head.headers,
            body,
            framed,
            hold: None,
        };
        let keep_alive = self.codec.as_ref().is_some_and(ClientCodec::keep_alive);
        self.reusable = keep_alive && !last;
        self.idle_since = clock::now();
        self.idle_timeout = answer
            .head
            .keep_alive
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .saturating_sub(IDLE_MARGIN);
        if self.buffer.is_empty() {
            // An idle connection holds no buffer, to save memory.
            self.buffer = BytesMut::new();
        }
        Ok(answer)
    }

    async fn read_head(&mut self, count: &mut ByteCount) -> io::Result<ResponseHead> {
        loop {
            if !self.buffer.is_empty() {
                let codec = self.codec.as_mut().ok_or_else(unusable)?;
                if let Some(head) = codec.decode(&mut self.buffer).map_err(io::Error::other)? {
                    if head.status.as_u16() > MAX_STATUS {
                        return Err(invalid_data("the answer's status is above 599"));
                    }
                    return Ok(head);
                }
            }
            let read = self.read_more(count).await?;
            if read == 0 {
                return Err(closed("before the answer's head"));
            }
            count.add_framing(read)?;
        }
    }

    /// Whether the codec expects a body, so that the connection cannot be kept after an answer that has
    /// none.
    fn expects_body(&mut self) -> io::Result<bool> {
        Ok(self.codec()?.message_type() != MessageType::None)
    }

    /// Reads the body of an answer; the flag is true if the connection cannot be kept after it.
    async fn read_body(
        &mut self,
        head: &ResponseHead,
        count: &mut ByteCount,
    ) -> io::Result<(Bytes, bool)> {
        if !is_framed(head) {
            return Ok((self.read_to_end(count).await?, true));
        }
        if !self.expects_body()? {
            return Ok((Bytes::new(), false));
        }
        let stated = stated_length(head).unwrap_or(0);
        count
            .reserve(stated.saturating_sub(self.buffer.len()))
            .await?;
        let codec = self.codec.take().ok_or_else(unusable)?;
        let mut payload = codec.into_payload_codec();
        let mut body = BytesMut::with_capacity(stated);
        // Bytes read since the last part of the body.
        let mut unused = 0;
        loop {
            match payload.decode(&mut self.buffer).map_err(io::Error::other)? {
                Some(Some(chunk)) => {
                    unused = 0;
                    body.extend_from_slice(&chunk);
                }
                Some(None) => break,
                None => {
                    count.add_framing(unused)?;
                    unused = self.read_more(count).await?;
                    if unused == 0 {
                        return Err(closed("inside the answer's body"));
                    }
                }
            }
        }
        self.codec = Some(payload.into_message_codec());
        Ok((body.freeze(), head.version != Version::HTTP_11))
    }

    /// Reads a body without a length, which ends with the connection.
    async fn read_to_end(&mut self, count: &mut ByteCount) -> io::Result<Bytes> {
        while self.read_more(count).await? > 0 {}
        Ok(self.buffer.split().freeze())
    }

    /// Reads more of an answer, and writes what is left of the request meanwhile. Returns 0 if the
    /// target has closed the connection.
    async fn read_more(&mut self, count: &mut ByteCount) -> io::Result<usize> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        let (mut reader, mut writer) = self.stream.split();
        let read = loop {
            tokio::select! {
                biased;
                written = writer.write_buf(&mut self.unsent), if !self.unsent.is_empty() => {
                    self.write_error = written.err();
                    if self.write_error.is_some() || self.unsent.is_empty() {
                        self.unsent = BytesMut::new();
                    }
                }
                read = reader.read_buf(&mut self.buffer) => break read?,
            }
        };
        // The end of input does not show whether the connection was reset, which the write did.
        if read == 0
            && let Some(error) = self.write_error.take()
        {
            return Err(error);
        }
        count.add(read)?;
        Ok(read)
    }

    fn codec(&mut self) -> io::Result<&mut ClientCodec> {
        self.codec.as_mut().ok_or_else(unusable)
    }
}

/// Whether the body of an answer ends before its connection does.
fn is_framed(head: &ResponseHead) -> bool {
    let has_header = |name| head.headers.contains_key(name);
    has_header("content-length") || has_header("transfer-encoding")
}

/// Length of the body that an answer's head states.
fn stated_length(head: &ResponseHead) -> Option<usize> {
    let value = head.headers.get("content-length")?;
    value.to_str().ok()?.trim().parse().ok()
}

fn invalid_data(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

/// The target closed the connection at the given point of its answer.
fn closed(point: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, format!("closed {point}"))
}

/// Whether an error means that the target closed or reset the connection.
pub(crate) fn is_closed(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, UnexpectedEof};
    let kinds = [
        BrokenPipe,
        ConnectionAborted,
        ConnectionReset,
        UnexpectedEof,
    ];
    kinds.contains(&error.kind())
}

/// Whether an error in opening a connection is a lack of this process or VM, such as of file descriptors,
/// and tells nothing about the target.
pub(crate) fn is_local(error: &io::Error) -> bool {
    let lacks = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
    ];
    Errno::from_io_error(error).is_some_and(|errno| lacks.contains(&errno))
}

/// The codec is missing because reading an earlier body failed.
fn unusable() -> io::Error {
    invalid_data("the connection broke before")
}
