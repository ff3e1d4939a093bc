//! A daemon that starts while the machine has no processor to spare.
//!
//! The test is a program of its own, because its busy threads would starve all tests beside it.

use {
    actix_rt::System,
    rattanturn_demo::tier_cluster::{Options, TierCluster, request},
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// On a busy machine the traffic thread may start after control has published its first view.
/// Guards against missing that view: the daemon would be ready but refuse requests.
#[test]
fn daemon_started_on_a_busy_machine_serves_as_soon_as_it_is_ready() {
    let stop = Arc::new(AtomicBool::new(false));
    let busy: Vec<_> = (0..24)
        .map(|_| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            })
        })
        .collect();
    System::new().block_on(async {
        let options = Options {
            shards: 4,
            daemons: 1,
        };
        let mut cluster = TierCluster::spawn(options).await.unwrap();
        for i in 0..30 {
            cluster.kill_all();
            cluster.start_daemons(1).unwrap();
            cluster.wait_ready().await.unwrap();
            let at = cluster.daemons[0].addresses().front;
            let answer = request(at, "/one/x", &format!("b{i}"), "").await.unwrap();
            assert_eq!(answer.status, 200, "start {i}");
        }
    });
    stop.store(true, Ordering::Relaxed);
    for thread in busy {
        thread.join().unwrap();
    }
}
