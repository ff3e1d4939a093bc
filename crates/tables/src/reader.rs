//! Typed access to an INI file that collects findings with line numbers.
//!
//! A value that is missing or invalid becomes a finding and reads as a default, so that a check can
//! go on and report everything that is wrong with a file. The INI library does not report the lines
//! of sections and keys, so a second pass over the text records them.

use {
    crate::finding::{Finding, Findings, Severity},
    ini::{Ini, ParseOption, Properties},
    std::{cell::RefCell, collections::BTreeSet, str::FromStr, time::Duration},
};

/// A parsed file and the findings about it so far.
pub(crate) struct Reader<'a> {
    file: &'a str,
    ini: Ini,
    headings: Vec<Heading>,
    findings: RefCell<Findings>,
}

/// A section heading and the keys below it.
struct Heading {
    /// Text between the brackets.
    name: String,
    line: usize,
    /// Keys with their line numbers, in the order of the text.
    keys: Vec<(String, usize)>,
}

/// A section of the file.
pub(crate) struct Section<'a> {
    reader: &'a Reader<'a>,
    name: &'a str,
    line: usize,
    props: &'a Properties,
    keys: &'a [(String, usize)],
    /// Keys that were read; the others are unknown.
    used: RefCell<BTreeSet<String>>,
}

impl<'a> Reader<'a> {
    /// Parses `text`; `file` is the name that findings give.
    ///
    /// Lines that are not INI syntax become findings, and the rest of the text is still parsed.
    ///
    /// # Errors
    ///
    /// The findings, if the text cannot be parsed even without those lines.
    pub(crate) fn open(file: &'a str, text: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let ini = match parse(text) {
            Ok(ini) => ini,
            Err(_) => parse(&blank_invalid_lines(file, text, &mut findings)).map_err(|e| {
                findings.list.push(not_ini(file, e.line, &e.msg));
                findings.clone()
            })?,
        };
        Ok(Self {
            file,
            ini,
            headings: headings(text),
            findings: RefCell::new(findings),
        })
    }

    /// Returns the sections whose heading is `kind`, or `kind` followed by a name.
    ///
    /// If a heading is used more than once, only its first section is returned and the others
    /// become findings.
    pub(crate) fn sections(&'a self, kind: &str) -> Vec<Section<'a>> {
        let mut seen = BTreeSet::new();
        let mut out = Vec::new();
        for heading in self
            .headings
            .iter()
            .filter(|h| split_heading(&h.name).0 == kind)
        {
            if !seen.insert(heading.name.as_str()) {
                self.error(
                    heading.line,
                    &heading.name,
                    "duplicate section",
                    "keep only one of them",
                );
                continue;
            }
            let Some(props) = self.ini.section(Some(heading.name.as_str())) else {
                continue;
            };
            out.push(Section {
                reader: self,
                name: split_heading(&heading.name).1,
                line: heading.line,
                props,
                keys: &heading.keys,
                used: RefCell::default(),
            });
        }
        out
    }

    /// Adds a warning for each section whose kind is not in `known`.
    pub(crate) fn unknown_sections(&self, known: &[&str]) {
        for heading in self
            .headings
            .iter()
            .filter(|h| !known.contains(&split_heading(&h.name).0))
        {
            let remedy = format!("use one of: {}", known.join(", "));
            self.warn(heading.line, &heading.name, "unknown section kind", &remedy);
        }
    }

    /// Adds an error.
    pub(crate) fn error(&self, line: usize, section: &str, problem: &str, remedy: &str) {
        self.add(Severity::Error, line, section, problem, remedy);
    }

    fn warn(&self, line: usize, section: &str, problem: &str, remedy: &str) {
        self.add(Severity::Warning, line, section, problem, remedy);
    }

    fn add(&self, severity: Severity, line: usize, section: &str, problem: &str, remedy: &str) {
        self.findings.borrow_mut().list.push(Finding {
            file: self.file.into(),
            line,
            section: section.into(),
            problem: problem.into(),
            remedy: remedy.into(),
            severity,
        });
    }

    pub(crate) fn into_findings(self) -> Findings {
        self.findings.into_inner()
    }
}

impl<'a> Section<'a> {
    /// Returns the part of the heading after the kind; empty if there is none.
    pub(crate) fn name(&self) -> &'a str {
        self.name
    }

    /// Returns the line of the heading.
    pub(crate) fn line(&self) -> usize {
        self.line
    }

    /// Adds an error at the line of `key`, or at the heading if the section lacks the key.
    pub(crate) fn problem(&self, key: &str, problem: &str, remedy: &str) {
        self.reader
            .error(self.line_of(key), &self.heading(), problem, remedy);
    }

    /// Returns the raw value of a key, or `None` if it is not set. A duplicate key is an error.
    pub(crate) fn text(&self, key: &str) -> Option<&'a str> {
        self.used.borrow_mut().insert(key.into());
        let mut all = self.props.get_all(key);
        let first = all.next();
        if all.next().is_some() {
            self.problem(
                key,
                &format!("duplicate key `{key}`"),
                "keep only one of them",
            );
        }
        first
    }

    /// Returns the raw value of a required key; an error and an empty text if it is not set.
    pub(crate) fn required(&self, key: &str) -> &'a str {
        self.text(key).unwrap_or_else(|| {
            self.problem(
                key,
                &format!("`{key}` is missing"),
                &format!("add a line `{key} = ...`"),
            );
            ""
        })
    }

    /// Returns a value parsed with [`FromStr`]; `expected` describes a valid one in the remedy.
    pub(crate) fn parse<T: FromStr>(&self, key: &str, default: T, expected: &str) -> T {
        let Some(text) = self.text(key) else {
            return default;
        };
        text.parse().unwrap_or_else(|_| {
            self.problem(
                key,
                &format!("`{key} = {text}` is invalid"),
                &format!("write {expected}"),
            );
            default
        })
    }

    /// Returns a whole number; 0 is an error.
    pub(crate) fn count(&self, key: &str, default: u32) -> u32 {
        let n = self.parse(key, default, "a whole number");
        if n == 0 {
            self.problem(key, &format!("`{key}` is zero"), "write at least 1");
        }
        n
    }

    /// Returns a duration, which is written with its unit: `250us`, `40ms`, `2s`, `5min`.
    pub(crate) fn duration(&self, key: &str, default: Duration) -> Duration {
        let Some(text) = self.text(key) else {
            return default;
        };
        match duration(text) {
            Ok(d) => d,
            Err(problem) => {
                self.problem(
                    key,
                    &format!("`{key} = {text}`: {problem}"),
                    "write a number followed by us, ms, s or min",
                );
                default
            }
        }
    }

    /// Returns the value of one of the keywords in `words`.
    pub(crate) fn choice<T: Copy>(&self, key: &str, words: &[(&str, T)], default: T) -> T {
        let Some(text) = self.text(key) else {
            return default;
        };
        if let Some((_, v)) = words.iter().find(|(w, _)| *w == text) {
            return *v;
        }
        let list: Vec<&str> = words.iter().map(|(w, _)| *w).collect();
        let remedy = format!("use one of: {}", list.join(", "));
        self.problem(key, &format!("`{key} = {text}` is unknown"), &remedy);
        default
    }

    /// Adds a warning for each key that was not read. Call this after all keys have been read.
    pub(crate) fn unknown_keys(&self) {
        for (key, line) in self.keys {
            if !self.used.borrow().contains(key) {
                let problem = format!("unknown key `{key}` in this section");
                self.reader.warn(
                    *line,
                    &self.heading(),
                    &problem,
                    "remove it or correct its spelling",
                );
            }
        }
    }

    /// Returns the full heading without brackets.
    fn heading(&self) -> String {
        let heading = self.reader.headings.iter().find(|h| h.line == self.line);
        heading.map_or_else(String::new, |h| h.name.clone())
    }

    /// Returns the line of a key, the last one if it is duplicate, or else the heading's line.
    fn line_of(&self, key: &str) -> usize {
        let last = self.keys.iter().rev().find(|(k, _)| k == key);
        last.map_or(self.line, |(_, line)| *line)
    }
}

/// Parses without escape sequences, so that a backslash stands for itself.
fn parse(text: &str) -> Result<Ini, ini::ParseError> {
    let option = ParseOption {
        enabled_escape: false,
        ..ParseOption::default()
    };
    Ini::load_from_str_opt(text, option)
}

/// Replaces each line that is no heading, key or comment by an empty one, which keeps line numbers.
fn blank_invalid_lines(file: &str, text: &str, findings: &mut Findings) -> String {
    let mut out = String::with_capacity(text.len());
    for (i, raw) in text.lines().enumerate() {
        let line = raw.trim();
        let valid = if line.starts_with('[') {
            line.contains(']')
        } else {
            line.is_empty() || line.starts_with([';', '#']) || line.contains(['=', ':'])
        };
        if valid {
            out.push_str(raw);
        } else {
            findings.list.push(not_ini(file, i + 1, line));
        }
        out.push('\n');
    }
    out
}

fn not_ini(file: &str, line: usize, why: &str) -> Finding {
    Finding {
        file: file.into(),
        line,
        section: String::new(),
        problem: format!("not INI syntax: {why}"),
        remedy: "write only [section] headings, key = value lines and comments".into(),
        severity: Severity::Error,
    }
}

/// Parses a duration, a whole or decimal number with its unit. The error is a problem for a finding.
fn duration(text: &str) -> Result<Duration, &'static str> {
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    let (whole, fraction) = number.split_once('.').unwrap_or((number, "0"));
    let whole: u64 = whole.parse().map_err(|_| "not a number")?;
    let fraction: f64 = format!("0.{fraction}")
        .parse()
        .map_err(|_| "not a number")?;
    let unit = match unit.trim() {
        "us" => Duration::from_micros(1),
        "ms" => Duration::from_millis(1),
        "s" => Duration::from_secs(1),
        "min" => Duration::from_mins(1),
        "" => return Err("the unit is missing"),
        _ => return Err("unknown unit"),
    };
    let micros = u128::from(whole) * unit.as_micros();
    let micros = u64::try_from(micros).map_err(|_| "too large")?;
    Ok(Duration::from_micros(micros) + unit.mul_f64(fraction))
}

/// Splits a heading into its kind and its name, which may be empty.
fn split_heading(heading: &str) -> (&str, &str) {
    heading
        .split_once(' ')
        .map_or((heading, ""), |(kind, name)| (kind, name.trim()))
}

/// Finds the lines of all section headings and keys.
fn headings(text: &str) -> Vec<Heading> {
    let mut out: Vec<Heading> = Vec::new();
    for (i, raw) in text.lines().enumerate() {
        let line = raw.trim();
        if line.starts_with(';') || line.starts_with('#') {
            continue;
        }
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.split(']').next()) {
            out.push(Heading {
                name: name.trim().into(),
                line: i + 1,
                keys: Vec::new(),
            });
        } else if let (Some((key, _)), Some(heading)) = (line.split_once('='), out.last_mut()) {
            heading.keys.push((key.trim().into(), i + 1));
        }
    }
    out
}
