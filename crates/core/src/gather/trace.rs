//! Text form of a query's events, for recording and replay.
//!
//! One event a line, times in microseconds since the query arrived:
//!
//! ```text
//! plan deadline=500000 snapshot=7 hedging=yes late=8000 services=0,1;2,3
//! 1500 done attempt=0 snapshot=7 body=a newest=7
//! 2100 not-run attempt=1 reason=busy newest=7
//! 2500 wrong-snapshot attempt=1 newest=8
//! 3000 failed attempt=1 newest=7
//! 9000 tick
//! expect covered=2 snapshot=7 finished=yes hedges=1
//! expect part=1 missing=busy
//! ```
//!
//! Any line but the last may name the budgets that it met, as `budgets=HEDGE,RETRY`: queries share
//! them, so a replay has to be told.
//!
//! An `expect` line states the outcome at its place in the trace.

use {
    super::{
        Action, AttemptId, Budgets, Counts, Gather, MAX_ATTEMPTS, MissingReason, Part, Plan, Reply,
    },
    crate::Time,
    std::{collections::HashMap, fmt::Write, time::Duration},
};

/// Reasons by their words in a trace.
const REASONS: [MissingReason; 7] = [
    MissingReason::Deadline,
    MissingReason::Busy,
    MissingReason::Unreachable,
    MissingReason::NoHolder,
    MissingReason::Snapshot,
    MissingReason::Failed,
    MissingReason::Evacuated,
];

/// Writes the events of one query as a trace.
#[derive(Debug, Default)]
pub struct Recorder {
    text: String,
    start: Time,
}

impl Recorder {
    /// Starts a trace of a query that arrived at `start`.
    #[must_use]
    pub fn open(start: Time, plan: &Plan, budgets: &Budgets) -> Self {
        let lists: Vec<String> = plan
            .services
            .iter()
            .map(|s| {
                s.iter()
                    .map(ToString::to_string)
                    .collect::<Vec<_>>()
                    .join(",")
            })
            .collect();
        let late: Vec<String> = plan
            .hedge_delays
            .iter()
            .map(|d| d.as_micros().to_string())
            .collect();
        let text = format!(
            "plan deadline={} snapshot={} hedging={} late={} services={} {}\n",
            plan.deadline.since(start).as_micros(),
            plan.snapshot,
            if plan.hedging { "yes" } else { "no" },
            late.join(","),
            lists.join(";"),
            budget_words(budgets),
        );
        Self { text, start }
    }

    /// Records the end of an attempt; the body is left out.
    pub fn reply(
        &mut self,
        now: Time,
        attempt: AttemptId,
        reply: &Reply,
        newest: u64,
        budgets: &Budgets,
    ) {
        let event = match reply {
            Reply::Done { snapshot, .. } => format!("done snapshot={snapshot}"),
            Reply::WrongSnapshot => "wrong-snapshot".into(),
            Reply::NotRun(reason) => format!("not-run reason={reason}"),
            Reply::Failed => "failed".into(),
        };
        let words = format!("{event} attempt={} newest={newest}", attempt.0);
        self.line(now, &words, budgets);
    }

    /// Records that time passed.
    pub fn tick(&mut self, now: Time, budgets: &Budgets) {
        self.line(now, "tick", budgets);
    }

    fn line(&mut self, now: Time, words: &str, budgets: &Budgets) {
        let at = now.since(self.start).as_micros();
        // Writing to a string cannot fail.
        let _ = writeln!(self.text, "{at} {words} {}", budget_words(budgets));
    }

    /// Ends the trace with the outcome as it was.
    #[must_use]
    pub fn close(mut self, gather: &Gather) -> String {
        let _ = writeln!(
            self.text,
            "expect covered={} snapshot={} finished=yes",
            gather.covered(),
            gather.snapshot()
        );
        self.text
    }
}

fn budget_words(budgets: &Budgets) -> String {
    format!(
        "budgets={:.3},{:.3}",
        budgets.first().hedge.tokens(),
        budgets.first().retry.tokens()
    )
}

/// Words of one line: bare words, then `key=value`.
struct Line<'a> {
    words: Vec<&'a str>,
    pairs: HashMap<&'a str, &'a str>,
}

impl<'a> Line<'a> {
    fn read(text: &'a str) -> Self {
        let mut line = Self {
            words: Vec::new(),
            pairs: HashMap::new(),
        };
        for word in text.split_whitespace() {
            match word.split_once('=') {
                Some((k, v)) => drop(line.pairs.insert(k, v)),
                None => line.words.push(word),
            }
        }
        line
    }

    fn number(&self, key: &str) -> Result<u64, String> {
        let text = self
            .pairs
            .get(key)
            .ok_or_else(|| format!("`{key}=` is missing"))?;
        text.parse()
            .map_err(|_| format!("`{key}={text}` is not a number"))
    }

    /// Sets the budgets that the line names.
    fn set_budgets(&self, budgets: &mut Budgets) -> Result<(), String> {
        let Some(text) = self.pairs.get("budgets") else {
            return Ok(());
        };
        let parsed = text
            .split_once(',')
            .and_then(|(h, r)| Some((h.parse().ok()?, r.parse().ok()?)));
        let (hedge, retry) =
            parsed.ok_or_else(|| format!("`budgets={text}` is not two numbers"))?;
        budgets.pair(0).hedge.set_tokens(hedge);
        budgets.pair(0).retry.set_tokens(retry);
        Ok(())
    }

    fn flag(&self, key: &str) -> bool {
        self.pairs.get(key) == Some(&"yes")
    }
}

struct Replay {
    gather: Gather,
    budgets: Budgets,
    finished: bool,
}

/// Replays a trace and checks its stated outcomes; returns a summary.
///
/// # Errors
///
/// `LINE: problem` for a line that cannot be read or an outcome that differs.
///
/// ```
/// let trace = "plan deadline=100000 snapshot=7 hedging=no late=5000 services=0\n\
///              1000 done attempt=0 snapshot=7 newest=7\n\
///              expect covered=1 snapshot=7 finished=yes\n";
/// assert!(rattanturn_core::gather::trace::replay(trace).is_ok());
/// let wrong = trace.replace("covered=1", "covered=2");
/// assert!(rattanturn_core::gather::trace::replay(&wrong).unwrap_err().starts_with("3:"));
/// ```
pub fn replay(text: &str) -> Result<String, String> {
    let mut state: Option<Replay> = None;
    let mut expected = 0;
    for (i, raw) in text.lines().enumerate() {
        let raw = raw.split('#').next().unwrap_or("").trim();
        if raw.is_empty() {
            continue;
        }
        let line = Line::read(raw);
        let step = match (line.words.first().copied(), state.as_mut()) {
            (Some("plan"), None) => start(&line).map(|r| state = Some(r)),
            (Some("expect"), Some(replay)) => {
                expected += 1;
                replay.expect(&line)
            }
            (Some(_), Some(replay)) => replay.event(&line),
            _ => Err("a trace starts with one `plan` line".into()),
        };
        step.map_err(|e| format!("{}: {e}", i + 1))?;
    }
    let replay = state.ok_or("1: the trace is empty")?;
    if expected == 0 {
        return Err(format!(
            "{}: the trace states no outcome",
            text.lines().count()
        ));
    }
    let Counts {
        first,
        hedges,
        retries,
        restarts,
    } = replay.gather.counts();
    Ok(format!(
        "covered {} on snapshot {}; {first} first calls, {hedges} hedges, {retries} retries, \
         {restarts} restarts; {expected} outcomes as stated",
        replay.gather.covered(),
        replay.gather.snapshot()
    ))
}

fn start(line: &Line<'_>) -> Result<Replay, String> {
    let lists = line.pairs.get("services").ok_or("`services=` is missing")?;
    let mut services = Vec::new();
    for list in lists.split(';') {
        let targets: Result<Vec<usize>, _> = list
            .split(',')
            .filter(|t| !t.is_empty())
            .map(str::parse)
            .collect();
        services.push(targets.map_err(|_| format!("`{list}` is not a list of targets"))?);
    }
    let given = line.pairs.get("late").ok_or("`late=` is missing")?;
    let given: Result<Vec<u64>, _> = given.split(',').map(str::parse).collect();
    let given = given.map_err(|_| "`late=` is not a list of numbers")?;
    // One value stands for all services.
    let late = (0..services.len()).map(|i| given.get(i).or(given.first()).copied().unwrap_or(0));
    let plan = Plan {
        hedge_delays: late.map(Duration::from_micros).collect(),
        services,
        deadline: Time::from_micros(line.number("deadline")?),
        snapshot: line.number("snapshot")?,
        hedging: line.flag("hedging"),
        idempotent: true,
        max_attempts: MAX_ATTEMPTS,
        cutoff: None,
        budgets: Vec::new(),
    };
    let mut budgets = Budgets::default();
    line.set_budgets(&mut budgets)?;
    let (gather, actions) = Gather::start(Time::ZERO, plan, &mut budgets);
    let finished = actions.contains(&Action::Finish);
    Ok(Replay {
        gather,
        budgets,
        finished,
    })
}

impl Replay {
    fn event(&mut self, line: &Line<'_>) -> Result<(), String> {
        let at: u64 = line.words[0]
            .parse()
            .map_err(|_| "a line starts with its time")?;
        let now = Time::from_micros(at);
        let kind = line.words.get(1).copied().ok_or("the event is missing")?;
        line.set_budgets(&mut self.budgets)?;
        let actions = if kind == "tick" {
            self.gather.tick(now, &mut self.budgets)
        } else {
            let reply = reply_of(kind, line)?;
            let attempt = u32::try_from(line.number("attempt")?).map_err(|_| "attempt too high")?;
            let newest = line.number("newest")?;
            self.gather
                .reply(now, AttemptId(attempt), reply, newest, &mut self.budgets)
        };
        self.finished |= actions.contains(&Action::Finish);
        Ok(())
    }

    fn expect(&self, line: &Line<'_>) -> Result<(), String> {
        let counts = self.gather.counts();
        for (key, text) in &line.pairs {
            let found = match *key {
                "covered" => self.gather.covered().to_string(),
                "snapshot" => self.gather.snapshot().to_string(),
                "finished" => if self.finished { "yes" } else { "no" }.into(),
                "hedges" => counts.hedges.to_string(),
                "retries" => counts.retries.to_string(),
                "restarts" => counts.restarts.to_string(),
                "part" => continue,
                "missing" => self.missing(line)?,
                "body" => self.body(line)?,
                other => return Err(format!("`{other}` cannot be expected")),
            };
            if found != *text {
                return Err(format!("expected {key}={text}, found {found}"));
            }
        }
        Ok(())
    }

    fn missing(&self, line: &Line<'_>) -> Result<String, String> {
        match self.part(line)? {
            Part::Missing(reason) => Ok(reason.to_string()),
            Part::Covered(_) => Ok("no".into()),
        }
    }

    fn body(&self, line: &Line<'_>) -> Result<String, String> {
        match self.part(line)? {
            Part::Covered(body) => Ok(String::from_utf8_lossy(&body).into_owned()),
            Part::Missing(_) => Ok(String::new()),
        }
    }

    fn part(&self, line: &Line<'_>) -> Result<Part, String> {
        let index = usize::try_from(line.number("part")?).map_err(|_| "part too high")?;
        self.gather
            .part(index)
            .ok_or_else(|| format!("there is no part {index}"))
    }
}

fn reply_of(kind: &str, line: &Line<'_>) -> Result<Reply, String> {
    match kind {
        "done" => Ok(Reply::Done {
            snapshot: line.number("snapshot")?,
            body: line.pairs.get("body").copied().unwrap_or("").into(),
        }),
        "wrong-snapshot" => Ok(Reply::WrongSnapshot),
        "failed" => Ok(Reply::Failed),
        "not-run" => {
            let word = line.pairs.get("reason").ok_or("`reason=` is missing")?;
            let reason = REASONS.into_iter().find(|r| r.as_str() == *word);
            reason
                .map(Reply::NotRun)
                .ok_or_else(|| format!("`{word}` is not a reason"))
        }
        other => Err(format!("`{other}` is not an event")),
    }
}
