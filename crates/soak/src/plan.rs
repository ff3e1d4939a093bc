//! The faults of a run, drawn from its seed: in series, overlapping, at any moment.

use {
    crate::{
        environment::{CENTRES, SINGLE_SERVICES},
        proxy::LinkMode,
    },
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    rattanturn_standins::{platform::Mode, shard},
    std::time::Duration,
};

/// Longest time of one fault.
const MAX_FAULT_MS: u64 = 4_000;
/// Mean pause between two faults.
const MEAN_INTERVAL_MS: u64 = 500;

/// Something that is done to the system, and undone after a time unless it says otherwise.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FaultKind {
    /// Stops a daemon's process and lets it go on.
    Pause(usize),
    /// Kills a daemon and starts it again.
    Kill(usize),
    /// Kills all daemons and starts them again.
    KillAll,
    /// Asks a daemon to stop and starts it again.
    Stop(usize),
    /// Makes a daemon read its settings again.
    Reload(usize),
    Store(Mode),
    /// The store drops its history; nothing is undone.
    CompactStore,
    /// Cuts one daemon from the store.
    StoreLink(usize, LinkMode),
    Target(usize, shard::Fault),
    /// One target takes much longer.
    SlowTarget(usize),
    /// All targets of a service take much longer, so that each call to them is late.
    SlowService(usize),
    TargetLink(usize, LinkMode),
    /// A target leaves the store and comes back.
    RemoveTarget(usize),
    /// A target drains and comes back.
    DrainTarget(usize),
    /// The next configuration; nothing is undone.
    ChangeConfig,
    /// A data centre is taken out and brought back.
    Evacuate(usize),
}

/// An event, when it begins and how long it lasts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    pub(crate) start: Duration,
    pub(crate) duration: Duration,
    pub(crate) kind: FaultKind,
}

/// Draws the faults of a run.
pub(crate) fn draw_faults(
    rng: &mut ChaCha8Rng,
    window: Duration,
    daemons: usize,
    targets: usize,
) -> Vec<Fault> {
    let mut out = Vec::new();
    let mut start = Duration::from_millis(rng.random_range(0..MEAN_INTERVAL_MS));
    let mut changes = 0;
    while start < window {
        let kind = draw_kind(rng, daemons, targets);
        let duration = Duration::from_millis(rng.random_range(100..MAX_FAULT_MS));
        let is_change = matches!(kind, FaultKind::ChangeConfig);
        changes += usize::from(is_change);
        // Each configuration gives the route another service, and there are no more.
        if !is_change || changes < SINGLE_SERVICES.len() {
            out.push(Fault {
                start,
                duration,
                kind,
            });
        }
        start += Duration::from_millis(rng.random_range(0..2 * MEAN_INTERVAL_MS));
    }
    out
}

fn draw_kind(rng: &mut ChaCha8Rng, daemons: usize, targets: usize) -> FaultKind {
    let daemon = rng.random_range(0..daemons);
    let target = rng.random_range(0..targets);
    match rng.random_range(0..30) {
        0..=2 => FaultKind::Pause(daemon),
        3..=5 => FaultKind::Kill(daemon),
        6 => FaultKind::KillAll,
        7..=9 => FaultKind::Stop(daemon),
        10 => FaultKind::Reload(daemon),
        11..=12 => FaultKind::Store(draw_store_mode(rng)),
        13 => FaultKind::CompactStore,
        14..=16 => FaultKind::StoreLink(daemon, draw_link_mode(rng)),
        17..=19 => FaultKind::Target(target, draw_target_fault(rng)),
        20 if rng.random() => FaultKind::SlowTarget(target),
        20 => FaultKind::SlowService(target),
        21..=23 => FaultKind::TargetLink(target, draw_link_mode(rng)),
        24..=25 => FaultKind::RemoveTarget(target),
        26 => FaultKind::DrainTarget(target),
        27..=28 => FaultKind::ChangeConfig,
        _ => FaultKind::Evacuate(rng.random_range(0..CENTRES.len())),
    }
}

fn draw_store_mode(rng: &mut ChaCha8Rng) -> Mode {
    match rng.random_range(0..5) {
        0 => Mode::Down,
        1 => Mode::Busy,
        2 => Mode::Past,
        3 => Mode::Slow(Duration::from_millis(rng.random_range(50..600))),
        _ => Mode::LoseAnswers,
    }
}

fn draw_link_mode(rng: &mut ChaCha8Rng) -> LinkMode {
    match rng.random_range(0..4) {
        0 => LinkMode::Delayed(Duration::from_millis(rng.random_range(5..120))),
        1 => LinkMode::Stalled,
        2 => LinkMode::RequestsOnly,
        _ => LinkMode::Reset,
    }
}

fn draw_target_fault(rng: &mut ChaCha8Rng) -> shard::Fault {
    use shard::Fault;
    let all = [
        Fault::Lost,
        Fault::Cut,
        Fault::Unframed,
        Fault::Doubled,
        Fault::Refused,
        Fault::Failed,
        Fault::Silent,
    ];
    all[rng.random_range(0..all.len())]
}
