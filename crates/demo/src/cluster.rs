//! Targets, platform and daemons of one deployment in one process.

use {
    actix_rt::Arbiter,
    eyre::{Context, ContextCompat, ensure},
    rattanturn_daemon::{Addresses, Daemon},
    rattanturn_platform::objects::TABLES_KEY,
    rattanturn_standins::{platform, target},
    rattanturn_tables::{LogFormat, Settings, SlotPolicy, Tables, TablesObject, parse_tables},
    std::{
        collections::BTreeMap,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::{Arc, mpsc},
        time::{Duration, Instant},
    },
};

/// Threads that targets share.
const TARGET_THREADS: usize = 2;
/// Time that daemons get to settle.
const READY_LIMIT: Duration = Duration::from_mins(1);

/// What a deployment is built from.
#[derive(Clone, Debug)]
pub struct Options {
    /// Text of routes.ini.
    pub routes: String,
    /// Text of pools.ini.
    pub pools: String,
    /// Number of daemons, spread over the data centres.
    pub daemons: usize,
    /// Who may use a target's slots.
    pub slot_policy: SlotPolicy,
    /// Median service time of targets.
    pub service_time: Duration,
    /// One way between two data centres.
    pub centre_delay: Duration,
    /// Seed of the targets' service times.
    pub seed: u64,
}

impl Options {
    /// Eight daemons on the given tables.
    #[must_use]
    pub fn new(routes: &str, pools: &str) -> Self {
        Self {
            routes: routes.into(),
            pools: pools.into(),
            daemons: 8,
            slot_policy: SlotPolicy::Leased,
            service_time: Duration::from_millis(5),
            centre_delay: Duration::from_micros(1_500),
            seed: 1,
        }
    }
}

/// A running stand-in for a target.
pub struct TargetHandle {
    /// Its address.
    pub addr: SocketAddr,
    /// Its state.
    pub state: Arc<target::State>,
    /// Counts of its connections.
    pub connections: Arc<rattanturn_http::ConnectionCounts>,
}

/// A daemon that may have been stopped.
pub struct DaemonHandle {
    /// Its name.
    pub name: String,
    /// Data centre it runs in.
    pub centre: String,
    /// The daemon, while it runs.
    pub daemon: Option<Daemon>,
    /// Its addresses.
    pub addresses: Addresses,
}

/// A running deployment.
pub struct Cluster {
    /// Tables with the stand-ins' real addresses.
    pub tables: Tables,
    /// Text of routes.ini.
    pub routes: String,
    /// Text of pools.ini with the stand-ins' real addresses.
    pub pools: String,
    /// Targets in the order of the table.
    pub targets: Vec<TargetHandle>,
    /// The platform's state.
    pub platform: Arc<platform::State>,
    /// The platform's address.
    pub platform_addr: SocketAddr,
    /// Daemons.
    pub daemons: Vec<DaemonHandle>,
    options: Options,
    arbiters: Vec<Arbiter>,
}

impl Cluster {
    /// Starts targets, platform and daemons and waits until every unit is held.
    ///
    /// # Errors
    ///
    /// The tables are refused, something cannot be bound, or the daemons do not settle.
    pub async fn spawn(options: Options) -> eyre::Result<Self> {
        let mut bed = Self::spawn_standins(options)?;
        let _ = bed.put_tables();
        for i in 0..bed.options.daemons {
            bed.add_daemon(&format!("entry-{i}"))?;
        }
        bed.wait_ready().await?;
        Ok(bed)
    }

    /// Starts targets and platform only.
    ///
    /// # Errors
    ///
    /// The tables are refused or something cannot be bound.
    pub fn spawn_standins(options: Options) -> eyre::Result<Self> {
        let (planned, _) = parse_tables(&options.routes, &options.pools)?;
        let arbiters: Vec<Arbiter> = (0..=TARGET_THREADS).map(|_| Arbiter::new()).collect();
        let (platform_addr, platform) = spawn_platform(&arbiters[TARGET_THREADS])?;
        let targets = spawn_targets(&planned, &options, &arbiters[..TARGET_THREADS])?;
        let mut pools = options.pools.clone();
        let old = planned
            .pools
            .values()
            .flat_map(|p| &p.services)
            .flat_map(|s| &s.targets);
        for (old, new) in old.zip(&targets) {
            // The trailing line end or comma keeps one address from matching inside another.
            for end in ["\n", ",", "\r"] {
                pools = pools.replace(
                    &format!("@{}{end}", old.addr),
                    &format!("@{}{end}", new.addr),
                );
            }
        }
        let (tables, _) = parse_tables(&options.routes, &pools)?;
        Ok(Self {
            tables,
            routes: options.routes.clone(),
            pools,
            targets,
            platform,
            platform_addr,
            daemons: Vec::new(),
            options,
            arbiters,
        })
    }

    /// Writes the present tables to the platform; returns their version.
    #[must_use]
    pub fn put_tables(&self) -> u64 {
        let previous = self.platform.get(TABLES_KEY);
        let previous = previous.and_then(|(_, body)| serde_json::from_slice(&body).ok());
        // Tables that are refused are put all the same: daemons have to refuse them too.
        let object = TablesObject::new(&self.routes, &self.pools, previous.as_ref())
            .unwrap_or_else(|_| TablesObject {
                routes: self.routes.clone(),
                pools: self.pools.clone(),
                ..TablesObject::default()
            });
        let body = serde_json::to_vec_pretty(&object).unwrap_or_default();
        self.platform.put(TABLES_KEY, &body)
    }

    /// Takes a data centre out or back in by an edit of the tables; returns their version.
    ///
    /// # Errors
    ///
    /// The edited tables are refused.
    pub fn set_evacuated(&mut self, centre: &str, evacuated: bool) -> eyre::Result<u64> {
        let (from, to) = if evacuated {
            ("in", "out")
        } else {
            ("out", "in")
        };
        let region = self
            .tables
            .centres
            .get(centre)
            .wrap_err("no such data centre")?
            .region
            .clone();
        let section = |state| format!("[data-centre {centre}]\nregion = {region}\nstate = {state}");
        self.pools = self.pools.replace(&section(from), &section(to));
        self.tables = parse_tables(&self.routes, &self.pools)?.0;
        Ok(self.put_tables())
    }

    /// Starts one more daemon.
    ///
    /// # Errors
    ///
    /// Its listeners cannot be bound.
    pub fn add_daemon(&mut self, name: &str) -> eyre::Result<()> {
        let centres: Vec<&String> = self.tables.centres.keys().collect();
        let centre = centres[self.daemons.len() % centres.len()].clone();
        let peers = self.daemons.iter().filter(|s| s.daemon.is_some());
        let settings = Settings {
            name: name.into(),
            centre: centre.clone(),
            ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
            http_port: 0,
            admin_port: 0,
            metrics_port: None,
            rpc_port: 0,
            gossip_port: 0,
            platform: self.platform_addr,
            peers: peers.map(|s| s.addresses.gossip).collect(),
            threads: 1,
            log_level: "info".into(),
            log_format: LogFormat::Text,
            drain_limit: Duration::from_secs(10),
            max_body: 65_536,
            slot_policy: self.options.slot_policy,
            peer_delay: self.options.centre_delay * 2,
            sharing_daemons: u32::try_from(self.options.daemons).wrap_err("too many daemons")?,
            peer_port: None,
            tier: None,
        };
        let daemon = Daemon::spawn(settings)?;
        let addresses = daemon.addresses();
        self.daemons.push(DaemonHandle {
            name: name.into(),
            centre,
            daemon: Some(daemon),
            addresses,
        });
        Ok(())
    }

    /// Waits until every daemon knows every other and every unit is held by one daemon.
    ///
    /// # Errors
    ///
    /// The daemons do not settle in time.
    pub async fn wait_ready(&self) -> eyre::Result<()> {
        let start = Instant::now();
        loop {
            let states = self.states().await;
            if self.settled(&states) {
                return Ok(());
            }
            ensure!(start.elapsed() < READY_LIMIT, "the daemons did not settle");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// State dumps of the running daemons.
    pub async fn states(&self) -> Vec<serde_json::Value> {
        let mut out = Vec::new();
        for daemon in self.daemons.iter().filter_map(|s| s.daemon.as_ref()) {
            out.extend(daemon.state().await);
        }
        out
    }

    /// Addresses for callers of the running daemons.
    #[must_use]
    pub fn frontends(&self) -> Vec<SocketAddr> {
        self.daemons
            .iter()
            .filter(|s| s.daemon.is_some())
            .map(|s| s.addresses.http)
            .collect()
    }

    /// Kills a daemon: no word to anyone.
    pub fn kill(&mut self, index: usize) {
        if let Some(daemon) = self.daemons[index].daemon.take() {
            daemon.kill();
        }
    }

    /// Takes a daemon out of the bed, to be stopped by the caller.
    #[must_use]
    pub fn take_daemon(&mut self, index: usize) -> Option<Daemon> {
        self.daemons[index].daemon.take()
    }

    /// Ends everything at once.
    pub fn stop(mut self) {
        for i in 0..self.daemons.len() {
            self.kill(i);
        }
        for arbiter in &self.arbiters {
            arbiter.stop();
        }
    }

    fn settled(&self, states: &[serde_json::Value]) -> bool {
        let mut held: BTreeMap<&str, u32> = BTreeMap::new();
        for state in states {
            let alive = state["members"]
                .as_array()
                .map_or(0, |m| m.iter().filter(|m| m["state"] == "Alive").count());
            let newest = self.platform.get(TABLES_KEY).map_or(0, |(v, _)| v);
            if alive != states.len() || state["tables"].as_u64() != Some(newest) {
                return false;
            }
            for unit in state["units"].as_array().into_iter().flatten() {
                let count = held.entry(unit["unit"].as_str().unwrap_or("")).or_default();
                *count += u32::from(unit["mine"] == true);
            }
        }
        let want = match self.options.slot_policy {
            SlotPolicy::Leased => 1,
            SlotPolicy::StaticShares => u32::try_from(states.len()).unwrap_or(u32::MAX),
        };
        !held.is_empty() && held.values().all(|n| *n == want)
    }
}

fn spawn_platform(arbiter: &Arbiter) -> eyre::Result<(SocketAddr, Arc<platform::State>)> {
    let (send, receive) = mpsc::channel();
    arbiter.spawn_fn(move || {
        let spawned = platform::Platform::spawn().map(|p| {
            let shared = (p.addr(), p.state());
            // The stand-in lives as long as its thread.
            std::mem::forget(p);
            shared
        });
        let _ = send.send(spawned);
    });
    Ok(receive.recv()??)
}

fn spawn_targets(
    planned: &Tables,
    options: &Options,
    arbiters: &[Arbiter],
) -> eyre::Result<Vec<TargetHandle>> {
    let mut out = Vec::new();
    for pool in planned.pools.values() {
        for service in &pool.services {
            for planned in &service.targets {
                let config = target::TargetConfig {
                    service: format!("{}/{}", pool.name, service.name),
                    centre: planned.centre.clone(),
                    slots: pool.slots,
                    cold_calls: pool.cold_calls,
                    max_connections: pool.connections as usize,
                    connect_time: pool.connect_time,
                    service_time: options.service_time,
                    remote_delay: options.centre_delay * 2,
                    seed: options.seed.wrapping_add(out.len() as u64),
                };
                let arbiter = &arbiters[out.len() % arbiters.len()];
                out.push(spawn_target(arbiter, config)?);
            }
        }
    }
    Ok(out)
}

fn spawn_target(arbiter: &Arbiter, config: target::TargetConfig) -> eyre::Result<TargetHandle> {
    let (send, receive) = mpsc::channel();
    arbiter.spawn_fn(move || {
        let spawned = target::Target::spawn(config).map(|t| {
            let shared = (t.addr(), t.state(), t.connections());
            // The stand-in lives as long as its thread.
            std::mem::forget(t);
            shared
        });
        let _ = send.send(spawned);
    });
    let (addr, state, connections) = receive.recv()??;
    Ok(TargetHandle {
        addr,
        state,
        connections,
    })
}
