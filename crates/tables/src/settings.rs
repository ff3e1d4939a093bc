//! A daemon's own settings: addresses, place and peers. They are read once at start.

use {
    crate::{finding::Findings, reader::Reader},
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// Who may use a target's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotPolicy {
    /// One leased holder for each group of targets; other daemons relay to it.
    Leased,
    /// Every daemon calls every target with an equal static share: the baseline of the
    /// comparison in docs/design/holders.md.
    StaticShares,
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this daemon, unique in the deployment.
    pub name: String,
    /// Data centre this daemon runs in.
    pub centre: String,
    /// IP address that all of its listeners bind.
    pub ip: IpAddr,
    /// Port for callers (HTTP); 0 takes a free one.
    pub http_port: u16,
    /// Port for operators: metrics and state dump (HTTP); 0 takes a free one.
    pub admin_port: u16,
    /// One more port for the same, which monitoring knows beforehand; the daemon serves without it
    /// if it is taken.
    pub metrics_port: Option<u16>,
    /// First port for other daemons (RPC); each traffic thread takes the next one.
    pub rpc_port: u16,
    /// Port for membership and leases (UDP).
    pub gossip_port: u16,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Gossip addresses to start from.
    pub peers: Vec<SocketAddr>,
    /// Number of traffic threads.
    pub threads: u32,
    /// Filter for log lines, for example `info`.
    pub log_level: String,
    /// Text or JSON.
    pub log_format: LogFormat,
    /// Time that a graceful shutdown may take.
    pub drain_limit: Duration,
    /// Largest request body, in bytes.
    pub max_body: u32,
    /// Who may use a target's slots.
    pub slot_policy: SlotPolicy,
    /// Time added to each message to daemons of other data centres, for demonstrations on one
    /// machine; zero in production.
    pub peer_delay: Duration,
    /// Daemons that share a target under `holding = shares`.
    pub sharing_daemons: u32,
    /// Port of every peer's gossip listener, if `peers` name another one.
    pub peer_port: Option<u16>,
    /// Listeners of the tier on the users' platform; without them the daemon serves its tables.
    pub tier: Option<TierSettings>,
}

/// Calls beyond the first for each request, if the settings name no ratio.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// Calls beyond the first besides, if the settings name no slack.
const DEFAULT_RETRY_SLACK: f64 = 10.0;

/// The tier on the users' platform, section `[tier]`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TierSettings {
    /// For callers' requests.
    pub front: SocketAddr,
    /// For the platform's question whether this daemon takes callers.
    pub ready: SocketAddr,
    /// For callers that ask which addresses to use.
    pub directory: SocketAddr,
    /// Processor share of this VM, in cores: callers are sent to the larger VMs.
    pub cores: f64,
    /// Calls beyond the first that a service may get, for each request for it.
    pub retry_ratio: f64,
    /// Such calls that it may get besides, from all daemons together within some seconds.
    pub retry_slack: f64,
}

impl Settings {
    /// Reads settings from INI text; `file` names it in findings.
    ///
    /// # Errors
    ///
    /// All findings, when at least one of them is an error.
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
        reader.push(
            1,
            "daemon",
            "the section is missing",
            "add a section [daemon]",
        );
        return None;
    };
    let platforms = reader.sections("platform");
    let Some(platform) = platforms.first() else {
        reader.push(
            1,
            "platform",
            "the section is missing",
            "add a section [platform]",
        );
        return None;
    };
    let unset = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    platform.required("address");
    let mut settings = Settings {
        name: daemon.required("name").into(),
        centre: daemon.required("data-centre").into(),
        ip: daemon.parse("ip", IpAddr::V4(Ipv4Addr::LOCALHOST), "an IP address"),
        http_port: daemon.parse("http-port", 8080, "a port"),
        admin_port: daemon.parse("admin-port", 8081, "a port"),
        metrics_port: None,
        rpc_port: daemon.parse("rpc-port", 8090, "a port"),
        gossip_port: daemon.parse("gossip-port", 8082, "a port"),
        platform: platform.parse("address", unset, "IP:PORT"),
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
    if let Some(tier) = reader.sections("tier").first() {
        for key in ["front", "ready", "directory"] {
            tier.required(key);
        }
        settings.tier = Some(TierSettings {
            front: tier.parse("front", unset, "IP:PORT"),
            ready: tier.parse("ready", unset, "IP:PORT"),
            directory: tier.parse("directory", unset, "IP:PORT"),
            cores: tier.parse("cores", 1.0, "a number"),
            retry_ratio: tier.parse("repeat-ratio", DEFAULT_RETRY_RATIO, "a number"),
            retry_slack: tier.parse("repeat-slack", DEFAULT_RETRY_SLACK, "a number"),
        });
        tier.unknown_keys();
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
                &format!("`{peer}` is not an address"),
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
