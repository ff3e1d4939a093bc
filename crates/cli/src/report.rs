//! Turns log files into one HTML page with plots, for people who would rather look than read.
//!
//! A log holds every request that went wrong and one in many of the others; each line says how
//! many requests it stands for, so that shares can be told from it.

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

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (960, 260);
/// Points of time on a plot; more would not be told apart at its width.
const STEPS: f64 = 120.0;
/// Routes that get a colour of their own; the rest is drawn as one.
const ROUTES: usize = 8;
/// Lines of what daemons came to believe that the page lists.
const BELIEFS: usize = 200;

/// Values by name; each a point in time, in seconds from the start, and a number.
type Series = BTreeMap<String, Vec<(f64, f64)>>;

/// The page for some logs; `None` if they hold no line of a daemon.
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
    let span = Span {
        first,
        length: (last - first).max(1.0),
    };
    let mut out = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>rattanturn report</title>\
         <style>body{font:15px sans-serif;margin:2em;max-width:980px}\
         table{border-collapse:collapse}td,th{padding:2px 10px;text-align:right}\
         td:first-child,th:first-child{text-align:left}</style>\n<h1>Requests by log lines</h1>\n",
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
    out.push_str(&table(&requests));
    let plots: [(&str, &str, Kind, Series); 5] = [
        (
            "Latency by route",
            "ms",
            Kind::Dots,
            latency(&span, &requests),
        ),
        (
            "Parts answered",
            "share",
            Kind::Line,
            coverage(&span, &requests),
        ),
        (
            "Calls beyond the first",
            "per request",
            Kind::Line,
            repeats(&span, &requests),
        ),
        (
            "Requests without a full answer",
            "a second",
            Kind::Line,
            endings(&span, &lines),
        ),
        (
            "Changes that daemons took in",
            "a second",
            Kind::Line,
            changes(&span, &lines),
        ),
    ];
    for (title, unit, kind, series) in plots {
        let _ = writeln!(
            out,
            "<h2>{title} ({unit})</h2>\n{}",
            plot(&span, kind, &series)
        );
    }
    out.push_str(&beliefs(&lines));
    Some(out)
}

/// The time that a report covers.
struct Span {
    first: f64,
    /// In seconds.
    length: f64,
}

impl Span {
    fn step(&self) -> f64 {
        self.length / STEPS
    }

    /// Middle of the step that a line falls into.
    fn at(&self, line: &Line) -> f64 {
        let step = ((line.time - self.first) / self.step()).floor();
        (step + 0.5) * self.step()
    }
}

#[derive(Clone, Copy)]
enum Kind {
    Dots,
    Line,
}

/// Requests that a line stands for.
fn weight(line: &Line) -> f64 {
    number(line.number("stands_for").max(1))
}

fn number(n: u64) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}

/// Routes and how their requests ended.
fn table(requests: &[&Line]) -> String {
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

fn latency(span: &Span, requests: &[&Line]) -> Series {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for line in requests {
        *counts.entry(line.text("route")).or_default() += 1;
    }
    let mut common: Vec<(usize, &str)> = counts.into_iter().map(|(r, n)| (n, r)).collect();
    common.sort_unstable_by(|a, b| b.cmp(a));
    common.truncate(ROUTES);
    let mut out = Series::new();
    for line in requests {
        let route = line.text("route");
        let named = common.iter().any(|(_, r)| *r == route);
        let name = if named { route } else { "others" };
        let point = (line.time - span.first, number(line.number("took_ms")));
        out.entry(name.into()).or_default().push(point);
    }
    out
}

/// Means over the steps of time: sums of a value and of its weight.
#[derive(Default)]
struct Means(BTreeMap<String, BTreeMap<u64, (f64, f64)>>);

impl Means {
    fn add(&mut self, name: &str, at: f64, value: f64, weight: f64) {
        let steps = self.0.entry(name.into()).or_default();
        // Times are not negative, so their bits are in the order of their values.
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

fn coverage(span: &Span, requests: &[&Line]) -> Series {
    let mut means = Means::default();
    for line in requests.iter().filter(|l| l.number("of") > 1) {
        let share = number(line.number("parts")) / number(line.number("of"));
        means.add("gathered answers", span.at(line), share, weight(line));
    }
    means.series()
}

fn repeats(span: &Span, requests: &[&Line]) -> Series {
    let mut means = Means::default();
    for line in requests {
        let extra = number(line.number("extra"));
        means.add("all routes", span.at(line), extra, weight(line));
    }
    means.series()
}

/// Sums a second of what `name` gives a name.
fn rates<'a>(span: &Span, lines: &'a [Line], name: impl Fn(&'a Line) -> Option<&'a str>) -> Series {
    let mut sums: BTreeMap<String, BTreeMap<u64, f64>> = BTreeMap::new();
    for line in lines {
        if let Some(name) = name(line) {
            let steps = sums.entry(name.into()).or_default();
            *steps.entry(span.at(line).to_bits()).or_default() += 1.0 / span.step();
        }
    }
    let points = |steps: BTreeMap<u64, f64>| {
        let list = steps.into_iter();
        list.map(|(at, n)| (f64::from_bits(at), n)).collect()
    };
    sums.into_iter().map(|(n, s)| (n, points(s))).collect()
}

fn endings(span: &Span, lines: &[Line]) -> Series {
    rates(span, lines, |line| {
        if line.is_refusal() {
            return Some("refused without a route");
        }
        let outcome = line.text("outcome");
        (line.is_request() && outcome != "whole").then_some(outcome)
    })
}

fn changes(span: &Span, lines: &[Line]) -> Series {
    rates(span, lines, |line| {
        belief(line).then(|| line.text("message"))
    })
}

/// Whether a line tells what a daemon came to believe.
fn belief(line: &Line) -> bool {
    !line.is_request() && !line.is_refusal()
}

fn plot(span: &Span, kind: Kind, series: &Series) -> String {
    let mut out = String::new();
    if series.is_empty() {
        return "<p>nothing in these logs</p>".into();
    }
    let area = SVGBackend::with_string(&mut out, SIZE).into_drawing_area();
    if let Err(error) = draw(&area, span, kind, series) {
        return format!("<p>cannot be drawn: {}</p>", escape(&error.to_string()));
    }
    drop(area);
    out
}

fn draw(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    span: &Span,
    kind: Kind,
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
        let drawn = match kind {
            Kind::Dots => {
                chart.draw_series(points.iter().map(|p| Circle::new(*p, 2, colour.filled())))?
            }
            Kind::Line => chart.draw_series(LineSeries::new(points.iter().copied(), colour))?,
        };
        drawn
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

/// The first lines that tell what daemons came to believe.
fn beliefs(lines: &[Line]) -> String {
    let mut out = String::from("<h2>What daemons came to believe</h2>\n<pre>\n");
    let all: Vec<&Line> = lines.iter().filter(|l| belief(l)).collect();
    for line in all.iter().take(BELIEFS) {
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
    if all.len() > BELIEFS {
        let _ = writeln!(out, "and {} lines more", all.len() - BELIEFS);
    }
    out.push_str("</pre>\n");
    out
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
