//! Starts a cluster with a query tier in one process: stand-ins for the platform's store and for
//! the servers, and real daemons, all on loopback.
//!
//! Unlike [`crate::cluster`], it has no tables: daemons read routes, services and server addresses
//! from the store.

use {
    actix_rt::Arbiter,
    awc::Client,
    cpu_time::ThreadTime,
    eyre::{Context, ensure, eyre},
    rattanturn_daemon::{Tier, TierAddresses},
    rattanturn_standins::{
        datagram_links::DatagramLinks,
        operator::{ConfigBuilder, HOST, register_target},
        platform,
        proxy::{LinkMode, Proxy},
        shard,
    },
    rattanturn_tables::Settings,
    std::{
        collections::BTreeMap,
        net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket},
        sync::{Arc, mpsc},
        time::{Duration, Instant},
    },
};

/// Time that a server works on each request.
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Time for which callers wait for an answer, if nothing else is said.
const REQUEST_LIMIT: Duration = Duration::from_secs(2);
/// Longest wait for all daemons to report that they are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of checking whether a thread runs late.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay of a thread that is reported. It is half of the latency goal of the gather route, which the
/// answers of the stand-ins cannot meet then.
const STALL_TIME: Duration = Duration::from_millis(100);
/// First value of [`TierCluster::drain_limit`].
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Data centres: each service has a server in both, and daemons are assigned to them in turn.
pub const CENTRES: [&str; 2] = ["a", "b"];

/// Address of the gateway; each server is reached there on its own port.
const GATEWAY: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 9));

/// Lets a proxy listen on a free port.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The size of a cluster.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of shards, each a service with a server in both data centres.
    pub shards: usize,
    /// Number of daemons that [`TierCluster::spawn`] starts.
    pub daemons: usize,
}

/// A running tier with its store and servers.
pub struct TierCluster {
    /// Objects of the store's stand-in and the faults that it simulates.
    pub store: Arc<platform::State>,
    /// Address at which daemons reach the store.
    pub store_addr: SocketAddr,
    /// Servers of the shards in the order of [`CENTRES`], then the two of [`PLAIN`].
    pub servers: Vec<Arc<shard::State>>,
    /// Names of the shards' services.
    pub services: Vec<String>,
    /// The routes and services; an edit takes effect with [`ConfigBuilder::write`].
    pub config: ConfigBuilder,
    /// Running daemons in the order of their start.
    pub daemons: Vec<Tier>,
    /// Proxies of the daemons started by [`TierCluster::start_proxied`]: for each of them the one to
    /// the store, then the one that other daemons reach it through.
    pub proxies: Vec<Proxy>,
    /// Proxies through which the daemons started by [`TierCluster::start_behind_gateway`] reach the
    /// servers, one for each server.
    pub gateway: Vec<Proxy>,
    /// Links between the daemons started by [`TierCluster::start_isolatable`].
    pub links: DatagramLinks,
    /// Gossip address that other daemons are told, of each daemon started so, by its own address.
    public_gossip: BTreeMap<SocketAddr, SocketAddr>,
    started: usize,
    /// Setting `drain-limit` of the daemons that are started from now on: the longest time that a
    /// graceful shutdown may take.
    pub drain_limit: Duration,
    /// Lines in the section `[tier]` of all daemons' settings.
    tier_settings: String,
    standins: Arbiter,
}

/// A complete HTTP answer of a daemon.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers, among them the `x-` headers that report the outcome.
    pub headers: awc::http::header::HeaderMap,
    /// Complete body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Value of a header; empty if it is absent or not printable ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or("")
    }
}

/// Name of the unsharded service, which the routes `/one/` and `/once/` lead to.
pub const PLAIN: &str = "plain";

/// Ends the daemons and the stand-ins, which would go on to take processor time from what runs next.
impl Drop for TierCluster {
    fn drop(&mut self) {
        for daemon in self.daemons.drain(..) {
            daemon.kill();
        }
        self.standins.stop();
    }
}

impl TierCluster {
    /// Starts store, servers and daemons and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// A listener cannot be bound, or a daemon is not ready in time.
    pub async fn spawn(options: Options) -> eyre::Result<Self> {
        Self::spawn_with(options, "").await
    }

    /// Like [`Self::spawn`], with `tier_settings` as lines in the section `[tier]` of all daemons'
    /// settings.
    ///
    /// # Errors
    ///
    /// As for [`Self::spawn`].
    pub async fn spawn_with(options: Options, tier_settings: &str) -> eyre::Result<Self> {
        let services: Vec<String> = (0..options.shards).map(|i| format!("shard-{i}")).collect();
        let names = services.iter().map(String::as_str).chain([PLAIN]);
        let configs: Vec<shard::TargetConfig> = names
            .flat_map(|service| CENTRES.map(|centre| (service, centre)))
            .map(|(service, centre)| shard::TargetConfig {
                id: format!("i-{service}-{centre}"),
                service: service.into(),
                centre: centre.into(),
                service_time: SERVICE_TIME,
                version: "v1".into(),
            })
            .collect();
        let standins = Arbiter::new();
        let (send, receive) = mpsc::channel();
        standins.spawn_fn(move || {
            actix_rt::spawn(report_stalls("the stand-ins"));
            actix_rt::spawn(async move {
                // Sending cannot fail: the receiver is kept until a result arrives.
                let _ = send.send(spawn_standins(configs).await);
            });
        });
        actix_rt::spawn(report_stalls("the callers"));
        let started = actix_rt::task::spawn_blocking(move || receive.recv()).await??;
        let (store_addr, store, servers) = started?;
        let config = ConfigBuilder::default()
            .gather_route("/all/", &services, 200)
            .single_route("/one/", PLAIN, true)
            .single_route("/once/", PLAIN, false);
        let mut cluster = Self {
            store,
            store_addr,
            servers,
            services,
            config,
            daemons: Vec::new(),
            proxies: Vec::new(),
            gateway: Vec::new(),
            links: DatagramLinks::default(),
            public_gossip: BTreeMap::new(),
            started: 0,
            drain_limit: DRAIN_LIMIT,
            tier_settings: tier_settings.into(),
            standins,
        };
        for server in &cluster.servers {
            register_target(&cluster.store, server, "ready", 1);
        }
        cluster.config.write(&cluster.store);
        cluster.start_daemons(options.daemons)?;
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Starts servers of another version of a service, one in each data centre, and registers them.
    ///
    /// # Errors
    ///
    /// A listener of a server cannot be bound.
    pub async fn start_version(
        &self,
        service: &str,
        version: &str,
        flaw: Option<&shard::Flaw>,
    ) -> eyre::Result<Vec<Arc<shard::State>>> {
        let mut servers = Vec::new();
        for centre in CENTRES {
            let config = shard::TargetConfig {
                id: format!("i-{service}-{version}-{centre}"),
                service: service.into(),
                centre: centre.into(),
                service_time: SERVICE_TIME,
                version: version.into(),
            };
            let (send, receive) = mpsc::channel();
            self.standins.spawn_fn(move || {
                actix_rt::spawn(async move {
                    // Sending cannot fail: the receiver is kept until a result arrives.
                    let _ = send.send(shard::spawn(config).await);
                });
            });
            let server = actix_rt::task::spawn_blocking(move || receive.recv()).await???;
            server.set_flaw(flaw.cloned());
            register_target(&self.store, &server, "ready", 1);
            servers.push(server);
        }
        Ok(servers)
    }

    /// Starts more daemons with one core each; does not wait until they are ready.
    ///
    /// # Errors
    ///
    /// A listener of a daemon cannot be bound.
    pub fn start_daemons(&mut self, count: usize) -> eyre::Result<()> {
        self.start_with_cores(count, 1.0)
    }

    /// Starts more daemons whose settings give each of them `cores` cores, which may be a fraction.
    ///
    /// # Errors
    ///
    /// A listener of a daemon cannot be bound.
    pub fn start_with_cores(&mut self, count: usize, cores: f64) -> eyre::Result<()> {
        (0..count).try_for_each(|_| self.start_with_store(self.store_addr, cores))
    }

    /// Starts a daemon that reads another store than [`TierCluster::store_addr`], so that a test
    /// can give one daemon a store with a fault.
    ///
    /// # Errors
    ///
    /// A listener of the daemon cannot be bound.
    pub fn start_with_store(&mut self, store: SocketAddr, cores: f64) -> eyre::Result<()> {
        self.start(store, cores, "")
    }

    /// Starts more daemons with `cores` cores each that reach the store and each other through
    /// [`TierCluster::proxies`].
    ///
    /// # Errors
    ///
    /// A listener of a daemon or of a proxy cannot be bound.
    pub async fn start_proxied(&mut self, count: usize, cores: f64) -> eyre::Result<()> {
        for _ in 0..count {
            let store = Proxy::bind(ANY_PORT, self.store_addr).await?;
            let rpc = Proxy::bind(ANY_PORT, ANY_PORT).await?;
            let setting = format!("advertised-rpc-port = {}\n", rpc.addr.port());
            self.start(store.addr, cores, &setting)?;
            if let Some(daemon) = self.daemons.last() {
                rpc.set_server(daemon.addresses().rpc);
            }
            self.proxies.extend([store, rpc]);
        }
        Ok(())
    }

    /// Starts more daemons that reach the servers through [`TierCluster::gateway`], so that a test can
    /// cut them off from all servers.
    ///
    /// # Errors
    ///
    /// A listener of a daemon or of the gateway cannot be bound.
    pub async fn start_behind_gateway(&mut self, count: usize) -> eyre::Result<()> {
        let setting = self.open_gateway().await?;
        (0..count).try_for_each(|_| self.start_with(self.store_addr, 1.0, "", &setting))
    }

    /// Starts more daemons that are proxied as by [`Self::start_proxied`] and exchange datagrams over
    /// [`TierCluster::links`], so that a test can cut each of them off from the store and the others.
    /// All daemons of the cluster must be started so. With `gateway`, they reach the servers as by
    /// [`Self::start_behind_gateway`].
    ///
    /// # Errors
    ///
    /// A listener of a daemon, of a proxy or of a link cannot be bound.
    pub async fn start_isolatable(&mut self, count: usize, gateway: bool) -> eyre::Result<()> {
        let tier = if gateway {
            self.open_gateway().await?
        } else {
            String::new()
        };
        for _ in 0..count {
            let store = Proxy::bind(ANY_PORT, self.store_addr).await?;
            let rpc = Proxy::bind(ANY_PORT, ANY_PORT).await?;
            let public = self.links.bind(ANY_PORT).await?;
            let setting = format!(
                "advertised-rpc-port = {}\nadvertised-gossip-port = {}\n",
                rpc.addr.port(),
                public.port()
            );
            self.start_with(store.addr, 1.0, &setting, &tier)?;
            if let Some(daemon) = self.daemons.last() {
                let addresses = daemon.addresses();
                rpc.set_server(addresses.rpc);
                self.links.set_daemon(public, addresses.gossip);
                self.public_gossip.insert(addresses.gossip, public);
            }
            self.proxies.extend([store, rpc]);
        }
        Ok(())
    }

    /// Cuts a daemon started by [`Self::start_isolatable`] off from the other daemons, or reconnects
    /// it. `number` counts the daemons so started.
    pub fn set_isolated(&self, number: usize, isolated: bool) {
        let own = self.daemons[number].addresses().gossip;
        if let Some(public) = self.public_gossip.get(&own) {
            self.links.set_isolated(*public, isolated);
        }
        let rpc = self.proxies.iter().skip(1).step_by(2);
        for (n, proxy) in rpc.enumerate() {
            // What it asks the others for goes through their proxies.
            if n == number || self.daemons.len() == 2 {
                proxy.set_mode(if isolated {
                    LinkMode::Reset
                } else {
                    LinkMode::Normal
                });
                proxy.set_accepting(!isolated);
            }
        }
    }

    /// Cuts a daemon started by [`Self::start_isolatable`] off from the store, or reconnects it.
    pub fn set_store_lost(&self, number: usize, lost: bool) {
        if let Some(proxy) = self.proxies.get(number * 2) {
            proxy.set_mode(if lost {
                LinkMode::Reset
            } else {
                LinkMode::Normal
            });
            proxy.set_accepting(!lost);
        }
    }

    /// Starts the gateway if there is none; returns the line for the section `[tier]`.
    async fn open_gateway(&mut self) -> eyre::Result<String> {
        if self.gateway.is_empty() {
            for server in &self.servers {
                let at = SocketAddr::new(GATEWAY, server.addr().port());
                self.gateway.push(Proxy::bind(at, server.addr()).await?);
            }
        }
        Ok(format!("target-gateway = {GATEWAY}\n"))
    }

    /// Starts a daemon that is named as a seed in its own settings, so that it reads `store` at once,
    /// before it knows its peers.
    ///
    /// # Errors
    ///
    /// A listener of the daemon cannot be bound.
    pub fn start_as_seed(&mut self, store: SocketAddr) -> eyre::Result<()> {
        let gossip = UdpSocket::bind(ANY_PORT)?.local_addr()?;
        let setting = format!("gossip-port = {}\n", gossip.port());
        self.start_seeded(store, &[gossip], (1.0, &setting, ""))
    }

    /// Starts a daemon with `extra` lines in the section `[daemon]` of its settings.
    fn start(&mut self, store: SocketAddr, cores: f64, extra: &str) -> eyre::Result<()> {
        self.start_with(store, cores, extra, "")
    }

    /// Like [`Self::start`], with `tier` lines in the section `[tier]`.
    fn start_with(
        &mut self,
        store: SocketAddr,
        cores: f64,
        extra: &str,
        tier: &str,
    ) -> eyre::Result<()> {
        let extra = format!("gossip-port = 0\n{extra}");
        self.start_seeded(store, &[], (cores, &extra, tier))
    }

    /// Like [`Self::start_with`], with more seeds; the lines name the port for gossip.
    fn start_seeded(
        &mut self,
        store: SocketAddr,
        seeds: &[SocketAddr],
        (cores, extra, tier): (f64, &str, &str),
    ) -> eyre::Result<()> {
        let others = self.daemons.iter().take(2).map(|d| d.addresses().gossip);
        let public = |own: SocketAddr| self.public_gossip.get(&own).copied().unwrap_or(own);
        let peers = others.map(public).chain(seeds.iter().copied());
        let peers: Vec<String> = peers.map(|addr| addr.to_string()).collect();
        let (number, centre) = (self.started, CENTRES[self.started % CENTRES.len()]);
        let text = format!(
            "[daemon]\nname = d{number}\ndata-centre = {centre}\nip = 127.0.0.1\n\
             admin-port = 0\nmetrics-port = 0\nrpc-port = 0\npeers = {}\n\
             drain-limit = {}ms\n{extra}\
             [tier]\nfront = 127.0.0.1:0\nready = 127.0.0.1:0\ndirectory = 127.0.0.1:0\n\
             cores = {cores}\n{tier}{}[platform]\naddress = {store}\n",
            peers.join(","),
            self.drain_limit.as_millis(),
            self.tier_settings
        );
        let (settings, _) = Settings::parse("daemon.ini", &text).map_err(|f| eyre!("{f}"))?;
        let tier = settings
            .tier
            .ok_or_else(|| eyre!("the settings have no section [tier]"))?;
        self.daemons.push(Tier::spawn(settings, tier)?);
        self.started += 1;
        Ok(())
    }

    /// Waits until the readiness endpoints of all daemons answer with status 200.
    ///
    /// # Errors
    ///
    /// A daemon is not ready within ten seconds.
    pub async fn wait_ready(&self) -> eyre::Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        for daemon in &self.daemons {
            let url = format!("http://{}/v1/ready", daemon.addresses().ready);
            while get(&url).await.is_none_or(|a| a.status != 200) {
                ensure!(
                    Instant::now() < end,
                    "the daemon at {url} is not ready in time"
                );
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Kills all daemons at the same time without a graceful shutdown, as a power failure would.
    pub fn kill_all(&mut self) {
        self.daemons.drain(..).for_each(Tier::kill);
    }

    /// Asks a daemon's directory which addresses callers in a data centre should use.
    ///
    /// # Errors
    ///
    /// The daemon does not answer, or its answer contains no list of addresses.
    pub async fn resolve(&self, at: TierAddresses, centre: &str) -> eyre::Result<Vec<SocketAddr>> {
        let url = format!(
            "http://{}/v1/resolve?name={HOST}&zone={centre}",
            at.directory
        );
        let answer = get(&url)
            .await
            .ok_or_else(|| eyre!("no answer from {url}"))?;
        let json: serde_json::Value = serde_json::from_slice(&answer.body)?;
        serde_json::from_value(json["addrs"].clone())
            .wrap_err("the directory's answer has no valid `addrs`")
    }
}

/// Sends a GET request; returns `None` if no complete answer arrives.
pub async fn get(url: &str) -> Option<Answer> {
    read_answer(Client::default().get(url).send().await.ok()?).await
}

/// Sends a caller's request to a daemon: a GET, or a POST if there is a body.
///
/// `id` becomes the `x-request-id`; the deadline is 2 s. Returns `None` if no complete answer
/// arrives.
pub async fn request(at: SocketAddr, path: &str, id: &str, body: &str) -> Option<Answer> {
    request_within(REQUEST_LIMIT, at, path, id, body).await
}

/// Like [`request`], from a caller that waits for `limit`.
pub async fn request_within(
    limit: Duration,
    at: SocketAddr,
    path: &str,
    id: &str,
    body: &str,
) -> Option<Answer> {
    let url = format!("http://{at}{path}");
    let client = Client::builder().disable_timeout().finish();
    let request = if body.is_empty() {
        client.get(url)
    } else {
        client.post(url)
    };
    let request = request
        .insert_header(("host", HOST))
        .insert_header(("x-request-id", id))
        .insert_header(("x-deadline-ms", limit.as_millis().to_string()));
    read_answer(request.send_body(body.to_owned()).await.ok()?).await
}

/// Reads an answer; `None` if it is not whole. The client library takes a body for whole when the
/// connection ends, so its length is compared with the stated one, which all daemons state.
async fn read_answer(mut response: awc::ClientResponse) -> Option<Answer> {
    let body = response.body().await.ok()?.to_vec();
    let stated = response.headers().get("content-length")?.to_str().ok()?;
    if stated.trim().parse() != Ok(body.len()) {
        return None;
    }
    Some(Answer {
        status: response.status().as_u16(),
        headers: response.headers().clone(),
        body,
    })
}

/// Prints when the current thread runs late, without end. Requests that failed at such a time may have
/// failed because the machine was busy.
async fn report_stalls(what: &str) {
    loop {
        let (start, cpu) = (Instant::now(), ThreadTime::now());
        actix_rt::time::sleep(STALL_CHECK_INTERVAL).await;
        let late = start.elapsed().saturating_sub(STALL_CHECK_INTERVAL);
        if late > STALL_TIME {
            let (used, since) = (cpu.elapsed(), start.elapsed());
            println!("{what} were late by {late:?}, with {used:?} of processor time in {since:?}");
        }
    }
}

type Standins = (SocketAddr, Arc<platform::State>, Vec<Arc<shard::State>>);

async fn spawn_standins(configs: Vec<shard::TargetConfig>) -> eyre::Result<Standins> {
    let store = platform::Platform::spawn()?;
    let mut servers = Vec::new();
    for config in configs {
        servers.push(shard::spawn(config).await?);
    }
    let started = (store.addr(), store.state(), servers);
    // Dropping the store would close its listener; it has to serve until its thread ends.
    std::mem::forget(store);
    Ok(started)
}
