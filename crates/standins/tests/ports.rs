//! Stand-ins that are stopped and started again keep their ports.

use {
    actix_rt::{System, time::sleep},
    rattanturn_standins::shard::{TargetConfig, spawn},
    std::time::Duration,
    tokio::net::{TcpSocket, TcpStream},
};

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
