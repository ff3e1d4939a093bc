//! Stand-ins that are stopped and started again keep their ports, and get ports that were used before.

use {
    actix_rt::{System, time::sleep},
    rattanturn_standins::{
        proxy::Proxy,
        shard::{TargetConfig, spawn},
    },
    std::{
        io::ErrorKind,
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
    tokio::{
        io::AsyncReadExt,
        net::{TcpListener, TcpSocket, TcpStream},
    },
};

const ANY_PORT: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

/// Time in which a stand-in notices that it was stopped or started.
const NOTICE_TIME: Duration = Duration::from_secs(1);

#[test]
fn a_stopped_target_listens_again_although_others_look_for_a_port() {
    System::new().block_on(async {
        let config = TargetConfig {
            id: "i-1".into(),
            service: "plain".into(),
            centre: "a".into(),
            service_time: Duration::ZERO,
            version: "v1".into(),
        };
        let target = spawn(config).await.unwrap();
        assert!(target.stop());
        sleep(NOTICE_TIME).await;
        let other = TcpSocket::new_v4().unwrap();
        let taken = other.bind(target.addr());
        target.start();
        sleep(NOTICE_TIME).await;
        let connected = TcpStream::connect(target.addr()).await;
        assert!(connected.is_ok(), "port taken: {:?}", taken.is_ok());
    });
}

#[test]
fn a_proxy_listens_where_an_earlier_one_closed_connections() {
    let (at, server) = System::new().block_on(async {
        let server = TcpListener::bind(ANY_PORT).await.unwrap();
        let server_addr = server.local_addr().unwrap();
        let proxy = Proxy::bind(ANY_PORT.into(), server_addr).await.unwrap();
        let mut caller = TcpStream::connect(proxy.addr).await.unwrap();
        // The server closes first, so the port waits out the connection on the proxy's side.
        drop(server.accept().await.unwrap());
        assert_eq!(caller.read(&mut [0; 1]).await.unwrap(), 0);
        (proxy.addr, server_addr)
    });
    let bound = System::new().block_on(Proxy::bind(at, server));
    assert!(bound.is_ok(), "{bound:?}");
}

#[test]
fn a_proxy_does_not_share_an_address_with_another_one() {
    System::new().block_on(async {
        let first = Proxy::bind(ANY_PORT.into(), SocketAddr::from(ANY_PORT))
            .await
            .unwrap();
        let second = Proxy::bind(first.addr, first.addr).await;
        assert_eq!(second.unwrap_err().kind(), ErrorKind::AddrInUse);
    });
}
