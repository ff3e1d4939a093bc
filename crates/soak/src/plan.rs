//! The faults of a run, drawn from its seed.
//!
//! Intervals are shorter on average than faults, so faults overlap. The same seed, fault window and
//! numbers of daemons and targets always give the same faults, which is what makes a failed seed
//! worth running again: any change to a draw, its range or the order of draws changes all seeds.

use {
    crate::{
        accounts::{AccountEdit, draw_edit},
        environment::{CENTRES, SINGLE_SERVICES},
    },
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    rattanturn_standins::{platform::Mode, proxy::LinkMode, shard},
    std::time::Duration,
};

/// Upper bound of a fault's duration, exclusive.
const MAX_FAULT_MS: u64 = 4_000;
/// Mean time between the starts of two faults.
const MEAN_INTERVAL_MS: u64 = 500;
/// Mean time between two edits of the accounts.
const MEAN_EDIT_INTERVAL_MS: u64 = 1_500;

/// What is done to the system, and undone when the fault's duration is over unless said otherwise.
///
/// Numbers are indices of daemons, targets or data centres. The names are printed in `run.txt`.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FaultKind {
    /// Pauses a daemon's process with SIGSTOP; SIGCONT resumes it.
    Pause(usize),
    /// Kills a daemon, which is started again.
    Kill(usize),
    /// Kills all daemons at once, which are started again together.
    KillAll,
    /// Asks a daemon to stop with SIGTERM. It is started again when it has exited, whatever the
    /// fault's duration.
    Stop(usize),
    /// Makes a daemon reload its settings, which have not changed, with SIGHUP; nothing is undone.
    Reload(usize),
    /// Puts the store into a faulty mode for all daemons.
    Store(Mode),
    /// Makes the store drop its history of changes; nothing is undone.
    CompactStore,
    /// Disturbs the connections from one daemon to the store.
    StoreLink(usize, LinkMode),
    /// Disturbs the RPC connections from other daemons to one daemon.
    PeerLink(usize, LinkMode),
    /// Lets all open connections to the store, to targets and between daemons fall silent while new
    /// ones work; nothing is undone.
    Silence,
    /// Makes one target answer wrongly or not at all.
    Target(usize, shard::Fault),
    /// Slows one target down.
    SlowTarget(usize),
    /// Slows all targets of the given target's service down, so that each call is late, hedges
    /// included.
    SlowService(usize),
    /// Disturbs the connections from all daemons to one target.
    TargetLink(usize, LinkMode),
    /// Removes a target's entry from the store while the target itself keeps running.
    RemoveTarget(usize),
    /// Announces a target as draining.
    DrainTarget(usize),
    /// Writes the next configuration into the store; nothing is undone.
    ChangeConfig,
    /// Evacuates a data centre.
    Evacuate(usize),
    /// Changes keys or limits of accounts; nothing is undone.
    EditAccounts(AccountEdit),
}

impl FaultKind {
    /// Whether it is work of operators, which runs without other faults have too.
    pub(crate) const fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Reload(_) | Self::ChangeConfig | Self::EditAccounts(_)
        )
    }
}

/// A fault that is to be injected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    /// Time from the start of the fault injection.
    pub(crate) start: Duration,
    pub(crate) duration: Duration,
    pub(crate) kind: FaultKind,
}

/// Draws the faults of a run that begin within `window`, in order of their start.
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
        // Each configuration gives the route `/one/` another service, so there are only as many
        // configurations as services. The last one is written after all faults.
        if !is_change || changes < SINGLE_SERVICES.len() - 1 {
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

/// Adds the operator's edits of accounts to the faults. They come from a generator of their own, so
/// that a seed's faults are the same with and without accounts.
pub(crate) fn add_account_edits(faults: &mut Vec<Fault>, rng: &mut ChaCha8Rng, window: Duration) {
    let mut start = Duration::ZERO;
    loop {
        start += Duration::from_millis(rng.random_range(0..2 * MEAN_EDIT_INTERVAL_MS));
        if start >= window {
            break;
        }
        faults.push(Fault {
            start,
            duration: Duration::ZERO,
            kind: FaultKind::EditAccounts(draw_edit(rng)),
        });
    }
    faults.sort_by_key(|f| f.start);
}

fn draw_kind(rng: &mut ChaCha8Rng, daemons: usize, targets: usize) -> FaultKind {
    let daemon = rng.random_range(0..daemons);
    let target = rng.random_range(0..targets);
    match rng.random_range(0..33) {
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
        29 => FaultKind::PeerLink(daemon, draw_link_mode(rng)),
        30..=31 => FaultKind::Silence,
        _ => FaultKind::Evacuate(rng.random_range(0..CENTRES.len())),
    }
}

fn draw_store_mode(rng: &mut ChaCha8Rng) -> Mode {
    match rng.random_range(0..5) {
        0 => Mode::Down,
        1 => Mode::Busy,
        2 => Mode::Stale,
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
        Fault::Truncated,
        Fault::Unframed,
        Fault::Duplicated,
        Fault::Refused,
        Fault::Failed,
        Fault::Silent,
    ];
    all[rng.random_range(0..all.len())]
}

#[cfg(test)]
mod tests {
    use {super::*, rand::SeedableRng};

    /// Guards against a change of the faults of all seeds, also by edits of accounts.
    #[test]
    fn a_seed_keeps_its_faults() {
        let window = Duration::from_secs(2);
        let mut rng = ChaCha8Rng::seed_from_u64(11);
        let mut faults = draw_faults(&mut rng, window, 5, 33);
        let lines = |faults: &[Fault]| -> Vec<String> {
            let line = |f: &Fault| format!("{:?} {:?} {:?}", f.start, f.duration, f.kind);
            faults.iter().map(line).collect()
        };
        let before = lines(&faults);
        assert_eq!(
            before,
            [
                "178ms 2.258s Target(2, Unframed)",
                "387ms 3.96s RemoveTarget(28)",
                "917ms 1.406s Kill(4)",
                "1.904s 2.926s RemoveTarget(13)",
            ]
        );
        add_account_edits(&mut faults, &mut rng, window);
        faults.retain(|f| !matches!(f.kind, FaultKind::EditAccounts(_)));
        assert_eq!(lines(&faults), before);
    }
}
