//! Requests that ask to switch the connection to another protocol are served like all others.

use {
    super::{front_addr, plain_servers, run_count, with_cluster},
    rattanturn_standins::operator::HOST,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// Longest time for an answer that no timeout of the daemon has a part in.
const ANSWER_TIME: Duration = Duration::from_secs(2);

/// Sends a request that asks for another protocol, with `rest` behind its first headers, and returns
/// what the daemon answers before it closes the connection.
async fn answer_to(at: SocketAddr, rest: &str, half_closed: bool) -> String {
    let mut stream = TcpStream::connect(at).await.unwrap();
    let head = format!(
        "POST /one/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: u1\r\nconnection: upgrade\r\n\
         upgrade: websocket\r\n{rest}"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    if half_closed {
        stream.shutdown().await.unwrap();
    }
    let mut answer = Vec::new();
    let read = timeout(ANSWER_TIME, stream.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "still open, half closed: {half_closed}");
    String::from_utf8(answer).unwrap()
}

/// Guards against waiting for a body that such a request does not have, and against no answer at all
/// if its caller sends nothing more.
#[test]
fn requests_that_ask_for_another_protocol_are_answered() {
    with_cluster(1, async |cluster| {
        for half_closed in [false, true] {
            let answer = answer_to(front_addr(cluster, 0), "\r\n", half_closed).await;
            assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        }
    });
}

/// Guards against a request that runs without its body.
#[test]
fn requests_that_ask_for_another_protocol_with_a_body_are_refused() {
    with_cluster(1, async |cluster| {
        let rest = "content-length: 2\r\n\r\nhi";
        let answer = answer_to(front_addr(cluster, 0), rest, false).await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
        assert_eq!(run_count(&plain_servers(cluster), "u1"), 0);
    });
}
