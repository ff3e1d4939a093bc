//! Writes the answers of a target.
//!
//! They are written as raw bytes and not by an HTTP server, because some faults break the framing of
//! HTTP. The price is that heads and lengths are formatted by hand.

use {
    super::{Endless, Fault, State},
    std::io,
    tokio::{io::AsyncWriteExt, net::TcpStream},
};

impl Endless {
    /// What comes first, and what is repeated without end.
    fn bytes(self) -> (&'static str, &'static str) {
        const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        match self {
            Self::Head => ("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
            Self::Informational => ("", "HTTP/1.1 100 Continue\r\n\r\n"),
            Self::OtherAnswers => ("", "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabcd"),
            Self::Body => ("HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef"),
            Self::Chunks => (CHUNKED, "10\r\n0123456789abcdef\r\n"),
            Self::ChunkExtension => (CHUNKED, "10;"),
        }
    }
}

/// Sends an answer to a request that ran; returns whether the connection stays usable.
///
/// The request is given by its id and the number of copies of the records that it asks for.
/// `late_copy` gets what is to be sent again.
pub(super) async fn answer(
    state: &State,
    stream: &mut TcpStream,
    (id, copies): (&str, usize),
    fault: Fault,
    late_copy: &mut Vec<u8>,
) -> io::Result<bool> {
    let answer_number = state.with(|i| {
        i.answer_count += 1;
        i.answer_count
    });
    let signature = format!("{}.{answer_number}", state.id());
    let sealed = ("x-server-seal", signature.as_str());
    let body = state.records().repeat(copies);
    let status = match fault {
        Fault::Failed => 500,
        Fault::Unavailable => 503,
        _ => 200,
    };
    let whole = [
        head(state, status, id, sealed, Some(body.len())),
        body.clone(),
    ]
    .concat();
    match fault {
        Fault::Lost => return Ok(false),
        Fault::Silent => std::future::pending().await,
        Fault::Endless(kind) => {
            state.with(|i| i.counters.endless_open += 1);
            // Writing fails once the caller has closed.
            let _ = write_endless(state, stream, kind).await;
            state.with(|i| i.counters.endless_open -= 1);
            return Ok(false);
        }
        Fault::Truncated => {
            stream.write_all(&whole[..whole.len() - 20]).await?;
            return Ok(false);
        }
        Fault::Unframed => {
            let unframed = head(state, status, id, sealed, None);
            stream.write_all(&[unframed, body].concat()).await?;
            stream.shutdown().await?;
            return Ok(false);
        }
        Fault::Duplicated => stream.write_all(&[whole.clone(), whole].concat()).await?,
        Fault::DuplicatedLate => {
            stream.write_all(&whole).await?;
            *late_copy = whole;
        }
        Fault::None | Fault::Refused | Fault::Failed | Fault::Unavailable => {
            stream.write_all(&whole).await?;
        }
    }
    Ok(true)
}

async fn write_endless(state: &State, stream: &mut TcpStream, kind: Endless) -> io::Result<()> {
    let (first, repeated) = kind.bytes();
    stream.write_all(first.as_bytes()).await?;
    // An extension has a single begin.
    let block = match kind {
        Endless::ChunkExtension => {
            stream.write_all(repeated.as_bytes()).await?;
            "x".repeat(4096)
        }
        _ => repeated.repeat(256),
    };
    let mut written = 0;
    loop {
        stream.write_all(block.as_bytes()).await?;
        written += block.len();
        state.with(|i| i.counters.endless_bytes = i.counters.endless_bytes.max(written));
    }
}

/// Head of an answer with one extra header; without a `length` it announces that the connection
/// closes.
pub(super) fn head(
    state: &State,
    status: u16,
    id: &str,
    (name, value): (&str, &str),
    length: Option<usize>,
) -> Vec<u8> {
    let length = length.map_or("connection: close\r\n".into(), |l| {
        format!("content-length: {l}\r\n")
    });
    let (limit, leaving) = state.with(|i| (i.rate_limit, i.leaving));
    let leaving = if leaving { "server-leaving: 1\r\n" } else { "" };
    let limit = limit.map_or(String::new(), |l| format!("server-limit: {l}\r\n"));
    format!(
        "HTTP/1.1 {status} Status\r\nx-request-id: {id}\r\n{name}: {value}\r\n\
         x-server-load: {}\r\n{limit}{leaving}{length}\r\n",
        state.slots.load()
    )
    .into_bytes()
}
