//! A tier on the users' platform in one process: store, servers and daemons on loopback.

use {
    actix_rt::Arbiter,
    awc::Client,
    eyre::{Context, ensure, eyre},
    rattanturn_daemon::{Tier, TierAddresses},
    rattanturn_standins::{
        operator::{HOST, Operator, announce},
        platform, shard,
    },
    rattanturn_tables::Settings,
    std::{
        net::SocketAddr,
        sync::{Arc, mpsc},
        time::{Duration, Instant},
    },
};

/// Time of one request at a server.
const WORK: Duration = Duration::from_millis(10);
/// Longest wait for the tier to serve.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// Time that a planned stop may take.
const DRAIN_LIMIT: &str = "3s";
/// Data centres of servers and daemons.
pub const CENTRES: [&str; 2] = ["a", "b"];

/// What is started.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Shards, each with a server in both data centres.
    pub shards: usize,
    /// Daemons, in turn in both data centres.
    pub daemons: usize,
}

/// A running tier with its surroundings.
pub struct TierCluster {
    /// The store's state.
    pub store: Arc<platform::State>,
    /// The store's address.
    pub store_addr: SocketAddr,
    /// Servers of the shards, then the two of the plain service.
    pub servers: Vec<Arc<shard::State>>,
    /// Names of the shards' services.
    pub services: Vec<String>,
    /// The configuration as last written.
    pub operator: Operator,
    /// The daemons.
    pub daemons: Vec<Tier>,
    started: usize,
    _surroundings: Arbiter,
}

/// A caller's answer.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: awc::http::header::HeaderMap,
    /// Its body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Text of a header; empty if it is absent.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or("")
    }
}

/// Name of the service with two plain servers.
pub const PLAIN: &str = "plain";

impl TierCluster {
    /// Starts everything and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// Something could not be started or did not become ready in time.
    pub async fn spawn(options: Options) -> eyre::Result<Self> {
        let services: Vec<String> = (0..options.shards).map(|i| format!("shard-{i}")).collect();
        let named = services.iter().map(String::as_str).chain([PLAIN]);
        let shapes: Vec<shard::Shape> = named
            .flat_map(|service| CENTRES.map(|centre| (service, centre)))
            .map(|(service, centre)| shard::Shape {
                id: format!("i-{service}-{centre}"),
                service: service.into(),
                centre: centre.into(),
                work: WORK,
            })
            .collect();
        let surroundings = Arbiter::new();
        let (send, receive) = mpsc::channel();
        surroundings.spawn_fn(move || {
            actix_rt::spawn(async move {
                // The receiver waits until this is sent.
                let _ = send.send(surround(shapes).await);
            });
        });
        let started = actix_rt::task::spawn_blocking(move || receive.recv()).await??;
        let (store_addr, store, servers) = started?;
        let operator = Operator::default()
            .gather("/all/", &services, 200)
            .single("/one/", PLAIN, true)
            .single("/once/", PLAIN, false);
        let mut cluster = Self {
            store,
            store_addr,
            servers,
            services,
            operator,
            daemons: Vec::new(),
            started: 0,
            _surroundings: surroundings,
        };
        for server in &cluster.servers {
            announce(&cluster.store, server, "ready", 1);
        }
        cluster.operator.write(&cluster.store);
        cluster.start_daemons(options.daemons)?;
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Starts more daemons.
    ///
    /// # Errors
    ///
    /// A listener could not be bound.
    pub fn start_daemons(&mut self, count: usize) -> eyre::Result<()> {
        self.start_with_cores(count, 1.0)
    }

    /// Starts more daemons with a share of a processor each.
    ///
    /// # Errors
    ///
    /// A listener could not be bound.
    pub fn start_with_cores(&mut self, count: usize, cores: f64) -> eyre::Result<()> {
        (0..count).try_for_each(|_| self.start_with_store(self.store_addr, cores))
    }

    /// Starts a daemon that finds the store at another address.
    ///
    /// # Errors
    ///
    /// A listener could not be bound.
    pub fn start_with_store(&mut self, store: SocketAddr, cores: f64) -> eyre::Result<()> {
        let peers: Vec<String> = self
            .daemons
            .iter()
            .take(2)
            .map(|d| d.addresses().gossip.to_string())
            .collect();
        let (number, centre) = (self.started, CENTRES[self.started % CENTRES.len()]);
        let text = format!(
            "[daemon]\nname = d{number}\ndata-centre = {centre}\nip = 127.0.0.1\n\
             admin-port = 0\nmetrics-port = 0\nrpc-port = 0\ngossip-port = 0\npeers = {}\n\
             drain-limit = {DRAIN_LIMIT}\n\
             [tier]\nfront = 127.0.0.1:0\nready = 127.0.0.1:0\ndirectory = 127.0.0.1:0\n\
             cores = {cores}\n[platform]\naddress = {store}\n",
            peers.join(",")
        );
        let (settings, _) = Settings::parse("daemon.ini", &text).map_err(|f| eyre!("{f}"))?;
        let tier = settings.tier.ok_or_else(|| eyre!("no section [tier]"))?;
        self.daemons.push(Tier::spawn(settings, tier)?);
        self.started += 1;
        Ok(())
    }

    /// Waits until all daemons say that they take callers.
    ///
    /// # Errors
    ///
    /// One of them did not in time.
    pub async fn wait_ready(&self) -> eyre::Result<()> {
        let end = Instant::now() + READY_LIMIT;
        for daemon in &self.daemons {
            let url = format!("http://{}/v1/ready", daemon.addresses().ready);
            while get(&url).await.is_none_or(|a| a.status != 200) {
                ensure!(Instant::now() < end, "a daemon is not ready in time");
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Ends all daemons at once without a word, as a loss of power would.
    pub fn kill_all(&mut self) {
        self.daemons.drain(..).for_each(Tier::kill);
    }

    /// Addresses that a daemon names to callers of a data centre.
    ///
    /// # Errors
    ///
    /// The daemon did not answer.
    pub async fn resolve(&self, at: TierAddresses, centre: &str) -> eyre::Result<Vec<SocketAddr>> {
        let url = format!(
            "http://{}/v1/resolve?name={HOST}&zone={centre}",
            at.directory
        );
        let answer = get(&url).await.ok_or_else(|| eyre!("no answer"))?;
        let json: serde_json::Value = serde_json::from_slice(&answer.body)?;
        serde_json::from_value(json["addrs"].clone()).wrap_err("no addresses")
    }
}

/// Sends a request and reads its whole answer; `None` if none came.
pub async fn get(url: &str) -> Option<Answer> {
    finish(Client::default().get(url).send().await.ok()?).await
}

/// A caller's request to a daemon.
///
/// Returns `None` if no whole answer came.
pub async fn request(at: SocketAddr, path: &str, id: &str, body: &str) -> Option<Answer> {
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
        .insert_header(("x-deadline-ms", "2000"));
    finish(request.send_body(body.to_owned()).await.ok()?).await
}

async fn finish(mut response: awc::ClientResponse) -> Option<Answer> {
    let body = response.body().await.ok()?.to_vec();
    Some(Answer {
        status: response.status().as_u16(),
        headers: response.headers().clone(),
        body,
    })
}

type Surroundings = (SocketAddr, Arc<platform::State>, Vec<Arc<shard::State>>);

async fn surround(shapes: Vec<shard::Shape>) -> eyre::Result<Surroundings> {
    let store = platform::Platform::spawn()?;
    let mut servers = Vec::new();
    for shape in shapes {
        servers.push(shard::spawn(shape).await?);
    }
    let started = (store.addr(), store.state(), servers);
    // It serves for as long as its thread runs.
    std::mem::forget(store);
    Ok(started)
}
