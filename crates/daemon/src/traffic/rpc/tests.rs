use {
    super::{CallResult, MAX_CALLS_BYTES, ObjectRef, Peers, vat_network},
    crate::{
        clock,
        routing::Destination,
        traffic::{calls::call_template, holder::HolderCall},
    },
    actix_rt::{System, time::sleep},
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side},
    rattanturn_core::NodeId,
    rattanturn_wire::peer_capnp::peer,
    std::{
        future::pending,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::net::{TcpListener, TcpStream},
};

/// Number of a call that gets no answer.
const ENDLESS: u64 = 1;
/// Time that all other calls take.
const CALL_TIME: Duration = Duration::from_millis(300);
/// Pause between two calls.
const INTERVAL: Duration = Duration::from_millis(50);

/// Answers all calls but [`ENDLESS`].
struct Daemon;

impl peer::Server for Daemon {
    async fn run(
        self: ObjectRef<Self>,
        params: peer::RunParams,
        _: peer::RunResults,
    ) -> Result<(), capnp::Error> {
        let number = params.get()?.get_calls()?.get(0).get_number();
        if number == ENDLESS {
            pending::<()>().await;
        }
        sleep(CALL_TIME).await;
        Ok(())
    }
}

fn serve(stream: TcpStream) {
    let client: peer::Client = capnp_rpc::new_client(Daemon);
    let network = Box::new(vat_network(stream, Side::Server, MAX_CALLS_BYTES));
    let system = RpcSystem::new(network, Some(client.client));
    actix_rt::spawn(async move {
        let _ = system.await;
    });
}

/// Starts a daemon on whose first `silent` connections nothing is read or written.
async fn spawn_daemon(silent: usize) -> Destination {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let mut kept = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            if kept.len() < silent {
                kept.push(stream);
            } else {
                serve(stream);
            }
        }
    });
    Destination {
        id: NodeId(1),
        addr,
        other_centre: false,
    }
}

fn peers() -> Peers {
    Peers::new(Rc::new(|_: CallResult| {}), Duration::ZERO)
}

/// Sends one call, and returns whether it was answered.
async fn run(peers: Peers, to: Destination, number: u64, limit: Duration) -> bool {
    let call = HolderCall {
        number,
        deadline: clock::now() + limit,
        ..call_template(to.addr)
    };
    peers.run(to, &[call]).await.is_ok()
}

/// Sends calls at regular times, and returns how many of them were not answered.
async fn count_lost(peers: &Peers, to: Destination, time: Duration) -> usize {
    let (start, mut sent) = (Instant::now(), Vec::new());
    while start.elapsed() < time {
        let call = run(peers.clone(), to, ENDLESS + 1, Duration::from_secs(2));
        sent.push(actix_rt::spawn(call));
        sleep(INTERVAL).await;
    }
    let answered = futures::future::join_all(sent).await;
    answered.iter().filter(|a| !*a.as_ref().unwrap()).count()
}

#[test]
fn calls_are_not_lost_with_another_one_whose_answer_is_overdue() {
    System::new().block_on(async {
        let (peers, to) = (peers(), spawn_daemon(0).await);
        let overdue = run(peers.clone(), to, ENDLESS, INTERVAL);
        let overdue = actix_rt::spawn(overdue);
        let lost = count_lost(&peers, to, Duration::from_secs(2)).await;
        assert!(!overdue.await.unwrap());
        assert_eq!(lost, 0);
    });
}

#[test]
fn calls_on_a_connection_that_is_closed_as_silent_end_at_once() {
    System::new().block_on(async {
        let (peers, to) = (peers(), spawn_daemon(1).await);
        let start = Instant::now();
        let first = run(peers.clone(), to, ENDLESS, INTERVAL);
        let second = async {
            sleep(INTERVAL).await;
            run(peers.clone(), to, ENDLESS + 1, Duration::from_secs(20)).await
        };
        let answered = futures::future::join(first, second).await;
        assert_eq!(answered, (false, false));
        let took = start.elapsed();
        assert!(took < Duration::from_secs(10), "{took:?}");
    });
}

/// Guards against connections that are closed one after another, each by the calls of the one before it.
#[test]
fn calls_on_a_new_connection_are_not_lost_with_those_of_a_silent_one() {
    System::new().block_on(async {
        let (peers, to) = (peers(), spawn_daemon(1).await);
        let overdue = run(peers.clone(), to, ENDLESS, INTERVAL);
        let overdue = actix_rt::spawn(overdue);
        sleep(INTERVAL).await;
        let others = peers.clone();
        let before =
            actix_rt::spawn(
                async move { count_lost(&others, to, Duration::from_millis(400)).await },
            );
        assert!(!overdue.await.unwrap());
        // The calls before have deadlines within this time.
        let after = count_lost(&peers, to, Duration::from_secs(3)).await;
        assert!(before.await.unwrap() > 0, "the connection is not silent");
        assert_eq!(after, 0);
    });
}
