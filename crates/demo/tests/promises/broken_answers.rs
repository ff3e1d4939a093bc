//! Targets of the pools table that stop in the middle of an answer.

use {
    super::{load, options, tables_in_use},
    actix_rt::System,
    rattanturn_demo::{cluster::Cluster, load::CallerStats},
    std::{cell::Cell, net::SocketAddr, rc::Rc},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// Longest request or answer that passes the proxy.
const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// Of this many answers, one is cut. The next one is cut a few bytes later.
const CUT_EVERY: usize = 3;
/// Bytes between two cuts; shorter than the bodies, so that some cuts are inside them.
const CUT_STEP: usize = 7;

/// Starts a proxy that cuts some answers and closes the connection then.
async fn spawn_cutting(target: SocketAddr, answers: Rc<Cell<usize>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answers = answers.clone();
            actix_rt::spawn(async move {
                // Either side may close at any time.
                let _ = forward(stream, target, &answers).await;
            });
        }
    });
    addr
}

/// Forwards requests and answers in turn; each comes in one read, as they are short.
async fn forward(
    mut caller: TcpStream,
    target: SocketAddr,
    answers: &Cell<usize>,
) -> std::io::Result<()> {
    let mut server = TcpStream::connect(target).await?;
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let read = caller.read(&mut buffer).await?;
        if read == 0 {
            return Ok(());
        }
        server.write_all(&buffer[..read]).await?;
        let read = server.read(&mut buffer).await?;
        let number = answers.replace(answers.get() + 1);
        if read == 0 {
            return Ok(());
        }
        if number.is_multiple_of(CUT_EVERY) {
            let sent = (number / CUT_EVERY * CUT_STEP) % read;
            return caller.write_all(&buffer[..sent]).await;
        }
        caller.write_all(&buffer[..read]).await?;
    }
}

/// Runs a load while all targets cut some answers.
fn load_with_cuts(route: &'static str) -> CallerStats {
    System::new().block_on(async {
        let mut cluster = Cluster::spawn_standins(options(0)).unwrap();
        let answers = Rc::<Cell<usize>>::default();
        for n in 0..cluster.targets.len() {
            let old = cluster.targets[n].addr;
            let new = spawn_cutting(old, answers.clone()).await;
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
        seen
    })
}

/// Parts with an empty or a short body were merged into answers.
#[test]
fn a_cut_answer_of_a_part_is_not_merged() {
    let seen = load_with_cuts("search");
    let all = seen.full + seen.partial;
    assert_eq!(seen.wrong, 0, "of {all} answers");
    assert!(seen.full > 0, "of {all} answers");
}

/// Callers got status 200 with an empty or a short body.
#[test]
fn a_cut_answer_to_a_non_idempotent_request_is_not_passed_on_as_a_success() {
    let seen = load_with_cuts("renew");
    // `failed` counts answers that are not JSON, as a body that is cut.
    assert_eq!((seen.wrong, seen.failed), (0, 0), "wrong and unreadable");
    assert!(seen.full > 0 && seen.unknown > 0, "{} whole", seen.full);
}
