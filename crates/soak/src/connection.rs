//! An HTTP/1.1 client with one kept-alive connection.
//!
//! It is written by hand because the checks must tell each way to fail from the others, which
//! client libraries hide behind their own retries and errors. It reads only what the daemons send:
//! an answer must have a `content-length`.

use {
    crate::accounts::FORGED_NAME,
    actix_rt::time::sleep,
    rattanturn_platform::caller::{AnswerSource, answer_source},
    rattanturn_standins::operator::HOST,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// Longest time for opening a connection. It counts towards the request's limit but is not cut
/// short by it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The outcome of a request.
#[derive(Debug)]
pub(crate) enum Outcome {
    Answered(Answer),
    /// No connection could be opened within `CONNECT_TIMEOUT`.
    ConnectFailed,
    /// The connection ended before the first byte of the answer.
    Closed,
    /// The connection ended within the answer, or its status or length could not be read.
    Truncated,
    /// The answer was not complete within the time limit.
    TimedOut,
}

impl Outcome {
    /// The status of the answer, or the name of the failure.
    pub(crate) fn name(&self) -> String {
        match self {
            Self::Answered(answer) => answer.status.to_string(),
            other => format!("{other:?}"),
        }
    }

    /// Whether a daemon has answered with a 502 of its own, which no target signed.
    pub(crate) fn is_lost_answer(&self) -> bool {
        match self {
            Self::Answered(a) => a.status == 502 && a.source().signer.is_none(),
            _ => false,
        }
    }

    /// Status of the answer, if there was one.
    pub(crate) fn status(&self) -> Option<u16> {
        match self {
            Self::Answered(answer) => Some(answer.status),
            _ => None,
        }
    }
}

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// By name in lower case.
    pub(crate) headers: BTreeMap<String, String>,
    pub(crate) body: Vec<u8>,
}

impl Answer {
    /// The targets that signed the answer or its parts, and the number of missing parts.
    pub(crate) fn source(&self) -> AnswerSource {
        answer_source(|name| self.headers.get(name).map(String::as_str))
    }

    /// Id of the request that the answer belongs to, if it says so.
    pub(crate) fn request_id(&self) -> Option<&str> {
        self.headers.get("x-request-id").map(String::as_str)
    }

    /// Whether the daemon closes the connection after this answer.
    pub(crate) fn ends_connection(&self) -> bool {
        let value = self.headers.get("connection");
        value.is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// A client whose connection stays open between requests to the same address.
#[derive(Default)]
pub(crate) struct Connection {
    open: Option<(SocketAddr, TcpStream)>,
    /// Key that requests carry, beside a forged name of an account.
    pub(crate) key: Option<String>,
    /// When it last opened a connection; `None` if it has never had one.
    pub(crate) opened_at: Option<Instant>,
    /// When it had written the whole of its last request.
    pub(crate) written_at: Option<Instant>,
}

impl Connection {
    /// Sends a request and waits up to `limit` for its complete answer.
    ///
    /// The method is POST if there is a body and GET otherwise; `id` becomes the request id.
    pub(crate) async fn send(
        &mut self,
        to: SocketAddr,
        path: &str,
        id: &str,
        body: &str,
        limit: Duration,
    ) -> Outcome {
        let deadline = Instant::now() + limit;
        self.written_at = None;
        let kept = self.open.take().filter(|(addr, _)| *addr == to);
        let mut stream = match kept {
            Some((_, stream)) => stream,
            None => match timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await {
                Ok(Ok(stream)) => {
                    self.opened_at = Some(Instant::now());
                    stream
                }
                _ => return Outcome::ConnectFailed,
            },
        };
        let method = if body.is_empty() { "GET" } else { "POST" };
        let account = self.key.as_ref().map_or(String::new(), |key| {
            format!("authorization: Bearer {key}\r\nx_tenant: {FORGED_NAME}\r\n")
        });
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n{account}\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(text.as_bytes()).await.is_err() {
            return Outcome::Closed;
        }
        self.written_at = Some(Instant::now());
        let left = deadline.saturating_duration_since(Instant::now());
        let outcome = timeout(left, read_answer(&mut stream, &mut Vec::new(), None)).await;
        let outcome = outcome.unwrap_or(Outcome::TimedOut);
        if let Outcome::Answered(answer) = &outcome
            && !answer.ends_connection()
        {
            self.open = Some((to, stream));
        }
        outcome
    }
}

/// How a caller reads that is slower than the daemon writes: a part, then a pause.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    pub(crate) bytes: usize,
    pub(crate) pause: Duration,
}

/// Reads one answer. `bytes` holds what was read of it before, and afterwards what follows it.
pub(crate) async fn read_answer(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
    pace: Option<Pace>,
) -> Outcome {
    let head_len = loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        match read_part(stream, bytes, pace).await {
            Ok(n) if n > 0 => {}
            _ if bytes.is_empty() => return Outcome::Closed,
            _ => return Outcome::Truncated,
        }
    };
    let text = String::from_utf8_lossy(&bytes[..head_len]).into_owned();
    let mut lines = text.lines();
    let status = lines.next().and_then(|l| l.split(' ').nth(1)?.parse().ok());
    let pairs = lines.filter_map(|l| l.split_once(':'));
    let headers: BTreeMap<String, String> = pairs
        .map(|(k, v)| (k.to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    let length: Option<usize> = headers.get("content-length").and_then(|l| l.parse().ok());
    let (Some(status), Some(length)) = (status, length) else {
        return Outcome::Truncated;
    };
    while bytes.len() < head_len + length {
        match read_part(stream, bytes, pace).await {
            Ok(n) if n > 0 => {}
            _ => return Outcome::Truncated,
        }
    }
    let rest = bytes.split_off(head_len + length);
    let body = std::mem::replace(bytes, rest).split_off(head_len);
    Outcome::Answered(Answer {
        status,
        headers,
        body,
    })
}

async fn read_part(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
    pace: Option<Pace>,
) -> std::io::Result<usize> {
    let Some(pace) = pace else {
        return stream.read_buf(bytes).await;
    };
    sleep(pace.pause).await;
    stream.take(pace.bytes as u64).read_buf(bytes).await
}
