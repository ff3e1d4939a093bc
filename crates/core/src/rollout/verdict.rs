//! Whether a new version is worse than the old one, by a sequential test.
//!
//! Wald's sequential probability ratio test (Wald 1945) runs over the periods of the evidence in
//! order, for each route and for all routes together. H0 is the old version's fraction of bad answers
//! in the same period, H1 a clearly larger one. A version may become bad late, so the test goes on
//! after it has accepted H0: the ratio then stays at the lower bound until bad answers come (Page
//! 1954). This needs a higher upper bound for the same rate of false alarms, so a faulty version gets
//! some more bad answers than in a test that ends.
//!
//! Failures are also tested alone, because slow answers of an old version whose targets have too little
//! processor time would hide them.
//!
//! Bad answers count less where they have a common cause: those of one target within 100 ms count
//! once, and a target that has only bad answers for a while may be paused ([`PAUSE_PERIODS`]). While
//! the old version has no answers, a burst of errors that would reach both looks like a fault of the
//! new one, so several periods must show it ([`MAX_LONE_STEP`]).

use {
    super::{Counts, Evidence, counters::Period},
    std::collections::BTreeMap,
};

/// Probability of reverting a good version.
const ALPHA: f64 = 0.001;
/// Probability of accepting a bad version.
const BETA: f64 = 0.01;
/// Least fraction of bad answers that is expected of the old version.
const FLOOR: f64 = 0.01;
/// A bad version has at least this multiple of the old version's fraction of bad answers.
const BAD_FACTOR: f64 = 3.0;
/// A bad version has at least this much more than the old version's fraction.
const BAD_MARGIN: f64 = 0.1;
/// Largest fraction of bad answers that is tested for.
const MAX_FRACTION: f64 = 0.95;
/// Weight of the old version's fraction over all time, in answers, beside those of a period.
const PRIOR_WEIGHT: f64 = 3.0;
/// Most that one period adds to the logarithm of the ratio, as a fraction of the upper bound, if the
/// old version has too few answers to show whether it has the same trouble. A burst of errors that
/// lasts a second reaches up to three periods.
const MAX_LONE_STEP: f64 = 0.2;
/// Least number of the old version's answers in a period, as a fraction of the new one's, that show
/// whether both have the same trouble.
const MIN_CONTROL: f64 = 0.3;
/// Least number of them in any case: of five, one or none may fail in a burst by chance.
const MIN_CONTROL_ANSWERS: f64 = 10.0;
/// Periods in a row in which a target has only bad answers, and which count as one bad answer: 2.5 s.
/// A target that is paused for longer is avoided by then.
const PAUSE_PERIODS: u32 = 5;
/// Logarithm of the ratio from which on a route leans to a bad version: a bad answer among fewer than 14.
/// At 0, one slow answer on a route with few requests would keep a good version back for too long.
const MAX_LEAN: f64 = 1.0;
/// Logarithm of the ratio, as a fraction of the lower bound, up to which a version that was accepted
/// stays good: one bad answer does not take it back.
const KEPT: f64 = 0.4;
/// Name that stands for all routes together.
const ALL_ROUTES: &str = "*";

/// What the evidence says about the new version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There is too little evidence.
    Open,
    /// It is as good as the old version.
    Good,
    /// It is worse than the old version.
    Bad {
        /// Name of the route that shows it, `*` for all routes together.
        route: String,
    },
}

/// What the evidence says about the new version.
///
/// ```
/// use rattanturn_core::rollout::{Evidence, Verdict, verdict};
/// assert_eq!(verdict(&Evidence::new("a", "v2", 0)), Verdict::Open);
/// ```
#[must_use]
pub fn verdict(evidence: &Evidence) -> Verdict {
    judge(evidence).verdict
}

/// The verdict, and what it leaves out.
#[derive(Debug)]
pub(super) struct Judgement {
    pub(super) verdict: Verdict,
    /// Whether the evidence speaks for a bad version, on a route or on all together.
    pub(super) leans_to_bad: bool,
    /// Whether the version was accepted at some time and no route leans to a bad version.
    pub(super) is_trusted: bool,
}

/// The verdict. A version is good if the test accepts all routes together and none of them leans to a
/// bad version: on routes with few requests, a test of their own would not end in time.
pub(super) fn judge(evidence: &Evidence) -> Judgement {
    let series = all_series(evidence);
    let (lower, upper) = bounds(series.len() * Criterion::ALL.len());
    let mut highest = lower;
    let criteria = |one| Criterion::ALL.map(|criterion| (one, criterion));
    for ((name, one), criterion) in series.iter().flat_map(criteria) {
        let ratio = one.ratio(criterion, lower, upper).last;
        if ratio >= upper {
            let route = (*name).to_owned();
            return Judgement {
                verdict: Verdict::Bad { route },
                leans_to_bad: true,
                is_trusted: false,
            };
        }
        highest = highest.max(ratio);
    }
    let leans_to_bad = highest > MAX_LEAN;
    let all = series.get(ALL_ROUTES);
    let all = all.map(|s| Criterion::ALL.map(|criterion| s.ratio(criterion, lower, upper)));
    let all = all.filter(|ratios| ratios.iter().all(|r| r.least <= lower));
    let is_kept = |ratios: &[Ratio; 2]| ratios.iter().all(|r| r.last <= lower * KEPT);
    let is_accepted = all.as_ref().is_some_and(is_kept);
    let verdict = if is_accepted && !leans_to_bad {
        Verdict::Good
    } else {
        Verdict::Open
    };
    Judgement {
        verdict,
        leans_to_bad,
        is_trusted: all.is_some() && !leans_to_bad,
    }
}

/// Bounds of the logarithm of the ratio. The probability of a false alarm is divided among the tests.
fn bounds(tests: usize) -> (f64, f64) {
    let tests = f64::from(u32::try_from(tests.max(1)).unwrap_or(u32::MAX));
    let lower = (BETA / (1.0 - ALPHA)).ln();
    let upper = ((1.0 - BETA) * tests / ALPHA).ln();
    (lower, upper)
}

/// Answers that a test counts as bad.
#[derive(Clone, Copy)]
enum Criterion {
    FailedOrSlow,
    Failed,
}

impl Criterion {
    const ALL: [Self; 2] = [Self::FailedOrSlow, Self::Failed];

    fn count(self, counts: Counts) -> u64 {
        match self {
            Self::FailedOrSlow => counts.bad(),
            Self::Failed => counts.failed,
        }
    }
}

/// Answers of all daemons by period, on one route or on all.
#[derive(Default)]
struct Series {
    old: Counts,
    periods: BTreeMap<u32, Period>,
}

/// Logarithm of a likelihood ratio.
struct Ratio {
    /// After all periods.
    last: f64,
    /// The least after any of them.
    least: f64,
}

fn all_series(evidence: &Evidence) -> BTreeMap<&str, Series> {
    let mut all: BTreeMap<&str, Series> = BTreeMap::new();
    for (name, route) in evidence.nodes.values().flatten() {
        for key in [name, ALL_ROUTES] {
            let series = all.entry(key).or_default();
            series.old.add(route.old);
            for (number, period) in &route.periods {
                series.periods.entry(*number).or_default().add(period);
            }
        }
    }
    all
}

impl Series {
    /// Logarithm of the likelihood ratio of H1 to H0 over all periods.
    fn ratio(&self, criterion: Criterion, lower: f64, upper: f64) -> Ratio {
        let (mut ratio, mut least) = (0.0_f64, 0.0_f64);
        let mut silent = BTreeMap::new();
        for (number, period) in &self.periods {
            let (answers, bad) = effective(period, *number, criterion, &mut silent);
            if answers > 0.0 {
                let step = step(answers, bad, self.expected(criterion, *number, period.old));
                let control = (answers * MIN_CONTROL).max(MIN_CONTROL_ANSWERS);
                let is_lone = float(period.old.answers) < control;
                let most = if is_lone {
                    upper * MAX_LONE_STEP
                } else {
                    upper
                };
                ratio = (ratio + step.min(most)).max(lower);
                least = least.min(ratio);
            }
            if ratio >= upper {
                break;
            }
        }
        Ratio { last: ratio, least }
    }

    /// The old version's answers in a period and the ones beside it.
    fn old_near(&self, number: u32) -> Counts {
        let around = number.saturating_sub(1)..=number.saturating_add(1);
        let mut near = Counts::default();
        for (_, period) in self.periods.range(around) {
            near.add(period.old);
        }
        near
    }

    /// Fraction of bad answers that a good version has in a period: the largest of the old version's
    /// over all time, around the period, and `within` it.
    fn expected(&self, criterion: Criterion, number: u32, within: Counts) -> f64 {
        let overall = (float(criterion.count(self.old)) + 1.0) / (float(self.old.answers) + 2.0);
        let weighted = |counts: Counts| {
            let bad = criterion.count(counts);
            if bad == 0 {
                return 0.0;
            }

            let answers = float(counts.answers) + PRIOR_WEIGHT;
            let fraction = (float(bad) + PRIOR_WEIGHT * overall) / answers;
            // One standard deviation more: in a burst, few old answers may have had less than their
            // part of the failures.
            fraction + (fraction * (1.0 - fraction) / answers).sqrt()
        };
        let recent = weighted(self.old_near(number)).max(weighted(within));
        overall.max(recent).max(FLOOR)
    }
}

/// Logarithm of the likelihood ratio of some answers.
fn step(answers: f64, bad: f64, expected: f64) -> f64 {
    let bad_version = (BAD_FACTOR * expected).max(expected + BAD_MARGIN);
    let (h0, h1) = (expected, bad_version.min(MAX_FRACTION));
    if h1 <= h0 {
        return 0.0;
    }
    bad * (h1 / h0).ln() + (answers - bad) * ((1.0 - h1) / (1.0 - h0)).ln()
}

/// First and last period of the latest row of periods in which a target had only bad answers.
type Row = (u32, u32);

/// Numbers of answers and bad answers of the new version that count as independent.
fn effective(
    period: &Period,
    number: u32,
    criterion: Criterion,
    rows: &mut BTreeMap<u32, Row>,
) -> (f64, f64) {
    let mut sum = (0.0, 0.0);
    for (id, target) in &period.new {
        let counts = target.counts;
        let bad = float(criterion.count(counts));
        let slots = match criterion {
            Criterion::FailedOrSlow => target.slots,
            Criterion::Failed => period.failed_slots.get(id).copied().unwrap_or(0),
        };
        let slots = f64::from(slots.count_ones().max(1));
        let (answers, bad) = if counts.bad() >= counts.answers {
            let row = rows.entry(*id).or_insert((number, number));
            if row.1.saturating_add(1) < number {
                *row = (number, number);
            }
            row.1 = number;
            let answers = silent(slots, number - row.0);
            (answers, answers.min(bad))
        } else {
            let row = rows.remove(id);
            let is_pause_over =
                row.is_some_and(|(first, last)| last > first && last.saturating_add(1) >= number);
            independent(float(counts.answers), bad, slots, is_pause_over)
        };
        sum = (sum.0 + answers, sum.1 + bad);
    }
    sum
}

/// Number of answers that count of a target that has had only bad ones, also in the `before` periods
/// before, in this many times 100 ms.
fn silent(slots: f64, before: u32) -> f64 {
    match before {
        0 => 1.0,
        1..PAUSE_PERIODS => 0.0,
        _ => slots,
    }
}

/// Reduces a target's answers such that its bad ones count once for each of the `slots` of 100 ms, with
/// the fraction of bad ones unchanged. In the period in which a pause ends, the bad ones still belong to
/// it.
fn independent(answers: f64, bad: f64, slots: f64, is_pause_over: bool) -> (f64, f64) {
    if bad <= 0.0 || is_pause_over {
        return (answers - bad, 0.0);
    }
    let counted = slots.min(bad);
    (answers * counted / bad, counted)
}

// Numbers of answers are far below 2^52.
#[allow(clippy::cast_precision_loss)]
fn float(count: u64) -> f64 {
    count as f64
}
