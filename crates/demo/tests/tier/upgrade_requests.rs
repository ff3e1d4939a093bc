//! Requests that ask to switch the connection to another protocol are served like all others.

use {
    super::{front_addr, plain_servers, run_count, with_cluster},
    rattanturn_demo::tier_cluster::TierCluster,
    rattanturn_standins::operator::HOST,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Longest time for an answer that no timeout of the daemon has a part in.
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// Pause between the parts in which a request is sent.
const PART_INTERVAL: Duration = Duration::from_millis(50);
/// The protocols that requests ask for.
const PROTOCOLS: [&str; 2] = ["websocket", "h2c"];

/// Head of a request that asks for another protocol, up to its first headers.
fn head(protocol: &str, id: &str) -> String {
    format!(
        "POST /once/x HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nconnection: upgrade\r\n\
         upgrade: {protocol}\r\n"
    )
}

/// Sends a request in `parts`, and returns what the daemon answers before it closes the connection.
async fn answer_to(at: SocketAddr, parts: &[&str], half_closed: bool) -> String {
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream.set_nodelay(true).unwrap();
    for part in parts {
        stream.write_all(part.as_bytes()).await.unwrap();
        sleep(PART_INTERVAL).await;
    }
    if half_closed {
        stream.shutdown().await.unwrap();
    }
    let mut answer = Vec::new();
    let read = timeout(ANSWER_TIME, stream.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "still open, half closed: {half_closed}");
    String::from_utf8(answer).unwrap()
}

/// Lengths of the bodies that the servers got with a request, each time that it ran; from the first time
/// on that this is called, calls are recorded.
fn body_lengths(cluster: &TierCluster, id: &str) -> Vec<String> {
    let servers = plain_servers(cluster);
    let calls = servers.iter().flat_map(|s| s.take_calls());
    let ran = calls.filter(|c| c.ran && c.id == id);
    ran.map(|c| c.header("content-length").join(", ")).collect()
}

/// Guards against waiting for a body that such a request does not have, and against no answer at all
/// if its caller sends nothing more.
#[test]
fn requests_that_ask_for_another_protocol_are_answered() {
    with_cluster(1, async |cluster| {
        for protocol in PROTOCOLS {
            for half_closed in [false, true] {
                let request = head(protocol, "u1") + "\r\n";
                let answer = answer_to(front_addr(cluster, 0), &[&request], half_closed).await;
                assert!(answer.starts_with("HTTP/1.1 200 "), "{protocol}: {answer}");
            }
        }
    });
}

/// Guards against a refusal of such a request, against one that runs without its body or with more than
/// it, and against a request made of what follows the body.
#[test]
fn requests_that_ask_for_another_protocol_run_with_their_body_alone() {
    with_cluster(1, async |cluster| {
        let bodies = [
            ("length", "content-length: 2\r\n\r\nh", "i"),
            (
                "chunked",
                "transfer-encoding: chunked\r\n\r\n2\r\nh",
                "i\r\n0\r\n\r\n",
            ),
            ("empty", "content-length: 0\r\n\r\n", ""),
        ];
        assert!(body_lengths(cluster, "").is_empty());
        for protocol in PROTOCOLS {
            for (kind, start, end) in bodies {
                let (id, later) = (format!("{protocol}-{kind}"), format!("{protocol}-{kind}-2"));
                let start = head(protocol, &id) + start;
                let end = format!("{end}{}content-length: 0\r\n\r\n", head("h2c", &later));
                let answer = answer_to(front_addr(cluster, 0), &[&start, &end], false).await;
                assert!(answer.starts_with("HTTP/1.1 200 "), "{id}: {answer}");
                let heads = answer.matches("HTTP/1.1 ").count();
                let later_runs = run_count(&plain_servers(cluster), &later);
                assert_eq!((heads, later_runs), (1, 0), "{id}: the rest is a request");
                let length = if kind == "empty" { "" } else { "2" };
                assert_eq!(body_lengths(cluster, &id), [length], "{id}");
            }
        }
    });
}

/// Guards against a caller that waits in vain to be told to send the body.
#[test]
fn requests_that_ask_for_another_protocol_are_told_to_send_their_body() {
    with_cluster(1, async |cluster| {
        let request = head("websocket", "u1") + "expect: 100-continue\r\ncontent-length: 2\r\n\r\n";
        let answer = answer_to(front_addr(cluster, 0), &[&request, "hi"], false).await;
        let expected = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 ";
        assert!(answer.starts_with(expected), "{answer}");
    });
}

/// Guards against a body whose length no limit holds for, and against a length that two readers take
/// differently.
#[test]
fn requests_that_ask_for_another_protocol_with_unusable_lengths_are_refused() {
    with_cluster(1, async |cluster| {
        let cases = [
            ("content-length: 300000\r\n", "413"),
            ("content-length: 99999999999999999999\r\n", "400"),
            ("content-length: 2\r\ncontent-length: 2\r\n", "400"),
            ("content-length: 2\r\ntransfer-encoding: chunked\r\n", "400"),
            ("content-length: +2\r\n", "400"),
            ("content-length: 2, 2\r\n", "400"),
        ];
        for (headers, status) in cases {
            let request = head("websocket", "u1") + headers + "\r\nhi";
            let answer = answer_to(front_addr(cluster, 0), &[&request], false).await;
            let expected = format!("HTTP/1.1 {status} ");
            assert!(answer.starts_with(&expected), "{headers}: {answer}");
        }
        assert_eq!(run_count(&plain_servers(cluster), "u1"), 0);
    });
}
