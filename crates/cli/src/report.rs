//! Turns log files into one HTML page with plots, to see trends that single lines do not show.
//!
//! A log has a line for every failed request but only for a sample of the others. Each line says
//! in `stands_for` how many requests it represents, and counts and means are weighted by it.
//! Latencies are plotted as logged, so there the sampled requests are under-represented.
//!
//! The page needs no other files: the plots are inline SVG.

use {
    crate::log_lines::{Line, read},
    plotters::{
        coord::Shift,
        prelude::{
            ChartBuilder, Circle, DrawingArea, IntoDrawingArea, LineSeries, Palette, Palette99,
            SVGBackend, SeriesLabelPosition,
        },
        style::{BLACK, Color, WHITE},
    },
    std::{collections::BTreeMap, fmt::Write},
};

/// Width and height of a plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (960, 260);
/// Time steps that a plot averages over. With more, points would overlap at the plot's width.
const TIME_STEPS: f64 = 120.0;
/// Routes that are plotted under their own name, the most frequent ones; the rest are plotted
/// together as `others`.
const MAX_NAMED_ROUTES: usize = 8;
/// State changes that the page lists, the first ones; the others are only counted.
const MAX_LISTED_CHANGES: usize = 200;

/// Points of a plot by the name of their curve. Each is a time, in seconds since the start of the
/// report, and a value.
type Series = BTreeMap<String, Vec<(f64, f64)>>;

/// Builds the HTML page; `None` if the logs have no line of a daemon.
///
/// Each log is a name and its text.
///
/// ```
/// use rattanturn_cli::report::report;
/// let line = r#"{"timestamp":"2026-05-04T18:11:12.5Z","fields":{"message":"request",
///     "request":"r1","route":"sweep","outcome":"partial","parts":3,"of":4,"took_ms":173}}"#;
/// let page = report(&[("a1".into(), line.replace('\n', ""))]).unwrap();
/// assert!(page.contains("<svg") && page.contains("sweep"));
/// assert!(report(&[]).is_none());
/// ```
#[must_use]
pub fn report(logs: &[(String, String)]) -> Option<String> {
    let lines = read(logs);
    let (first, last) = (lines.first()?.time, lines.last()?.time);
    let requests: Vec<&Line> = lines.iter().filter(|l| l.is_request()).collect();
    let span = TimeRange {
        start: first,
        length: (last - first).max(1.0),
    };
    let mut out = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>rattanturn report</title>\
         <style>body{font:15px sans-serif;margin:2em;max-width:980px}\
         table{border-collapse:collapse}td,th{padding:2px 10px;text-align:right}\
         td:first-child,th:first-child{text-align:left}</style>\n<h1>Requests in the logs</h1>\n",
    );
    // Writing to a string cannot fail.
    let _ = writeln!(
        out,
        "<p>{} logs, {} lines from {} to {}.</p>",
        logs.len(),
        lines.len(),
        escape(&lines[0].timestamp),
        escape(&lines[lines.len() - 1].timestamp)
    );
    out.push_str(&outcome_table(&requests));
    let plots: [(&str, &str, Plot, Series); 5] = [
        (
            "Latency by route",
            "ms",
            Plot::Dots,
            latency(&span, &requests),
        ),
        (
            "Parts answered",
            "share",
            Plot::Line,
            coverage(&span, &requests),
        ),
        (
            "Retries and hedges",
            "per request",
            Plot::Line,
            extra_calls(&span, &requests),
        ),
        (
            "Requests without a full answer",
            "per second",
            Plot::Line,
            incomplete(&span, &lines),
        ),
        (
            "State changes logged by daemons",
            "per second",
            Plot::Line,
            change_rates(&span, &lines),
        ),
    ];
    for (title, unit, kind, series) in plots {
        let _ = writeln!(
            out,
            "<h2>{title} ({unit})</h2>\n{}",
            plot(&span, kind, &series)
        );
    }
    out.push_str(&change_list(&lines));
    Some(out)
}

/// The time that the logs cover.
struct TimeRange {
    /// Time of the first line, in seconds since the Unix epoch.
    start: f64,
    /// Length in seconds, at least 1, so that a single line can be plotted too.
    length: f64,
}

impl TimeRange {
    /// Length of a time step, in seconds.
    fn step(&self) -> f64 {
        self.length / TIME_STEPS
    }

    /// Middle of the time step that a line falls into, in seconds since the start.
    fn step_middle(&self, line: &Line) -> f64 {
        let step = ((line.time - self.start) / self.step()).floor();
        (step + 0.5) * self.step()
    }
}

/// How the points of a plot are drawn.
#[derive(Clone, Copy)]
enum Plot {
    Dots,
    Line,
}

/// Number of requests that a sampled line represents.
fn weight(line: &Line) -> f64 {
    to_f64(line.number("stands_for").max(1))
}

/// Converts a count; values beyond 32 bits are capped.
fn to_f64(n: u64) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}

/// An HTML table with the number of requests of each route by outcome.
fn outcome_table(requests: &[&Line]) -> String {
    let mut outcomes: BTreeMap<&str, f64> = BTreeMap::new();
    let mut rows: BTreeMap<&str, BTreeMap<&str, f64>> = BTreeMap::new();
    for line in requests {
        let outcome = line.text("outcome");
        *outcomes.entry(outcome).or_default() += weight(line);
        let row = rows.entry(line.text("route")).or_default();
        *row.entry(outcome).or_default() += weight(line);
    }
    let mut out = String::from("<table><tr><th>route");
    for outcome in outcomes.keys() {
        let _ = write!(out, "<th>{}", escape(outcome));
    }
    for (route, row) in &rows {
        let _ = write!(out, "\n<tr><td>{}", escape(route));
        for outcome in outcomes.keys() {
            let _ = write!(out, "<td>{:.0}", row.get(outcome).unwrap_or(&0.0));
        }
    }
    out.push_str("</table>\n");
    out
}

/// Duration of each logged request in milliseconds, by route.
fn latency(span: &TimeRange, requests: &[&Line]) -> Series {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for line in requests {
        *counts.entry(line.text("route")).or_default() += 1;
    }
    let mut common: Vec<(usize, &str)> = counts.into_iter().map(|(r, n)| (n, r)).collect();
    common.sort_unstable_by(|a, b| b.cmp(a));
    common.truncate(MAX_NAMED_ROUTES);
    let mut out = Series::new();
    for line in requests {
        let route = line.text("route");
        let named = common.iter().any(|(_, r)| *r == route);
        let name = if named { route } else { "others" };
        let point = (line.time - span.start, to_f64(line.number("took_ms")));
        out.entry(name.into()).or_default().push(point);
    }
    out
}

/// Weighted mean of a value for each curve and time step, kept as the sums of the weighted values
/// and of the weights.
#[derive(Default)]
struct WeightedMeans(BTreeMap<String, BTreeMap<u64, (f64, f64)>>);

impl WeightedMeans {
    fn add(&mut self, name: &str, at: f64, value: f64, weight: f64) {
        let steps = self.0.entry(name.into()).or_default();
        // The bits of floating-point numbers that are not negative are ordered like the numbers.
        let sums = steps.entry(at.to_bits()).or_default();
        sums.0 += value * weight;
        sums.1 += weight;
    }

    fn series(self) -> Series {
        let means = |steps: BTreeMap<u64, (f64, f64)>| {
            let points = steps.into_iter();
            points
                .map(|(at, (sum, n))| (f64::from_bits(at), sum / n))
                .collect()
        };
        self.0.into_iter().map(|(n, s)| (n, means(s))).collect()
    }
}

/// Mean fraction of the parts that were answered, for requests to several services.
fn coverage(span: &TimeRange, requests: &[&Line]) -> Series {
    let mut means = WeightedMeans::default();
    for line in requests.iter().filter(|l| l.number("of") > 1) {
        let share = to_f64(line.number("parts")) / to_f64(line.number("of"));
        means.add(
            "scatter-gather requests",
            span.step_middle(line),
            share,
            weight(line),
        );
    }
    means.series()
}

/// Mean number of retries and hedges of a request.
fn extra_calls(span: &TimeRange, requests: &[&Line]) -> Series {
    let mut means = WeightedMeans::default();
    for line in requests {
        let extra = to_f64(line.number("extra"));
        means.add("all routes", span.step_middle(line), extra, weight(line));
    }
    means.series()
}

/// Lines per second, by the name that `name` gives them; lines without a name are not counted.
fn rates<'a>(
    span: &TimeRange,
    lines: &'a [Line],
    name: impl Fn(&'a Line) -> Option<&'a str>,
) -> Series {
    let mut sums: BTreeMap<String, BTreeMap<u64, f64>> = BTreeMap::new();
    for line in lines {
        if let Some(name) = name(line) {
            let steps = sums.entry(name.into()).or_default();
            *steps.entry(span.step_middle(line).to_bits()).or_default() += 1.0 / span.step();
        }
    }
    let points = |steps: BTreeMap<u64, f64>| {
        let list = steps.into_iter();
        list.map(|(at, n)| (f64::from_bits(at), n)).collect()
    };
    sums.into_iter().map(|(n, s)| (n, points(s))).collect()
}

/// Rates of refused, unanswered, failed and partially answered requests, by outcome.
fn incomplete(span: &TimeRange, lines: &[Line]) -> Series {
    rates(span, lines, |line| {
        if line.is_refusal() {
            return Some("refused before routing");
        }
        if line.is_unanswered() {
            return Some("ended without an answer");
        }
        let outcome = line.text("outcome");
        (line.is_request() && outcome != "whole").then_some(outcome)
    })
}

/// Rates of state changes, by message.
fn change_rates(span: &TimeRange, lines: &[Line]) -> Series {
    rates(span, lines, |line| {
        line.is_state_change().then(|| line.text("message"))
    })
}

/// An inline SVG plot, or a paragraph that says why there is none.
fn plot(span: &TimeRange, kind: Plot, series: &Series) -> String {
    let mut out = String::new();
    if series.is_empty() {
        return "<p>no data in these logs</p>".into();
    }
    let area = SVGBackend::with_string(&mut out, PLOT_SIZE_PX).into_drawing_area();
    if let Err(error) = draw(&area, span, kind, series) {
        return format!(
            "<p>cannot draw the plot: {}</p>",
            escape(&error.to_string())
        );
    }
    drop(area);
    out
}

fn draw(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    span: &TimeRange,
    kind: Plot,
    series: &Series,
) -> eyre::Result<()> {
    area.fill(&WHITE)?;
    let values = series.values().flatten().map(|(_, y)| *y);
    let top = values.fold(0.0, f64::max) * 1.05 + f64::EPSILON;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..span.length, 0.0..top)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (i, (name, points)) in series.iter().enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        let drawing = match kind {
            Plot::Dots => {
                chart.draw_series(points.iter().map(|p| Circle::new(*p, 2, colour.filled())))?
            }
            Plot::Line => chart.draw_series(LineSeries::new(points.iter().copied(), colour))?,
        };
        drawing
            .label(name)
            .legend(move |(x, y)| Circle::new((x, y), 4, colour.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.2))
        .draw()?;
    area.present()?;
    Ok(())
}

/// The first state changes of all daemons, in order of time.
fn change_list(lines: &[Line]) -> String {
    let mut out = String::from("<h2>State changes of the daemons</h2>\n<pre>\n");
    let all: Vec<&Line> = lines.iter().filter(|l| l.is_state_change()).collect();
    for line in all.iter().take(MAX_LISTED_CHANGES) {
        let mut text = format!(
            "{} {} {}",
            line.timestamp,
            line.source,
            line.text("message")
        );
        for (key, value) in line.fields.iter().filter(|(k, _)| *k != "message") {
            let _ = write!(text, " {key}={value}");
        }
        out.push_str(&escape(&text));
        out.push('\n');
    }
    if all.len() > MAX_LISTED_CHANGES {
        let _ = writeln!(out, "and {} more", all.len() - MAX_LISTED_CHANGES);
    }
    out.push_str("</pre>\n");
    out
}

/// Escapes text for use between HTML tags.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
