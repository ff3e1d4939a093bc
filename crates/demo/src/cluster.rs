//! Starts a cluster in one process: stand-ins for the targets and the platform, and real daemons
//! that talk to them and to each other over loopback.
//!
//! Daemons, targets and callers share one machine, so measured latencies include their contention
//! for the processor.

use {
    actix_rt::Arbiter,
    eyre::{Context, ContextCompat, ensure},
    rattanturn_daemon::{Addresses, Daemon},
    rattanturn_platform::objects::TABLES_KEY,
    rattanturn_standins::{platform, proxy::Proxy, target},
    rattanturn_tables::{LogFormat, Settings, SlotPolicy, Tables, TablesObject, parse_tables},
    std::{
        collections::BTreeMap,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::{Arc, mpsc},
        time::{Duration, Instant},
    },
};

/// Threads that all targets share; the platform has one more.
const TARGET_THREADS: usize = 2;
/// Time between the begin of a daemon's graceful stop and its end at the latest. Two thirds of it are
/// longer than the 7 s after which no caller uses the daemon's address any more.
const DRAIN_LIMIT: Duration = Duration::from_secs(17);
/// Longest wait for the daemons to agree on members, tables and leases.
const READY_TIMEOUT: Duration = Duration::from_mins(1);

/// The tables, size and timing of a cluster.
#[derive(Clone, Debug)]
pub struct Options {
    /// Text of routes.ini.
    pub routes: String,
    /// Text of pools.ini; the addresses of targets in it are replaced by those of the stand-ins.
    pub pools: String,
    /// Number of daemons that [`Cluster::spawn`] starts, assigned to the data centres in turn.
    pub daemons: usize,
    /// How daemons share a target's slots: by leases or in fixed shares.
    pub slot_policy: SlotPolicy,
    /// Median service time of all targets.
    pub service_time: Duration,
    /// One-way network delay between two data centres, simulated by targets and daemons.
    pub centre_delay: Duration,
    /// Seed of the targets' random service times.
    pub seed: u64,
}

impl Options {
    /// Eight daemons that lease slots, 5 ms of service time, 1.5 ms of delay between data centres.
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
    /// Address that daemons connect to.
    pub addr: SocketAddr,
    /// Switches faults on and off and counts calls.
    pub state: Arc<target::State>,
    /// Connections that are open, the most that were open at once, and those refused.
    pub connections: Arc<rattanturn_http::ConnectionCounts>,
}

/// A daemon of the cluster; it keeps its place in the list after it has stopped.
pub struct DaemonHandle {
    /// Name in the daemon's settings.
    pub name: String,
    /// Data centre that the daemon runs in.
    pub centre: String,
    /// `None` once the daemon was killed or taken.
    pub daemon: Option<Daemon>,
    /// Addresses that the daemon listens on, or did while it ran.
    pub addresses: Addresses,
}

/// A running cluster.
pub struct Cluster {
    /// Parsed tables with the stand-ins' addresses.
    pub tables: Tables,
    /// Text of routes.ini; an edit takes effect with [`Cluster::put_tables`].
    pub routes: String,
    /// Text of pools.ini with the stand-ins' addresses; an edit takes effect with
    /// [`Cluster::put_tables`].
    pub pools: String,
    /// Targets, by pool, then in the order of the pool's services and of their targets.
    pub targets: Vec<TargetHandle>,
    /// Objects of the platform's stand-in and the faults that it simulates.
    pub platform: Arc<platform::State>,
    /// Address of the platform's object API.
    pub platform_addr: SocketAddr,
    /// Daemons in the order of their start, stopped ones included.
    pub daemons: Vec<DaemonHandle>,
    /// Proxies through which other daemons call those started by
    /// [`Cluster::add_proxied_daemon`].
    pub proxies: Vec<Proxy>,
    options: Options,
    arbiters: Vec<Arbiter>,
}

impl Cluster {
    /// Starts targets, platform and daemons and waits as [`Cluster::wait_ready`] does.
    ///
    /// # Errors
    ///
    /// The tables are invalid, a listener cannot be bound, or the daemons are not ready in time.
    pub async fn spawn(options: Options) -> eyre::Result<Self> {
        let mut cluster = Self::spawn_standins(options)?;
        let _ = cluster.put_tables();
        for i in 0..cluster.options.daemons {
            cluster.add_daemon(&format!("entry-{i}"))?;
        }
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Starts targets and platform, but no daemons, and writes no tables to the platform.
    ///
    /// # Errors
    ///
    /// The tables are invalid or a listener cannot be bound.
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
            // The pattern includes the line end or comma after an address because an address can
            // be a prefix of another.
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
            proxies: Vec::new(),
            options,
            arbiters,
        })
    }

    /// Writes `routes` and `pools` to the platform and returns the version of the object.
    #[must_use]
    pub fn put_tables(&self) -> u64 {
        let previous = self.platform.get(TABLES_KEY);
        let previous = previous.and_then(|(_, body)| serde_json::from_slice(&body).ok());
        // Invalid tables are written as well, so that tests can check that daemons reject them.
        let object = TablesObject::new(&self.routes, &self.pools, previous.as_ref())
            .unwrap_or_else(|_| TablesObject {
                routes: self.routes.clone(),
                pools: self.pools.clone(),
                ..TablesObject::default()
            });
        let body = serde_json::to_vec_pretty(&object).unwrap_or_default();
        self.platform.put(TABLES_KEY, &body)
    }

    /// Evacuates a data centre, or brings it back, by an edit of the tables; returns the version of
    /// the written object.
    ///
    /// # Errors
    ///
    /// There is no such data centre, or the edited tables are invalid.
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

    /// Starts one more daemon in the next data centre; the running daemons are its gossip seeds.
    ///
    /// # Errors
    ///
    /// A listener of the daemon cannot be bound.
    pub fn add_daemon(&mut self, name: &str) -> eyre::Result<()> {
        self.start_daemon(name, None)
    }

    /// Like [`Cluster::add_daemon`], but other daemons call it through one of
    /// [`Cluster::proxies`].
    ///
    /// # Errors
    ///
    /// A listener of the daemon or the proxy cannot be bound.
    pub async fn add_proxied_daemon(&mut self, name: &str) -> eyre::Result<()> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let proxy = Proxy::bind(any_port, any_port).await?;
        self.start_daemon(name, Some(proxy.addr.port()))?;
        if let Some(started) = self.daemons.last() {
            proxy.set_server(started.addresses.rpc);
        }
        self.proxies.push(proxy);
        Ok(())
    }

    fn start_daemon(&mut self, name: &str, advertised_port: Option<u16>) -> eyre::Result<()> {
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
            advertised_rpc_port: advertised_port,
            advertised_gossip_port: None,
            rpc_port: 0,
            gossip_port: 0,
            platform: self.platform_addr,
            peers: peers.map(|s| s.addresses.gossip).collect(),
            threads: 1,
            log_level: "info".into(),
            log_format: LogFormat::Text,
            drain_limit: DRAIN_LIMIT,
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

    /// Waits until every running daemon sees all others as alive, has the newest tables, and every
    /// unit has its holder: one daemon with leases, all daemons with static shares.
    ///
    /// # Errors
    ///
    /// The daemons do not agree within a minute.
    pub async fn wait_ready(&self) -> eyre::Result<()> {
        let start = Instant::now();
        loop {
            let states = self.states().await;
            let Some(problem) = self.unsettled(&states) else {
                return Ok(());
            };
            ensure!(
                start.elapsed() < READY_TIMEOUT,
                "the daemons did not agree on members, tables and leases in time: {problem}"
            );
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// State dumps of the running daemons, in the order of their start.
    pub async fn states(&self) -> Vec<serde_json::Value> {
        let mut out = Vec::new();
        for daemon in self.daemons.iter().filter_map(|s| s.daemon.as_ref()) {
            out.extend(daemon.state().await);
        }
        out
    }

    /// Addresses at which the running daemons accept callers.
    #[must_use]
    pub fn frontends(&self) -> Vec<SocketAddr> {
        self.daemons
            .iter()
            .filter(|s| s.daemon.is_some())
            .map(|s| s.addresses.http)
            .collect()
    }

    /// Kills a daemon without a graceful shutdown: it notifies neither its peers nor its callers.
    pub fn kill(&mut self, index: usize) {
        if let Some(daemon) = self.daemons[index].daemon.take() {
            daemon.kill();
        }
    }

    /// Hands a running daemon over to the caller, who stops it; `None` if it does not run.
    #[must_use]
    pub fn take_daemon(&mut self, index: usize) -> Option<Daemon> {
        self.daemons[index].daemon.take()
    }

    /// Kills all daemons and stops the threads of the stand-ins.
    pub fn stop(mut self) {
        for i in 0..self.daemons.len() {
            self.kill(i);
        }
        for arbiter in &self.arbiters {
            arbiter.stop();
        }
    }

    /// What the daemons do not agree on yet.
    fn unsettled(&self, states: &[serde_json::Value]) -> Option<String> {
        let mut held: BTreeMap<&str, u32> = BTreeMap::new();
        for state in states {
            let alive = state["members"]
                .as_array()
                .map_or(0, |m| m.iter().filter(|m| m["state"] == "Alive").count());
            let newest = self.platform.get(TABLES_KEY).map_or(0, |(v, _)| v);
            if alive != states.len() || state["tables"].as_u64() != Some(newest) {
                let (daemons, tables) = (states.len(), &state["tables"]);
                return Some(format!(
                    "{alive} of {daemons} alive, tables {tables} of {newest}"
                ));
            }
            for unit in state["units"].as_array().into_iter().flatten() {
                let count = held.entry(unit["unit"].as_str().unwrap_or("")).or_default();
                *count += u32::from(unit["mine"] == true);
            }
        }
        let holders = match self.options.slot_policy {
            SlotPolicy::Leased => 1,
            SlotPolicy::StaticShares => u32::try_from(states.len()).unwrap_or(u32::MAX),
        };
        if held.is_empty() {
            return Some("no units are known".into());
        }
        held.retain(|_, n| *n != holders);
        (!held.is_empty()).then(|| format!("holders of units: {held:?}"))
    }
}

fn spawn_platform(arbiter: &Arbiter) -> eyre::Result<(SocketAddr, Arc<platform::State>)> {
    let (send, receive) = mpsc::channel();
    arbiter.spawn_fn(move || {
        let spawned = platform::Platform::spawn().map(|p| {
            let shared = (p.addr(), p.state());
            // Dropping the stand-in would close its listener, which has to serve until its thread
            // ends.
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
            // Dropping the stand-in would close its listener, which has to serve until its thread
            // ends.
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
