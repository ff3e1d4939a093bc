//! Text format of a query's events: [`Recorder`] writes it, [`replay`] runs it again.
//!
//! A replay feeds the recorded events to a new [`Gather`], so it shows the decisions of a query
//! without its targets and without waiting. A trace has one event on each line, with its time in
//! microseconds since the query arrived. These lines show the forms and are not one real query:
//!
//! ```text
//! plan deadline=500000 snapshot=7 hedging=yes late=8000 services=0,1;2,3
//! 1500 done attempt=0 snapshot=7 body=a newest=7
//! 2100 not-run attempt=1 reason=busy newest=7
//! 2300 unsent attempt=1 reason=unreachable newest=7
//! 2500 wrong-snapshot attempt=1 newest=8
//! 3000 failed attempt=1 newest=7
//! 9000 tick
//! expect covered=2 snapshot=7 finished=yes hedges=1
//! expect part=1 missing=busy
//! ```
//!
//! The `plan` line comes first. Its `late` is [`Plan::hedge_delays`] in microseconds; a single
//! value holds for all services. Its `services` are the targets of each service. The other limits
//! of a [`Plan`] are not recorded: a replay is idempotent, has [`MAX_ATTEMPTS`] and no cutoff.
//!
//! The `plan` line and every event can also have `budgets=HEDGE,RETRY`, the extra calls available
//! at that moment. Other queries of the same thread spend from the same budgets, so a replay cannot
//! compute them.
//!
//! An `expect` line checks the state of the query after the lines above it. The text after a `#` is
//! a comment.

use {
    super::{
        Action, AttemptId, Budgets, Counts, Gather, MAX_ATTEMPTS, MissingReason, Part, Plan, Reply,
        max_ended,
    },
    crate::Time,
    std::{collections::HashMap, fmt::Write, time::Duration},
};

/// Reasons that `not-run` and `unsent` can have, written as by [`MissingReason::as_str`].
const REASONS: [MissingReason; 13] = [
    MissingReason::Deadline,
    MissingReason::Busy,
    MissingReason::Limited,
    MissingReason::Unreachable,
    MissingReason::Withdrawn,
    MissingReason::NoHolder,
    MissingReason::Snapshot,
    MissingReason::Failed,
    MissingReason::Evacuated,
    MissingReason::Quarantined,
    MissingReason::Overload,
    MissingReason::Unauthorized,
    MissingReason::Memory,
];

/// Records the events of one query as a trace.
#[derive(Debug, Default)]
pub struct Recorder {
    text: String,
    start: Time,
}

impl Recorder {
    /// Starts the trace of a query that arrived at `start`; to be called before
    /// [`Gather::start`], which changes the budgets.
    #[must_use]
    pub fn open(start: Time, plan: &Plan, budgets: &Budgets) -> Self {
        let services: Vec<String> = plan
            .services
            .iter()
            .map(|s| {
                s.iter()
                    .map(ToString::to_string)
                    .collect::<Vec<_>>()
                    .join(",")
            })
            .collect();
        let delays: Vec<String> = plan
            .hedge_delays
            .iter()
            .map(|d| d.as_micros().to_string())
            .collect();
        let text = format!(
            "plan deadline={} snapshot={} hedging={} late={} services={} {}\n",
            plan.deadline.since(start).as_micros(),
            plan.snapshot,
            if plan.hedging { "yes" } else { "no" },
            delays.join(","),
            services.join(";"),
            format_budgets(budgets),
        );
        Self { text, start }
    }

    /// Records the end of an attempt, to be called before [`Gather::reply`].
    ///
    /// The body of an answer is left out, because it does not affect what the query does.
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
            Reply::Unsent(reason) => format!("unsent reason={reason}"),
            Reply::Failed => "failed".into(),
            Reply::Ended => "ended".into(),
        };
        let event = format!("{event} attempt={} newest={newest}", attempt.0);
        self.write_line(now, &event, budgets);
    }

    /// Records a tick, to be called before [`Gather::tick`].
    pub fn tick(&mut self, now: Time, budgets: &Budgets) {
        self.write_line(now, "tick", budgets);
    }

    fn write_line(&mut self, now: Time, event: &str, budgets: &Budgets) {
        let at = now.since(self.start).as_micros();
        // Writing to a `String` cannot fail.
        let _ = writeln!(self.text, "{at} {event} {}", format_budgets(budgets));
    }

    /// Ends the trace of a finished query with an `expect` line and returns its text.
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

fn format_budgets(budgets: &Budgets) -> String {
    format!(
        "budgets={:.3},{:.3}",
        budgets.first().hedge.tokens(),
        budgets.first().retry.tokens()
    )
}

/// One line of a trace, split into words without `=` and `key=value` pairs.
struct Line<'a> {
    words: Vec<&'a str>,
    pairs: HashMap<&'a str, &'a str>,
}

impl<'a> Line<'a> {
    fn parse(text: &'a str) -> Self {
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

    /// Sets the available extra calls to the line's `budgets`, if it has them.
    fn set_budgets(&self, budgets: &mut Budgets) -> Result<(), String> {
        let Some(text) = self.pairs.get("budgets") else {
            return Ok(());
        };
        let parsed = text
            .split_once(',')
            .and_then(|(h, r)| Some((h.parse().ok()?, r.parse().ok()?)));
        let (hedge, retry) =
            parsed.ok_or_else(|| format!("`budgets={text}` is not HEDGE,RETRY"))?;
        budgets.pair(0).hedge.set_tokens(hedge);
        budgets.pair(0).retry.set_tokens(retry);
        Ok(())
    }

    fn flag(&self, key: &str) -> bool {
        self.pairs.get(key) == Some(&"yes")
    }
}

/// A query under replay.
struct Replay {
    gather: Gather,
    budgets: Budgets,
    finished: bool,
}

/// Replays a trace and checks its `expect` lines; returns a summary for people to read.
///
/// # Errors
///
/// `LINE: PROBLEM`, with the number of the line, for a line that cannot be parsed and for the first
/// `expect` line that does not hold. A trace without any `expect` line is an error too.
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
    let mut checks = 0;
    for (i, raw) in text.lines().enumerate() {
        let raw = raw.split('#').next().unwrap_or("").trim();
        if raw.is_empty() {
            continue;
        }
        let line = Line::parse(raw);
        let step = match (line.words.first().copied(), state.as_mut()) {
            (Some("plan"), None) => start_replay(&line).map(|r| state = Some(r)),
            (Some("expect"), Some(replay)) => {
                checks += 1;
                replay.check(&line)
            }
            (Some(_), Some(replay)) => replay.apply_event(&line),
            _ => Err("a trace must have one `plan` line, before all others".into()),
        };
        step.map_err(|e| format!("{}: {e}", i + 1))?;
    }
    let replay = state.ok_or("1: the trace has no lines besides comments")?;
    if checks == 0 {
        return Err(format!(
            "{}: the trace has no `expect` line, add one",
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
        "{} services answered on snapshot {}; {first} first calls, {hedges} hedges, \
         {retries} retries, {restarts} restarts; {checks} `expect` lines hold",
        replay.gather.covered(),
        replay.gather.snapshot()
    ))
}

fn start_replay(line: &Line<'_>) -> Result<Replay, String> {
    let lists = line.pairs.get("services").ok_or("`services=` is missing")?;
    let mut services = Vec::new();
    for list in lists.split(';') {
        let targets: Result<Vec<usize>, _> = list
            .split(',')
            .filter(|t| !t.is_empty())
            .map(str::parse)
            .collect();
        services.push(targets.map_err(|_| format!("`{list}` is not a list of target numbers"))?);
    }
    let delays = line.pairs.get("late").ok_or("`late=` is missing")?;
    let delays: Result<Vec<u64>, _> = delays.split(',').map(str::parse).collect();
    let delays = delays.map_err(|_| "`late=` is not a list of numbers of microseconds")?;
    // A single value holds for all services.
    let hedge_delays =
        (0..services.len()).map(|i| delays.get(i).or(delays.first()).copied().unwrap_or(0));
    let count = services.len();
    let plan = Plan {
        hedge_delays: hedge_delays.map(Duration::from_micros).collect(),
        services,
        deadline: Time::from_micros(line.number("deadline")?),
        snapshot: line.number("snapshot")?,
        hedging: line.flag("hedging"),
        idempotent: true,
        max_attempts: MAX_ATTEMPTS,
        max_ended: max_ended(count),
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
    fn apply_event(&mut self, line: &Line<'_>) -> Result<(), String> {
        let at: u64 = line.words[0]
            .parse()
            .map_err(|_| "an event line must start with a time in microseconds")?;
        let now = Time::from_micros(at);
        let kind = line
            .words
            .get(1)
            .copied()
            .ok_or("the event after the time is missing")?;
        line.set_budgets(&mut self.budgets)?;
        let actions = if kind == "tick" {
            self.gather.tick(now, &mut self.budgets)
        } else {
            let reply = parse_reply(kind, line)?;
            let attempt =
                u32::try_from(line.number("attempt")?).map_err(|_| "`attempt=` is too large")?;
            let newest = line.number("newest")?;
            self.gather
                .reply(now, AttemptId(attempt), reply, newest, &mut self.budgets)
        };
        self.finished |= actions.contains(&Action::Finish);
        Ok(())
    }

    fn check(&self, line: &Line<'_>) -> Result<(), String> {
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
                "missing" => self.missing_reason(line)?,
                "body" => self.part_body(line)?,
                other => return Err(format!("`{other}=` is not a key of an `expect` line")),
            };
            if found != *text {
                return Err(format!("expected {key}={text}, found {found}"));
            }
        }
        Ok(())
    }

    fn missing_reason(&self, line: &Line<'_>) -> Result<String, String> {
        match self.part(line)? {
            Part::Missing(reason) => Ok(reason.to_string()),
            Part::Covered(_) => Ok("no".into()),
        }
    }

    fn part_body(&self, line: &Line<'_>) -> Result<String, String> {
        match self.part(line)? {
            Part::Covered(body) => Ok(String::from_utf8_lossy(&body).into_owned()),
            Part::Missing(_) => Ok(String::new()),
        }
    }

    fn part(&self, line: &Line<'_>) -> Result<Part, String> {
        let index = usize::try_from(line.number("part")?).map_err(|_| "`part=` is too large")?;
        self.gather
            .part(index)
            .ok_or_else(|| format!("the plan has no service for `part={index}`"))
    }
}

fn parse_reply(kind: &str, line: &Line<'_>) -> Result<Reply, String> {
    match kind {
        "done" => Ok(Reply::Done {
            snapshot: line.number("snapshot")?,
            body: line.pairs.get("body").copied().unwrap_or("").into(),
        }),
        "wrong-snapshot" => Ok(Reply::WrongSnapshot),
        "failed" => Ok(Reply::Failed),
        "ended" => Ok(Reply::Ended),
        "not-run" => parse_reason(line).map(Reply::NotRun),
        "unsent" => parse_reason(line).map(Reply::Unsent),
        other => Err(format!("`{other}` is not a known event")),
    }
}

fn parse_reason(line: &Line<'_>) -> Result<MissingReason, String> {
    let word = line.pairs.get("reason").ok_or("`reason=` is missing")?;
    let reason = REASONS.into_iter().find(|r| r.as_str() == *word);
    reason.ok_or_else(|| format!("`reason={word}` is not a known reason"))
}
