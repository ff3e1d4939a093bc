use {
    super::{
        super::{Gauges, calls::Calls, holder::Holder, rpc},
        DedupOwner,
    },
    crate::{
        clock,
        routing::{Destination, LeaseState, Routing, Unit},
    },
    actix_rt::{System, time::sleep},
    rattanturn_core::{
        NodeId,
        lease::{LEASE_DURATION, LeaseTerm, LeaseTerms, UnitId},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

const FORMER: NodeId = NodeId(1);
const NEXT: NodeId = NodeId(2);
const PARTITION: UnitId = UnitId(7);
/// Time in which a table is sent on one machine.
const SEND_TIME: Duration = Duration::from_millis(200);

fn owner(me: NodeId) -> DedupOwner {
    let (routing, gauges) = (Arc::default(), Arc::new(Gauges::default()));
    let holder = Holder::new(Arc::clone(&routing), "a", None);
    let calls = Calls::new(me, (0, 1), routing.clone(), holder, Duration::ZERO);
    DedupOwner::new(routing, calls, gauges)
}

/// Serves an owner's RPC.
async fn serve(owner: &DedupOwner) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let server = rpc::Server {
        holder: Holder::new(owner.routing.clone(), "a", None),
        dedup_owner: owner.clone(),
        objects: Arc::default(),
        gauges: owner.gauges.clone(),
    };
    actix_rt::spawn(rpc::serve(listener, server));
    addr
}

/// Routing in which the partition belongs to a daemon.
fn routing(id: NodeId, addr: SocketAddr, lease: &Arc<LeaseState>) -> Arc<Routing> {
    let destination = Destination {
        id,
        addr,
        other_centre: false,
    };
    let unit = Unit {
        id: PARTITION,
        name: "journal/0".into(),
        centre: None,
        holder: Some(id),
        destination: Some(destination),
        lease: Some(lease.clone()),
    };
    Arc::new(Routing {
        units: vec![unit],
        ..Routing::default()
    })
}

/// Guards against a table that is lost because its lease is closed before the routing names the next owner.
#[test]
fn table_is_handed_over_only_once_the_routing_names_another_owner() {
    System::new().block_on(async {
        let (former, next) = (owner(FORMER), owner(NEXT));
        let addr = serve(&next).await;
        let lease = Arc::new(LeaseState::default());
        let term = LeaseTerm {
            holder: FORMER,
            number: 1,
        };
        let terms = LeaseTerms {
            current: Some(term),
            previous: None,
        };
        lease.set(clock::now() + LEASE_DURATION, 0, terms);
        lease.close();
        former.routing.store(routing(FORMER, addr, &lease));
        former.tick();
        sleep(SEND_TIME).await;
        former.routing.store(routing(NEXT, addr, &lease));
        former.tick();
        while !lease.handover_finished() {
            sleep(Duration::from_millis(10)).await;
        }
        assert!(next.partitions.borrow().has_received(PARTITION));
    });
}
