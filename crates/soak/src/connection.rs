//! A caller over one kept connection, written by hand so that each way to fail is told apart.

use {
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

const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// What became of a request.
#[derive(Debug)]
pub(crate) enum Ended {
    Answered(Answer),
    /// No connection came about.
    Unconnected,
    /// The connection ended before the first byte of an answer.
    Closed,
    /// The connection ended within the answer.
    Broken,
    /// Nothing came in time.
    Silent,
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    headers: BTreeMap<String, String>,
    pub(crate) body: Vec<u8>,
}

impl Answer {
    /// What it says of the targets behind it.
    pub(crate) fn source(&self) -> AnswerSource {
        answer_source(|name| self.headers.get(name).map(String::as_str))
    }

    fn closes(&self) -> bool {
        let value = self.headers.get("connection");
        value.is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// A connection kept between requests.
#[derive(Default)]
pub(crate) struct Connection {
    open: Option<(SocketAddr, TcpStream)>,
    /// When the connection in use was opened.
    pub(crate) opened: Option<Instant>,
}

impl Connection {
    /// Sends a request and waits for its whole answer; a body makes it a POST.
    pub(crate) async fn ask(
        &mut self,
        to: SocketAddr,
        path: &str,
        id: &str,
        body: &str,
        limit: Duration,
    ) -> Ended {
        let deadline = Instant::now() + limit;
        let kept = self.open.take().filter(|(addr, _)| *addr == to);
        let mut stream = match kept {
            Some((_, stream)) => stream,
            None => match timeout(CONNECT_LIMIT, TcpStream::connect(to)).await {
                Ok(Ok(stream)) => {
                    self.opened = Some(Instant::now());
                    stream
                }
                _ => return Ended::Unconnected,
            },
        };
        let method = if body.is_empty() { "GET" } else { "POST" };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(text.as_bytes()).await.is_err() {
            return Ended::Closed;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let ended = timeout(left, read(&mut stream)).await;
        let ended = ended.unwrap_or(Ended::Silent);
        if let Ended::Answered(answer) = &ended
            && !answer.closes()
        {
            self.open = Some((to, stream));
        }
        ended
    }
}

async fn read(stream: &mut TcpStream) -> Ended {
    let mut bytes = Vec::new();
    let head = loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        match stream.read_buf(&mut bytes).await {
            Ok(n) if n > 0 => {}
            _ if bytes.is_empty() => return Ended::Closed,
            _ => return Ended::Broken,
        }
    };
    let text = String::from_utf8_lossy(&bytes[..head]).into_owned();
    let mut lines = text.lines();
    let status = lines.next().and_then(|l| l.split(' ').nth(1)?.parse().ok());
    let pairs = lines.filter_map(|l| l.split_once(':'));
    let headers: BTreeMap<String, String> = pairs
        .map(|(k, v)| (k.to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    let length: Option<usize> = headers.get("content-length").and_then(|l| l.parse().ok());
    let (Some(status), Some(length)) = (status, length) else {
        return Ended::Broken;
    };
    while bytes.len() < head + length {
        match stream.read_buf(&mut bytes).await {
            Ok(n) if n > 0 => {}
            _ => return Ended::Broken,
        }
    }
    Ended::Answered(Answer {
        status,
        headers,
        body: bytes[head..head + length].to_vec(),
    })
}
