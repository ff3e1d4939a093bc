//! The faults of a run, drawn from its seed: in series, overlapping, at any moment.

use {
    crate::{
        environment::{CENTRES, SINGLES},
        proxy::LinkMode,
    },
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    rattanturn_standins::{platform::Mode, shard},
    std::time::Duration,
};

/// Longest time of one fault.
const LONGEST_MS: u64 = 4_000;
/// Mean pause between two faults.
const PAUSE_MS: u64 = 500;

/// Something that is done to the system, and undone after a time unless it says otherwise.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
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
    Compact,
    /// Cuts one daemon from the store.
    StoreLink(usize, LinkMode),
    Target(usize, shard::Fault),
    /// One target takes much longer.
    Slow(usize),
    /// All targets of a service take much longer, so that each call to them is late.
    SlowService(usize),
    TargetLink(usize, LinkMode),
    /// A target leaves the store and comes back.
    Withdraw(usize),
    /// A target drains and comes back.
    Drain(usize),
    /// The next configuration; nothing is undone.
    Configure,
    /// A data centre is taken out and brought back.
    TakeOut(usize),
}

/// An event, when it begins and how long it lasts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    pub(crate) at: Duration,
    pub(crate) lasts: Duration,
    pub(crate) event: Event,
}

/// Draws the faults of a run.
pub(crate) fn draw(
    rng: &mut ChaCha8Rng,
    time: Duration,
    daemons: usize,
    targets: usize,
) -> Vec<Fault> {
    let mut out = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..PAUSE_MS));
    let mut edits = 0;
    while at < time {
        let event = draw_event(rng, daemons, targets);
        let lasts = Duration::from_millis(rng.random_range(100..LONGEST_MS));
        let edit = matches!(event, Event::Configure);
        edits += usize::from(edit);
        // Each configuration gives the route another service, and there are no more.
        if !edit || edits < SINGLES.len() {
            out.push(Fault { at, lasts, event });
        }
        at += Duration::from_millis(rng.random_range(0..2 * PAUSE_MS));
    }
    out
}

fn draw_event(rng: &mut ChaCha8Rng, daemons: usize, targets: usize) -> Event {
    let daemon = rng.random_range(0..daemons);
    let target = rng.random_range(0..targets);
    match rng.random_range(0..30) {
        0..=2 => Event::Pause(daemon),
        3..=5 => Event::Kill(daemon),
        6 => Event::KillAll,
        7..=9 => Event::Stop(daemon),
        10 => Event::Reload(daemon),
        11..=12 => Event::Store(draw_mode(rng)),
        13 => Event::Compact,
        14..=16 => Event::StoreLink(daemon, draw_link(rng)),
        17..=19 => Event::Target(target, draw_fault(rng)),
        20 if rng.random() => Event::Slow(target),
        20 => Event::SlowService(target),
        21..=23 => Event::TargetLink(target, draw_link(rng)),
        24..=25 => Event::Withdraw(target),
        26 => Event::Drain(target),
        27..=28 => Event::Configure,
        _ => Event::TakeOut(rng.random_range(0..CENTRES.len())),
    }
}

fn draw_mode(rng: &mut ChaCha8Rng) -> Mode {
    match rng.random_range(0..5) {
        0 => Mode::Down,
        1 => Mode::Busy,
        2 => Mode::Past,
        3 => Mode::Slow(Duration::from_millis(rng.random_range(50..600))),
        _ => Mode::LoseAnswers,
    }
}

fn draw_link(rng: &mut ChaCha8Rng) -> LinkMode {
    match rng.random_range(0..4) {
        0 => LinkMode::Delayed(Duration::from_millis(rng.random_range(5..120))),
        1 => LinkMode::Stalled,
        2 => LinkMode::RequestsOnly,
        _ => LinkMode::Reset,
    }
}

fn draw_fault(rng: &mut ChaCha8Rng) -> shard::Fault {
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
