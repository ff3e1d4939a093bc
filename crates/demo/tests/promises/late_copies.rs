//! Targets that send a second copy of an answer when the connection is in use again.

use {
    super::{load, options, tables_in_use},
    actix_rt::System,
    rattanturn_demo::cluster::Cluster,
    std::net::SocketAddr,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// Longest request or answer that passes the proxy.
const MAX_MESSAGE_BYTES: usize = 64 << 10;

/// Starts a proxy that sends each answer again before it passes on the next request of a connection.
async fn spawn_late_copies(target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                // Either side may close at any time.
                let _ = forward(stream, target).await;
            });
        }
    });
    addr
}

/// Forwards requests and answers in turn; each comes in one read, as they are short.
async fn forward(mut caller: TcpStream, target: SocketAddr) -> std::io::Result<()> {
    let mut server = TcpStream::connect(target).await?;
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    let mut last: Vec<u8> = Vec::new();
    loop {
        let read = caller.read(&mut buffer).await?;
        if read == 0 {
            return Ok(());
        }
        caller.write_all(&last).await?;
        server.write_all(&buffer[..read]).await?;
        let read = server.read(&mut buffer).await?;
        if read == 0 {
            return Ok(());
        }
        last = buffer[..read].to_vec();
        caller.write_all(&last).await?;
    }
}

/// Runs a load while all targets send late copies, and returns wrong and complete answers.
fn answers_with_late_copies(route: &'static str) -> (u64, u64) {
    System::new().block_on(async {
        let mut cluster = Cluster::spawn_standins(options(0)).unwrap();
        for n in 0..cluster.targets.len() {
            let old = cluster.targets[n].addr;
            let new = spawn_late_copies(old).await;
            for end in ["\n", ","] {
                let (from, to) = (format!("@{old}{end}"), format!("@{new}{end}"));
                cluster.pools = cluster.pools.replace(&from, &to);
            }
        }
        let _ = cluster.put_tables();
        for n in 0..3 {
            cluster.add_daemon(&format!("d{n}")).unwrap();
        }
        cluster.wait_ready().await.unwrap();
        tables_in_use(&cluster).await;
        let seen = load(&cluster, route, 40.0, 1).await;
        cluster.stop();
        (seen.wrong, seen.full)
    })
}

#[test]
fn late_copy_of_an_answer_is_not_taken_for_the_next_query() {
    let (wrong, full) = answers_with_late_copies("search");
    assert_eq!(wrong, 0);
    assert!(full > 0);
}

#[test]
fn late_copy_of_an_answer_is_not_taken_for_the_next_non_idempotent_request() {
    let (wrong, full) = answers_with_late_copies("renew");
    assert_eq!(wrong, 0);
    assert!(full > 0);
}
