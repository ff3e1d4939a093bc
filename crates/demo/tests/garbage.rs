//! Malformed HTTP from servers and callers and malformed datagrams: no malformed answer reaches a
//! caller, and no daemon stops.

use {
    actix_rt::System,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rattanturn_core::{
        NodeId,
        membership::{Message, MessageKind, Versions},
    },
    rattanturn_demo::tier_cluster::{Options, PLAIN, TierCluster, request},
    rattanturn_wire::{Datagram, encode},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

const SEED: u64 = 29;
/// Longest time in which a daemon must close a connection that sent malformed HTTP.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Fragments of HTTP messages. Sequences of them get further into a parser than random bytes alone.
const FRAGMENTS: [&str; 16] = [
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 503 Busy\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.0 200 OK\r\n",
    "GET /one/x HTTP/1.1\r\n",
    "POST /once/x HTTP/1.1\r\n",
    "host: desk.example\r\n",
    "x-request-id: other\r\n",
    "x-server-seal: s.1\r\n",
    "x-not-executed: 1\r\n",
    "content-length: 5\r\n",
    "content-length: 99999999999999999999\r\n",
    "transfer-encoding: chunked\r\n",
    "5\r\nhello\r\n",
    "\r\n",
    "0\r\n\r\n",
];

/// A random sequence of HTTP fragments and random bytes.
fn malformed_http(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let mut out = Vec::new();
    for _ in 0..rng.random_range(1..12) {
        if rng.random_range(0..5) == 0 {
            out.extend((0..rng.random_range(0..40)).map(|_| rng.random::<u8>()));
        } else {
            out.extend(FRAGMENTS[rng.random_range(0..FRAGMENTS.len())].bytes());
        }
    }
    out
}

/// Starts a server that answers each connection with malformed HTTP; returns its address.
async fn spawn_malformed_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        while let Ok((mut stream, _)) = listener.accept().await {
            let bytes = malformed_http(&mut rng);
            actix_rt::spawn(async move {
                let mut buffer = [0; 1024];
                // The daemon may close the connection at any time, so errors are expected.
                let _ = stream.read(&mut buffer).await;
                let _ = stream.write_all(&bytes).await;
            });
        }
    });
    addr
}

fn with_cluster(test: impl AsyncFnOnce(&TierCluster)) {
    System::new().block_on(async {
        let options = Options {
            shards: 2,
            daemons: 1,
        };
        test(&TierCluster::spawn(options).await.unwrap()).await;
    });
}

#[test]
fn malformed_answers_of_a_server_never_reach_a_caller() {
    with_cluster(async |cluster| {
        let plain = cluster
            .servers
            .iter()
            .filter(|s| s.config().service == PLAIN);
        let (faulty, healthy) = {
            let servers: Vec<_> = plain.collect();
            (servers[0], servers[1])
        };
        let mut entry = faulty.entry("ready", 2);
        entry["address"] = spawn_malformed_server().await.to_string().into();
        cluster.store.write("servers", &faulty.config().id, entry);
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let at = cluster.daemons[0].addresses().front;
        let mut served = 0;
        for i in 0..300 {
            let id = format!("g{i}");
            let answer = request(at, "/one/x", &id, "").await.unwrap();
            if answer.status == 200 {
                served += 1;
                assert_eq!(answer.header("x-request-id"), id);
                assert_eq!(
                    answer.body,
                    healthy.records(),
                    "a malformed answer reached the caller"
                );
            } else {
                assert!(matches!(answer.status, 502..=504), "{}", answer.status);
            }
        }
        assert!(
            served > 200,
            "the healthy server answered only {served} of 300 requests"
        );
    });
}

#[test]
fn malformed_requests_of_callers_do_not_stop_the_daemon() {
    with_cluster(async |cluster| {
        let at = cluster.daemons[0].addresses().front;
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        let callers = (0..200)
            .map(|_| malformed_http(&mut rng))
            .map(|bytes| async move {
                let mut stream = TcpStream::connect(at).await.unwrap();
                // The daemon may close the connection before it has read everything.
                let _ = stream.write_all(&bytes).await;
                let _ = stream.shutdown().await;
                let mut answer = Vec::new();
                let read = timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut answer)).await;
                assert!(read.is_ok(), "the daemon left the connection open");
                assert!(answer.is_empty() || answer.starts_with(b"HTTP/1.1 "));
            });
        futures::future::join_all(callers).await;
        let answer = request(at, "/all/x", "after", "").await.unwrap();
        assert_eq!(
            (answer.status, answer.header("x-missing-shards")),
            (200, "0")
        );
    });
}

/// Fragments of the datagrams that daemons send each other as JSON.
const DATAGRAM_FRAGMENTS: [&str; 12] = [
    "{\"from\":7,\"evidence\":[",
    "{\"request\":\"00112233445566778899aabbccddeeff\",",
    "{\"request\":\"00112233445566778899aabbccddeef\u{e9}\",",
    "\"round\":4294967295,",
    "\"round\":-1,",
    "\"ended\":[1,2,3,4,5,6,7,8,9],",
    "\"ended\":[99999999999999999999],",
    "\"trials\":4294967295,",
    "\"age_ms\":18446744073709551615}",
    "\"age_ms\":0}",
    "]}",
    "[[[[[[[[[[",
];

/// A random datagram: fragments, random bytes, or a valid membership message with some bytes changed.
fn malformed_datagram(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let mut out = Vec::new();
    match rng.random_range(0..3) {
        0 => {
            for _ in 0..rng.random_range(1..8) {
                out.extend(
                    DATAGRAM_FRAGMENTS[rng.random_range(0..DATAGRAM_FRAGMENTS.len())].bytes(),
                );
            }
        }
        1 => out.extend((0..rng.random_range(0..300)).map(|_| rng.random::<u8>())),
        _ => {
            out = encode(&Datagram::Gossip(Message {
                from: NodeId(rng.random()),
                kind: MessageKind::Probe(1),
                digest: rng.random(),
                versions: Versions::default(),
                records: Vec::new(),
            }));
            for _ in 0..rng.random_range(1..6) {
                let at = rng.random_range(0..out.len());
                out[at] = rng.random();
            }
        }
    }
    out
}

#[test]
fn malformed_datagrams_do_not_stop_the_daemon() {
    with_cluster(async |cluster| {
        let at = cluster.daemons[0].addresses().gossip;
        let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        for n in 0..2_000 {
            socket
                .send_to(&malformed_datagram(&mut rng), at)
                .await
                .unwrap();
            if n % 50 == 0 {
                actix_rt::time::sleep(Duration::from_millis(2)).await;
            }
        }
        let state = timeout(CLOSE_TIMEOUT, cluster.daemons[0].state()).await;
        assert!(state.unwrap().is_some(), "the control thread has ended");
        let front = cluster.daemons[0].addresses().front;
        let answer = request(front, "/all/x", "after", "").await.unwrap();
        assert_eq!(answer.status, 200);
    });
}

#[test]
fn malformed_bytes_on_any_port_do_not_stop_the_daemon() {
    with_cluster(async |cluster| {
        let at = cluster.daemons[0].addresses();
        let ports = [at.rpc, at.ready, at.directory, at.admin];
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        for n in 0..200 {
            let mut stream = TcpStream::connect(ports[n % ports.len()]).await.unwrap();
            let bytes = if rng.random() {
                malformed_http(&mut rng)
            } else {
                malformed_datagram(&mut rng)
            };
            // The daemon may close the connection before it has read everything.
            let _ = stream.write_all(&bytes).await;
        }
        let state = timeout(CLOSE_TIMEOUT, cluster.daemons[0].state()).await;
        assert!(state.unwrap().is_some(), "the control thread has ended");
        let resolved = cluster.resolve(at, "a").await.unwrap();
        assert_eq!(resolved, [at.front]);
        let answer = request(at.front, "/all/x", "after", "").await.unwrap();
        assert_eq!(answer.status, 200);
    });
}
