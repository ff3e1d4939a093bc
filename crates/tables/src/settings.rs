//! Settings of a single daemon: its name, data centre, listeners, peers and limits.
//!
//! A daemon reads them once at start; a change takes a restart.

use {
    crate::{
        finding::Findings,
        reader::{Reader, Section},
    },
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// How the daemons divide the slots of a target among themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotPolicy {
    /// One daemon holds the lease of each group of targets and uses all of their slots. The other
    /// daemons send their calls through it.
    Leased,
    /// Every daemon calls every target and may use an equal, fixed share of its slots. This is the
    /// baseline for comparisons with leases (`docs/design/holders.md`).
    StaticShares,
}

/// Format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for people to read.
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of a daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the daemon, unique in the deployment.
    pub name: String,
    /// Data centre that the daemon runs in.
    pub centre: String,
    /// IP address that all listeners bind to, except those of [`TierSettings`].
    pub ip: IpAddr,
    /// Port for callers (HTTP); 0 selects a free one.
    pub http_port: u16,
    /// Port for operators: metrics and state dump (HTTP); 0 selects a free one.
    pub admin_port: u16,
    /// Additional port for metrics and state dump, fixed so that monitoring can be configured with
    /// it. If it is in use by another process, the daemon runs without it.
    pub metrics_port: Option<u16>,
    /// Port of the first traffic thread for other daemons (RPC); each further thread listens on the
    /// next port.
    pub rpc_port: u16,
    /// Port that other daemons are told to use instead of `rpc_port`, for example because a proxy
    /// forwards it.
    pub advertised_rpc_port: Option<u16>,
    /// Port for membership and lease messages (UDP).
    pub gossip_port: u16,
    /// Port that other daemons are told to use instead of `gossip_port`, for example because a
    /// forwarder receives their datagrams.
    pub advertised_gossip_port: Option<u16>,
    /// Address of the platform's object store.
    pub platform: SocketAddr,
    /// Gossip addresses of other daemons, used to join the deployment.
    pub peers: Vec<SocketAddr>,
    /// Number of traffic threads, at least 1.
    pub threads: u32,
    /// Log filter, for example `info`.
    pub log_level: String,
    /// Format of the log.
    pub log_format: LogFormat,
    /// Longest time of a graceful shutdown.
    pub drain_limit: Duration,
    /// Largest accepted request body, in bytes.
    pub max_body: u32,
    /// How the daemons divide the slots of a target among themselves.
    pub slot_policy: SlotPolicy,
    /// Delay added to each message to daemons of other data centres, to simulate their distance on
    /// a single machine; zero in production.
    pub peer_delay: Duration,
    /// Number of daemons that share each target under [`SlotPolicy::StaticShares`].
    pub sharing_daemons: u32,
    /// Gossip port of every peer; it replaces the ports in `peers`.
    pub peer_port: Option<u16>,
    /// Settings for serving as a tier on the users' platform. Without them, the daemon serves the
    /// routes and pools of the tables.
    pub tier: Option<TierSettings>,
}

/// Extra calls allowed for each request, if the settings give no ratio.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// Extra calls allowed regardless of the number of requests, if the settings give no slack.
const DEFAULT_RETRY_SLACK: f64 = 10.0;

/// Memory of a VM, if the settings give none: that of the platform's small deployments.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Bytes of a megabyte.
const MB: f64 = 1e6;

/// Time within which daemons apply a configuration or an evacuation, if the settings give none.
const DEFAULT_CHANGE_LIMIT: Duration = Duration::from_secs(3);
/// Interval at which targets write their entries, if the settings give none: that of the platform's
/// small deployments.
const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time within which a revoked key must be refused, if the settings give none.
const DEFAULT_REVOKE_LIMIT: Duration = Duration::from_secs(5);
/// Limits on quotas and roll-outs, if the settings give none.
const DEFAULT_QUOTA_WINDOW: Duration = Duration::from_secs(5);
const DEFAULT_QUOTA_OVERSHOOT: f64 = 0.1;
const DEFAULT_QUOTA_SLACK: f64 = 20.0;
const DEFAULT_EXPOSURE_SLACK: f64 = 50.0;
const DEFAULT_ROLLBACK_LIMIT: Duration = Duration::from_secs(5);

/// Settings for serving as a tier on the users' platform, from the section `[tier]`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TierSettings {
    /// Listener for callers' requests.
    pub front: SocketAddr,
    /// Listener for the platform's readiness probe.
    pub ready: SocketAddr,
    /// Listener for resolve calls, by which callers learn which addresses to use.
    pub directory: SocketAddr,
    /// Processor capacity of this VM, in cores. Callers are directed to the larger VMs.
    pub cores: f64,
    /// Memory of this VM, in bytes. It decides how much of answers and requests is held at once.
    pub memory_bytes: u64,
    /// Extra calls (retries and hedges) allowed per request to a service, for example 0.1 for one
    /// in ten requests.
    pub retry_ratio: f64,
    /// Extra calls to a service that are allowed on top, by all daemons together within some
    /// seconds, so that a service with few requests can be retried as well.
    pub retry_slack: f64,
    /// Time within which all daemons must apply a new configuration, from the store's answer to its
    /// writer on. It decides how often the store is read.
    pub config_limit: Duration,
    /// The same for the evacuation of a data centre.
    pub evacuation_limit: Duration,
    /// Interval at which targets write their entries into the store.
    pub heartbeat: Duration,
    /// Address at which this VM reaches all targets, on the ports that they registered; `None` if
    /// it reaches them directly.
    pub target_gateway: Option<IpAddr>,
    /// Limits on roll-outs; `None` if the deployment has none, so that orders are not read.
    pub rollouts: Option<RolloutSettings>,
    /// Whether a daemon refuses requests that need a key once it can no longer learn which keys
    /// were revoked, rather than accept a key that may have been.
    pub strict_revoke: bool,
    /// Time within which a revoked key must be refused, if `strict_revoke` is set.
    pub revoke_limit: Duration,
    /// How exactly the quotas of accounts hold.
    pub quotas: QuotaSettings,
}

/// Limits on what a version that is being rolled out may get before it is known to be good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Largest fraction of a service's requests, from 0 to 1.
    pub exposure: f64,
    /// Requests that are allowed on top of the fraction.
    pub slack: f64,
    /// Time after which a version that proved bad must get no request.
    pub rollback_limit: Duration,
}

/// How far all daemons together may exceed an account's quota in a window: by the fraction
/// `overshoot` of it and by `slack` requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Length of the window.
    pub window: Duration,
    /// Fraction of the quota.
    pub overshoot: f64,
    /// Number of requests.
    pub slack: f64,
}

impl Settings {
    /// The address that other daemons are told for datagrams, if the socket is bound to `bound`.
    #[must_use]
    pub fn advertised_gossip(&self, bound: SocketAddr) -> SocketAddr {
        SocketAddr::new(
            bound.ip(),
            self.advertised_gossip_port.unwrap_or(bound.port()),
        )
    }

    /// Parses settings from INI text and returns them with the warnings.
    ///
    /// `file` is the file name that findings give.
    ///
    /// # Errors
    ///
    /// All findings, warnings included, if at least one of them is an error.
    ///
    /// ```
    /// use rattanturn_tables::Settings;
    /// let text = "[daemon]\nname = a1\ndata-centre = a\nip = 127.0.0.1\n\
    ///             [platform]\naddress = 127.0.0.1:7000\n";
    /// let (settings, _) = Settings::parse("daemon.ini", text).unwrap();
    /// assert_eq!(settings.threads, 1);
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<(Self, Findings), Findings> {
        let reader = Reader::open(file, text)?;
        reader.unknown_sections(&["daemon", "platform", "log", "tier"]);
        let settings = read(&reader);
        let findings = reader.into_findings();
        match settings {
            Some(s) if !findings.has_errors() => Ok((s, findings)),
            _ => Err(findings),
        }
    }
}

fn read(reader: &Reader<'_>) -> Option<Settings> {
    let all = reader.sections("daemon");
    let Some(daemon) = all.first() else {
        reader.error(
            1,
            "daemon",
            "the section is missing",
            "add a section [daemon]",
        );
        return None;
    };
    let platforms = reader.sections("platform");
    let Some(platform) = platforms.first() else {
        reader.error(
            1,
            "platform",
            "the section is missing",
            "add a section [platform]",
        );
        return None;
    };
    let placeholder = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    platform.required("address");
    let mut settings = Settings {
        name: daemon.required("name").into(),
        centre: daemon.required("data-centre").into(),
        ip: daemon.parse("ip", IpAddr::V4(Ipv4Addr::LOCALHOST), "an IP address"),
        http_port: daemon.parse("http-port", 8080, "a port"),
        admin_port: daemon.parse("admin-port", 8081, "a port"),
        metrics_port: None,
        advertised_rpc_port: None,
        advertised_gossip_port: None,
        rpc_port: daemon.parse("rpc-port", 8090, "a port"),
        gossip_port: daemon.parse("gossip-port", 8082, "a port"),
        platform: platform.parse("address", placeholder, "IP:PORT"),
        peers: Vec::new(),
        threads: daemon.count("threads", 1),
        log_level: "info".into(),
        log_format: LogFormat::Text,
        drain_limit: daemon.duration("drain-limit", Duration::from_secs(30)),
        max_body: daemon.count("max-body", 65_536),
        slot_policy: daemon.choice(
            "holding",
            &[
                ("leased", SlotPolicy::Leased),
                ("shares", SlotPolicy::StaticShares),
            ],
            SlotPolicy::Leased,
        ),
        peer_delay: daemon.duration("peer-delay", Duration::ZERO),
        sharing_daemons: daemon.count("shares", 8),
        peer_port: None,
        tier: None,
    };
    let port = |key| daemon.text(key).map(|_| daemon.parse(key, 0, "a port"));
    settings.metrics_port = port("metrics-port");
    settings.peer_port = port("peer-port");
    settings.advertised_rpc_port = port("advertised-rpc-port");
    settings.advertised_gossip_port = port("advertised-gossip-port");
    if let Some(tier) = reader.sections("tier").first() {
        settings.tier = Some(read_tier(tier));
    }
    for peer in daemon
        .text("peers")
        .unwrap_or("")
        .split(',')
        .map(str::trim)
        .filter(|p| !p.is_empty())
    {
        match peer.parse() {
            Ok(addr) => settings.peers.push(addr),
            Err(_) => daemon.problem(
                "peers",
                &format!("`{peer}` is not a socket address"),
                "write IP:PORT",
            ),
        }
    }
    if let Some(log) = reader.sections("log").first() {
        settings.log_level = log.text("level").unwrap_or("info").into();
        settings.log_format = log.choice(
            "format",
            &[("text", LogFormat::Text), ("json", LogFormat::Json)],
            LogFormat::Text,
        );
        log.unknown_keys();
    }
    daemon.unknown_keys();
    platform.unknown_keys();
    Some(settings)
}

fn read_tier(tier: &Section<'_>) -> TierSettings {
    for key in ["front", "ready", "directory"] {
        tier.required(key);
    }
    let placeholder = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    let address = |key| tier.parse(key, placeholder, "IP:PORT");
    let no_gateway = IpAddr::V4(Ipv4Addr::UNSPECIFIED);
    let settings = TierSettings {
        front: address("front"),
        ready: address("ready"),
        directory: address("directory"),
        cores: tier.parse("cores", 1.0, "a number"),
        memory_bytes: read_memory(tier),
        retry_ratio: tier.parse("repeat-ratio", DEFAULT_RETRY_RATIO, "a number"),
        retry_slack: tier.parse("repeat-slack", DEFAULT_RETRY_SLACK, "a number"),
        config_limit: tier.duration("config-limit", DEFAULT_CHANGE_LIMIT),
        evacuation_limit: tier.duration("evacuation-limit", DEFAULT_CHANGE_LIMIT),
        heartbeat: tier.duration("heartbeat", DEFAULT_HEARTBEAT),
        target_gateway: tier
            .text("target-gateway")
            .map(|_| tier.parse("target-gateway", no_gateway, "an IP address")),
        rollouts: read_rollouts(tier),
        strict_revoke: tier.choice("strict-revoke", &[("true", true), ("false", false)], false),
        revoke_limit: tier.duration("revoke-limit", DEFAULT_REVOKE_LIMIT),
        quotas: QuotaSettings {
            window: tier.duration("quota-window", DEFAULT_QUOTA_WINDOW),
            overshoot: tier.parse("quota-overshoot", DEFAULT_QUOTA_OVERSHOOT, "a number"),
            slack: tier.parse("quota-slack", DEFAULT_QUOTA_SLACK, "a number"),
        },
    };
    tier.unknown_keys();
    settings
}

/// Reads the VM's memory, which deployments may state as a fraction.
// A positive number of bytes beyond the type's limits becomes the largest one.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn read_memory(tier: &Section<'_>) -> u64 {
    let stated = tier.parse("memory-mb", DEFAULT_MEMORY_MB, "a number");
    if stated > 0.0 && stated.is_finite() {
        return (stated * MB) as u64;
    }
    tier.problem(
        "memory-mb",
        &format!("`{stated}` is no size"),
        "write a positive number of megabytes",
    );
    0
}

fn read_rollouts(tier: &Section<'_>) -> Option<RolloutSettings> {
    let slack = tier.parse("exposure-slack", DEFAULT_EXPOSURE_SLACK, "a number");
    let rollback_limit = tier.duration("rollback-limit", DEFAULT_ROLLBACK_LIMIT);
    tier.text("exposure")?;
    Some(RolloutSettings {
        exposure: tier.parse("exposure", 0.0, "a number"),
        slack,
        rollback_limit,
    })
}
