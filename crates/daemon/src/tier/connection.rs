//! One connection to a target: a request at a time, its whole answer or the way it broke.
//!
//! Only one request is ever open on a connection, and an answer counts only if it names that
//! request's id. Targets may send an answer twice, late, cut off or without a length: bytes that
//! belong to no open request are skipped or end the connection, and a body without a length is
//! whole only if the connection ended without an error.

use {
    crate::clock,
    actix_http::{
        RequestHeadType, ResponseHead, Version,
        body::BodySize,
        h1::{ClientCodec, Message, MessageType},
    },
    bytes::{Bytes, BytesMut},
    rattanturn_core::Time,
    rattanturn_platform::http::{AnswerHead, answer_head},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
    tokio_util::codec::{Decoder, Encoder},
};

/// Time for setting up a connection: a handshake takes some 10 ms, and a lost packet 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Answers to other requests that are skipped before the connection is given up.
const MAX_SKIPPED_ANSWERS: u32 = 3;
/// An idle connection is left this long before the target would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle time of a connection whose target does not tell its own.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Read buffer of a connection in use, in bytes.
const READ_BUFFER_BYTES: usize = 4 << 10;

/// A target's whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) head: AnswerHead,
    pub(crate) status: u16,
    pub(crate) headers: actix_http::header::HeaderMap,
    pub(crate) body: Bytes,
}

/// A connection to one target.
pub(crate) struct TargetConnection {
    stream: TcpStream,
    buffer: BytesMut,
    codec: Option<ClientCodec>,
    idle_since: Time,
    idle_timeout: Duration,
    reusable: bool,
}

impl TargetConnection {
    /// Connects; an error means that no request has left.
    pub(crate) async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            codec: Some(ClientCodec::default()),
            idle_since: clock::now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            reusable: true,
        })
    }

    /// Whether another request may be sent: nothing unexpected came and the target still waits.
    pub(crate) fn is_reusable(&self, now: Time) -> bool {
        let quiet = || {
            let read = self.stream.try_read(&mut [0]);
            matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
        };
        self.reusable
            && self.buffer.is_empty()
            && now.since(self.idle_since) < self.idle_timeout
            && quiet()
    }

    /// Sends a request and waits for its answer.
    ///
    /// An error means that the request may have run.
    pub(crate) async fn round_trip(
        &mut self,
        head: RequestHeadType,
        body: &Bytes,
        id: Option<&str>,
    ) -> io::Result<Answer> {
        self.reusable = false;
        let size = match body.len() {
            0 => BodySize::None,
            len => BodySize::Sized(len as u64),
        };
        let mut out = BytesMut::with_capacity(512 + body.len());
        let codec = self.codec()?;
        codec.encode(Message::Item((head, size)), &mut out)?;
        out.extend_from_slice(body);
        self.stream.write_all(&out).await?;
        drop(out);
        for _ in 0..=MAX_SKIPPED_ANSWERS {
            let answer = self.read_answer().await?;
            if answer.head.request.as_deref() == id {
                return Ok(answer);
            }
            if !self.reusable {
                break;
            }
            self.reusable = false;
        }
        Err(invalid_data("the answer belongs to another request"))
    }

    async fn read_answer(&mut self) -> io::Result<Answer> {
        let head = loop {
            let head = self.read_head().await?;
            // Interim answers announce the final one.
            if !head.status.is_informational() {
                break head;
            }
        };
        let (body, ended) = self.read_body(&head).await?;
        let answer = Answer {
            head: answer_head(&head),
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        };
        let kept = self.codec.as_ref().is_some_and(ClientCodec::keep_alive);
        self.reusable = kept && !ended;
        self.idle_since = clock::now();
        self.idle_timeout = answer
            .head
            .keep_alive
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .saturating_sub(IDLE_MARGIN);
        if self.buffer.is_empty() {
            // An idle connection holds no buffer.
            self.buffer = BytesMut::new();
        }
        Ok(answer)
    }

    async fn read_head(&mut self) -> io::Result<ResponseHead> {
        loop {
            if !self.buffer.is_empty() {
                let codec = self.codec.as_mut().ok_or_else(unusable)?;
                if let Some(head) = codec.decode(&mut self.buffer).map_err(io::Error::other)? {
                    return Ok(head);
                }
            }
            if self.read_more().await? == 0 {
                return Err(invalid_data("closed before the answer's head"));
            }
        }
    }

    /// Reads the body; true if the connection ended with it.
    async fn read_body(&mut self, head: &ResponseHead) -> io::Result<(Bytes, bool)> {
        let has = |name| head.headers.contains_key(name);
        let framed = has("content-length") || has("transfer-encoding");
        let status = head.status.as_u16();
        if !framed && status != 204 && status != 304 {
            return Ok((self.read_to_end().await?, true));
        }
        if self.codec()?.message_type() == MessageType::None {
            return Ok((Bytes::new(), false));
        }
        let codec = self.codec.take().ok_or_else(unusable)?;
        let mut payload = codec.into_payload_codec();
        let mut body = BytesMut::new();
        loop {
            match payload.decode(&mut self.buffer).map_err(io::Error::other)? {
                Some(Some(chunk)) => body.extend_from_slice(&chunk),
                Some(None) => break,
                None => {
                    if self.read_more().await? == 0 {
                        return Err(invalid_data("closed inside the answer's body"));
                    }
                }
            }
            if body.len() > MAX_ANSWER_BYTES {
                return Err(invalid_data("the answer is too large"));
            }
        }
        self.codec = Some(payload.into_message_codec());
        Ok((body.freeze(), head.version != Version::HTTP_11))
    }

    async fn read_to_end(&mut self) -> io::Result<Bytes> {
        while self.read_more().await? > 0 {
            if self.buffer.len() > MAX_ANSWER_BYTES {
                return Err(invalid_data("the answer is too large"));
            }
        }
        Ok(self.buffer.split().freeze())
    }

    async fn read_more(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        self.stream.read_buf(&mut self.buffer).await
    }

    fn codec(&mut self) -> io::Result<&mut ClientCodec> {
        self.codec.as_mut().ok_or_else(unusable)
    }
}

fn invalid_data(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

fn unusable() -> io::Error {
    invalid_data("the connection broke before")
}
