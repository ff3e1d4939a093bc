//! Series of planned stops: several daemons at a time, again before the last one is back, with
//! signals that repeat, and configurations that change meanwhile.
//!
//! A planned stop must cost no request, so the checks of these runs excuse next to nothing. Some
//! seeds have no other faults at all, so that nothing can hide a loss; the others show what a stop
//! does beside faults.

use {
    crate::{daemons::DRAIN_LIMIT, processor, runner::Runner},
    actix_rt::time::sleep,
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    rustix::process::Signal,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Mean time between the begins of two stops. A stop takes 4 to 6 s, so several daemons stop at once.
const MEAN_STOP_INTERVAL_MS: u64 = 1_000;
/// Mean time between two versions of the configuration that stops are accompanied by.
const MEAN_CONFIG_INTERVAL_MS: u64 = 2_000;
/// Time for which a stop waits until its daemon runs and is not stopping.
const MAX_WAIT: Duration = Duration::from_secs(6);
/// Upper bound, exclusive, of the age at which a process is stopped soon after its start.
const MAX_YOUNG_AGE_MS: u64 = 600;
/// The same for a process that may not have installed its signal handlers yet.
const MAX_NEWBORN_AGE_MS: u64 = 20;
/// Upper bound, exclusive, of the time for which a daemon stays down.
const MAX_DOWN_MS: u64 = 1_500;
/// Interval at which a stopping process is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A signal that a stop sends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StopSignal {
    Terminate,
    Interrupt,
    Reload,
    /// SIGHUP after the log level in the settings file was changed.
    ReloadChanged(&'static str),
}

/// One stop of a process: the signals, with their times from the first one on, and what follows.
#[derive(Clone, Debug)]
struct Round {
    /// Time from the start of the process, if it was started by the round before.
    age: Duration,
    signals: Vec<(Duration, StopSignal)>,
    /// Time for which the daemon stays down.
    down: Duration,
}

/// The stops of one daemon that follow each other at once.
#[derive(Clone, Debug)]
pub(crate) struct Series {
    start: Duration,
    daemon: usize,
    rounds: Vec<Round>,
}

/// All stops of a run.
#[derive(Clone, Debug)]
pub(crate) struct StopPlan {
    /// Whether the run has no other faults.
    pub(crate) calm: bool,
    /// Whether some stops are by SIGINT.
    pub(crate) interrupts: bool,
    series: Vec<Series>,
    /// Times at which a new version of the configuration is written.
    configs: Vec<Duration>,
    /// Seed of the callers that stay at their daemons.
    pub(crate) caller_seed: u64,
}

/// Draws the stops that begin within `window`.
pub(crate) fn draw_plan(rng: &mut ChaCha8Rng, window: Duration, daemons: usize) -> StopPlan {
    let calm = rng.random();
    let interrupts = rng.random_range(0..5) == 0;
    let starts = draw_times(rng, window, MEAN_STOP_INTERVAL_MS * 5 / daemons as u64);
    let first = rng.random_range(0..daemons);
    let series = starts.into_iter().enumerate().map(|(i, start)| Series {
        start,
        // In turn, so that the next one stops before the last one is back.
        daemon: (first + i) % daemons,
        rounds: draw_rounds(rng, interrupts),
    });
    let series = series.collect();
    let configs = draw_times(rng, window, MEAN_CONFIG_INTERVAL_MS);
    StopPlan {
        calm,
        interrupts,
        series,
        configs,
        caller_seed: rng.random(),
    }
}

/// Draws times within `window` with a mean interval.
fn draw_times(rng: &mut ChaCha8Rng, window: Duration, mean_ms: u64) -> Vec<Duration> {
    let mut out = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..mean_ms.max(1)));
    while at < window {
        out.push(at);
        at += Duration::from_millis(rng.random_range(0..(2 * mean_ms).max(1)));
    }
    out
}

/// One round, or two of which the second stops the new process soon after its start.
fn draw_rounds(rng: &mut ChaCha8Rng, interrupts: bool) -> Vec<Round> {
    let count = 1 + usize::from(rng.random_range(0..3) == 0);
    let round = |_| Round {
        age: draw_age(rng),
        signals: draw_signals(rng, interrupts),
        down: Duration::from_millis(rng.random_range(0..MAX_DOWN_MS)),
    };
    let mut rounds: Vec<Round> = (0..count).map(round).collect();
    rounds[0].age = Duration::ZERO;
    rounds
}

/// Draws the age at which a process is stopped soon after its start, half of the time before it may
/// have installed its handlers.
fn draw_age(rng: &mut ChaCha8Rng) -> Duration {
    let max_ms = if rng.random() {
        MAX_NEWBORN_AGE_MS
    } else {
        MAX_YOUNG_AGE_MS
    };
    Duration::from_millis(rng.random_range(0..max_ms))
}

fn draw_signals(rng: &mut ChaCha8Rng, interrupts: bool) -> Vec<(Duration, StopSignal)> {
    use StopSignal::{Interrupt, Reload, ReloadChanged, Terminate};
    let millis = Duration::from_millis;
    let limit_ms = u64::try_from(DRAIN_LIMIT.as_millis()).unwrap_or(u64::MAX);
    let hangups = [Reload, ReloadChanged("debug"), ReloadChanged("info")];
    let hangup = hangups[rng.random_range(0..hangups.len())];
    let (first, later) = (
        millis(rng.random_range(0..300)),
        rng.random_range(0..limit_ms),
    );
    let later = first + millis(later);
    let soon = first + millis(rng.random_range(0..20));
    if interrupts && rng.random_range(0..3) == 0 {
        return vec![(Duration::ZERO, Interrupt), (later, Interrupt)];
    }
    let mut signals = vec![(first, Terminate)];
    match rng.random_range(0..8) {
        0 => signals.push((later, Terminate)),
        1 => signals.extend([(later, Terminate), (later + millis(2), Terminate)]),
        2 => signals.push((first + millis(rng.random_range(0..5)), Terminate)),
        3 => signals.push((Duration::ZERO, hangup)),
        4 => signals.push((soon, hangup)),
        5 => signals.push((later, hangup)),
        6 => signals.extend([(soon, hangup), (later, Terminate)]),
        _ => {}
    }
    signals.sort_by_key(|(at, _)| *at);
    signals
}

impl Runner {
    /// Carries out all stops of a plan and returns when the last daemon was started again.
    pub(crate) async fn carry_out_stops(self: Rc<Self>, plan: StopPlan) {
        let begun = Instant::now();
        let mut running = Vec::new();
        for series in plan.series {
            running.push(actix_rt::spawn(self.clone().carry_out_series(series)));
        }
        for at in plan.configs {
            sleep(at.saturating_sub(begun.elapsed())).await;
            self.log_fault("a new version of the configuration");
            self.publish_config();
        }
        for series in running {
            // The join fails only if the task panicked or the runtime stopped.
            let _ = series.await;
        }
    }

    async fn carry_out_series(self: Rc<Self>, series: Series) {
        let i = series.daemon;
        sleep(series.start).await;
        let asked = Instant::now();
        while !self.daemons.borrow()[i].is_serving() {
            if asked.elapsed() > MAX_WAIT {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        for round in series.rounds {
            sleep(round.age).await;
            self.log_fault(&format!("stop of d{i} by {:?}", round.signals));
            if !self.stop(i, &round.signals, round.down).await {
                return;
            }
        }
    }

    /// Sends signals that stop a daemon, and starts it again when its process has exited and `down`
    /// has passed; returns whether it did.
    pub(crate) async fn stop(
        &self,
        i: usize,
        signals: &[(Duration, StopSignal)],
        down: Duration,
    ) -> bool {
        if !self.daemons.borrow()[i].is_serving() {
            return false;
        }
        let (incarnation, begun) = (self.daemons.borrow()[i].incarnation, Instant::now());
        let mut signals = signals.iter();
        let mut next = signals.next();
        while self.is_incarnation_running(i, incarnation) {
            if let Some((at, signal)) = next
                && begun.elapsed() >= *at
            {
                self.send(i, *signal);
                next = signals.next();
                continue;
            }
            self.check_stop_limit(i);
            let left = next.map(|(at, _)| at.saturating_sub(begun.elapsed()));
            sleep(left.unwrap_or(POLL_INTERVAL).min(POLL_INTERVAL)).await;
        }
        sleep(down).await;
        let mut daemons = self.daemons.borrow_mut();
        let daemon = &mut daemons[i];
        if daemon.incarnation != incarnation || daemon.is_running() {
            return false;
        }
        if let Err(error) = daemon.start() {
            self.checks.borrow_mut().add_violation(error.to_string());
        }
        true
    }

    fn is_incarnation_running(&self, i: usize, incarnation: u32) -> bool {
        let daemon = &self.daemons.borrow()[i];
        daemon.incarnation == incarnation && daemon.is_running()
    }

    fn send(&self, i: usize, signal: StopSignal) {
        let daemon = &mut self.daemons.borrow_mut()[i];
        let signal = match signal {
            StopSignal::Terminate => Signal::TERM,
            StopSignal::Interrupt => Signal::INT,
            StopSignal::Reload => Signal::HUP,
            StopSignal::ReloadChanged(level) => {
                if let Err(error) = daemon.set_log_level(level) {
                    self.log_fault(&format!("cannot change the settings: {error}"));
                }
                Signal::HUP
            }
        };
        daemon.signal(signal);
    }

    /// Checks that a process that was asked to stop has exited within its drain limit, and kills it
    /// otherwise, as its supervisor does.
    fn check_stop_limit(&self, i: usize) {
        let daemon = &mut self.daemons.borrow_mut()[i];
        let (Some(asked), Some((lasted, waited))) = (daemon.stopping, daemon.stopping_for()) else {
            return;
        };
        if lasted <= DRAIN_LIMIT || daemon.was_disturbed(asked, Instant::now()) {
            return;
        }
        // It may have exited since the monitor last looked.
        if daemon.has_exited() {
            return;
        }
        let text = format!(
            "{}: expected to exit within its drain limit after SIGTERM, still runs after {lasted:?}; of \
             the {} threads that it has left, one has waited {waited:?} for a processor meanwhile",
            daemon.name,
            daemon.pid().map_or(0, processor::thread_count)
        );
        self.checks.borrow_mut().add_violation(text);
        daemon.kill();
    }
}

#[cfg(test)]
mod tests {
    use {super::*, rand::SeedableRng};

    /// Guards against a mode whose stops do not overlap, repeat or meet young processes.
    #[test]
    fn plans_hold_overlapping_and_repeated_stops() {
        let window = Duration::from_secs(15);
        let plan = |seed| draw_plan(&mut ChaCha8Rng::seed_from_u64(seed), window, 5);
        let plans: Vec<StopPlan> = (1..=20).map(plan).collect();
        assert_eq!(format!("{:?}", plan(1)), format!("{:?}", plans[0]));
        let calm = plans.iter().filter(|p| p.calm).count();
        assert!(
            (5..=15).contains(&calm),
            "{calm} of 20 without other faults"
        );
        for plan in &plans {
            let close = |pair: &[Series]| {
                pair[0].daemon != pair[1].daemon && pair[1].start < pair[0].start + DRAIN_LIMIT
            };
            assert!(plan.series.windows(2).all(close), "{plan:?}");
        }
        let rounds = || plans.iter().flat_map(|p| &p.series).flat_map(|s| &s.rounds);
        let has = |wanted: fn(&Round) -> bool| rounds().any(wanted);
        let newborn = |r: &Round| {
            let age = u64::try_from(r.age.as_millis()).unwrap_or(u64::MAX);
            (1..MAX_NEWBORN_AGE_MS).contains(&age)
        };
        assert!(has(newborn));
        let terms = |r: &Round| -> Vec<Duration> {
            let terms = r.signals.iter();
            let terms = terms.filter(|(_, s)| matches!(s, StopSignal::Terminate));
            terms.map(|(at, _)| *at).collect()
        };
        let gaps: Vec<Duration> = rounds()
            .flat_map(|r| {
                terms(r)
                    .windows(2)
                    .map(|w| w[1].saturating_sub(w[0]))
                    .collect::<Vec<_>>()
            })
            .collect();
        let quick = gaps.iter().filter(|g| g.as_millis() < 5).count();
        assert!(
            quick > 0 && gaps.len() > 2 * quick,
            "{quick} of {}",
            gaps.len()
        );
    }
}
