//! What the state dump and the answers to callers say when a service cannot be served.

use {
    actix_rt::{System, time::sleep},
    rattanturn_demo::{
        cluster::{Cluster, Options},
        load::{DaemonResolver, RouteLoad, run},
        tier_cluster::{self, PLAIN, TierCluster},
    },
    rattanturn_standins::operator::deregister_target,
    std::time::Duration,
};

const ROUTES: &str = "[route search]\nkind = fan-out\npool = p\ndeadline = 300ms\n";
const POOLS: &str = "[data-centre east]\nregion = r\nstate = in\n\
    [pool p]\nslots = 3\nconnections = 30\n\
    [service p/one]\ntargets = east@127.0.0.1:9001\n";

#[test]
fn state_dump_lists_a_service_without_targets_as_a_problem() {
    System::new().block_on(async {
        let options = tier_cluster::Options {
            shards: 2,
            daemons: 1,
        };
        let cluster = TierCluster::spawn(options).await.unwrap();
        let state = cluster.daemons[0].state().await.unwrap();
        assert_eq!(state["problems"], serde_json::json!([]), "{state:#}");
        for server in cluster
            .servers
            .iter()
            .filter(|s| s.config().service == PLAIN)
        {
            deregister_target(&cluster.store, server);
        }
        sleep(Duration::from_secs(2)).await;
        let state = cluster.daemons[0].state().await.unwrap();
        let problems = state["problems"].to_string();
        assert!(problems.contains("no target is registered"), "{problems}");
        assert!(problems.contains(PLAIN), "{problems}");
    });
}

#[test]
fn answer_without_a_covered_part_has_outcome_unknown_and_not_ran() {
    System::new().block_on(async {
        let mut options = Options::new(ROUTES, POOLS);
        options.daemons = 2;
        options.centre_delay = Duration::ZERO;
        let cluster = Cluster::spawn(options).await.unwrap();
        cluster.wait_ready().await.unwrap();
        for target in &cluster.targets {
            target.state.set_leaving(true);
        }
        let stream = RouteLoad {
            route: "search".into(),
            rate: 20.0,
            idempotent: true,
        };
        let finder = DaemonResolver::new(cluster.frontends(), "east");
        let seen = run(finder, stream, Duration::from_secs(1), 3).await;
        assert_eq!((seen.full, seen.partial, seen.wrong), (0, 0, 0), "{seen:?}");
        assert!(seen.outcomes.contains_key("unknown"), "{seen:?}");
        assert!(!seen.outcomes.contains_key("ran"), "{seen:?}");
        cluster.stop();
    });
}
