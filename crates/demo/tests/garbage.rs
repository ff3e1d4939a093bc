//! Arbitrary bytes from servers and from callers: they reach no other request and end no daemon.

use {
    actix_rt::System,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rattanturn_demo::tier_cluster::{Options, PLAIN, TierCluster, request},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

const SEED: u64 = 29;
/// Longest wait for a daemon to end a connection that makes no sense.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);

/// Pieces of which answers and requests are mixed, so that they come near to sense.
const PIECES: [&str; 16] = [
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

fn mixed(rng: &mut ChaCha8Rng) -> Vec<u8> {
    let mut out = Vec::new();
    for _ in 0..rng.random_range(1..12) {
        if rng.random_range(0..5) == 0 {
            out.extend((0..rng.random_range(0..40)).map(|_| rng.random::<u8>()));
        } else {
            out.extend(PIECES[rng.random_range(0..PIECES.len())].bytes());
        }
    }
    out
}

/// A server that answers every connection with a mix of pieces.
async fn spawn_garbage() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        while let Ok((mut stream, _)) = listener.accept().await {
            let bytes = mixed(&mut rng);
            actix_rt::spawn(async move {
                let mut buffer = [0; 1024];
                // The daemon may end the connection at any time.
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
fn nothing_that_a_server_sends_becomes_an_answer_to_another_request() {
    with_cluster(async |cluster| {
        let plain = cluster
            .servers
            .iter()
            .filter(|s| s.shape().service == PLAIN);
        let (faulty, sound) = {
            let servers: Vec<_> = plain.collect();
            (servers[0], servers[1])
        };
        let mut entry = faulty.entry("ready", 2);
        entry["address"] = spawn_garbage().await.to_string().into();
        cluster.store.write("servers", &faulty.shape().id, entry);
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let at = cluster.daemons[0].addresses().front;
        let mut served = 0;
        for i in 0..300 {
            let id = format!("g{i}");
            let answer = request(at, "/one/x", &id, "").await.unwrap();
            if answer.status == 200 {
                served += 1;
                assert_eq!(answer.header("x-request-id"), id);
                assert_eq!(answer.body, sound.records(), "garbage became an answer");
            } else {
                assert!(matches!(answer.status, 502..=504), "{}", answer.status);
            }
        }
        assert!(
            served > 200,
            "only {served} of 300 served by the sound server"
        );
    });
}

#[test]
fn nothing_that_a_caller_sends_ends_the_daemon() {
    with_cluster(async |cluster| {
        let at = cluster.daemons[0].addresses().front;
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        let callers = (0..200).map(|_| mixed(&mut rng)).map(|bytes| async move {
            let mut stream = TcpStream::connect(at).await.unwrap();
            // The daemon may refuse the rest and close.
            let _ = stream.write_all(&bytes).await;
            let _ = stream.shutdown().await;
            let mut answer = Vec::new();
            let read = timeout(ANSWER_LIMIT, stream.read_to_end(&mut answer)).await;
            assert!(read.is_ok(), "a connection was held open");
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
