//! Reads typed values from one INI file and collects findings with line numbers.
//!
//! The INI library gives sections and values but not their lines, so a second pass over the
//! text records where each section and key stands.

use {
    crate::finding::{Finding, Findings, Severity},
    ini::{Ini, ParseOption, Properties},
    std::{cell::RefCell, collections::BTreeSet, str::FromStr, time::Duration},
};

/// One parsed file together with the findings made so far.
pub(crate) struct Reader<'a> {
    file: &'a str,
    ini: Ini,
    heads: Vec<Head>,
    findings: RefCell<Findings>,
}

/// Where a section stands in the text.
struct Head {
    name: String,
    line: usize,
    keys: Vec<(String, usize)>,
}

/// One section; `used` records the keys that were asked for.
pub(crate) struct Section<'a> {
    reader: &'a Reader<'a>,
    name: &'a str,
    line: usize,
    props: &'a Properties,
    keys: &'a [(String, usize)],
    used: RefCell<BTreeSet<String>>,
}

impl<'a> Reader<'a> {
    /// Parses `text`; lines that are not INI become findings, and the rest is read on.
    pub(crate) fn open(file: &'a str, text: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let ini = match parse(text) {
            Ok(ini) => ini,
            Err(_) => parse(&without_broken_lines(file, text, &mut findings)).map_err(|e| {
                findings.list.push(not_ini(file, e.line, &e.msg));
                findings.clone()
            })?,
        };
        Ok(Self {
            file,
            ini,
            heads: heads(text),
            findings: RefCell::new(findings),
        })
    }

    /// Sections whose heading starts with `kind` and a space, or equals `kind`.
    pub(crate) fn sections(&'a self, kind: &str) -> Vec<Section<'a>> {
        let mut seen = BTreeSet::new();
        let mut out = Vec::new();
        for head in self.heads.iter().filter(|h| split(&h.name).0 == kind) {
            if !seen.insert(head.name.as_str()) {
                self.push(
                    head.line,
                    &head.name,
                    "section stands twice",
                    "keep one of the two",
                );
                continue;
            }
            let Some(props) = self.ini.section(Some(head.name.as_str())) else {
                continue;
            };
            out.push(Section {
                reader: self,
                name: split(&head.name).1,
                line: head.line,
                props,
                keys: &head.keys,
                used: RefCell::default(),
            });
        }
        out
    }

    /// Reports sections of a kind that is not in `known`.
    pub(crate) fn unknown_sections(&self, known: &[&str]) {
        for head in self
            .heads
            .iter()
            .filter(|h| !known.contains(&split(&h.name).0))
        {
            let remedy = format!("use one of: {}", known.join(", "));
            self.warn(head.line, &head.name, "unknown kind of section", &remedy);
        }
    }

    pub(crate) fn push(&self, line: usize, section: &str, problem: &str, remedy: &str) {
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
    /// The heading's second word.
    pub(crate) fn name(&self) -> &'a str {
        self.name
    }

    pub(crate) fn line(&self) -> usize {
        self.line
    }

    /// Reports a problem at `key`, or at the heading when the key is missing.
    pub(crate) fn problem(&self, key: &str, problem: &str, remedy: &str) {
        self.reader
            .push(self.line_of(key), &self.heading(), problem, remedy);
    }

    /// Raw text of a key.
    pub(crate) fn text(&self, key: &str) -> Option<&'a str> {
        self.used.borrow_mut().insert(key.into());
        let mut all = self.props.get_all(key);
        let first = all.next();
        if all.next().is_some() {
            self.problem(key, &format!("`{key}` stands twice"), "keep one of the two");
        }
        first
    }

    /// Text of a key that must be there.
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

    /// A value with `FromStr`; `expected` describes it in the remedy.
    pub(crate) fn parse<T: FromStr>(&self, key: &str, default: T, expected: &str) -> T {
        let Some(text) = self.text(key) else {
            return default;
        };
        text.parse().unwrap_or_else(|_| {
            self.problem(
                key,
                &format!("`{key} = {text}` cannot be read"),
                &format!("write {expected}"),
            );
            default
        })
    }

    /// A whole number of at least 1.
    pub(crate) fn count(&self, key: &str, default: u32) -> u32 {
        let n = self.parse(key, default, "a whole number");
        if n == 0 {
            self.problem(key, &format!("`{key}` is zero"), "write at least 1");
        }
        n
    }

    /// A duration with its unit: `250us`, `40ms`, `2s`, `5min`.
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
                    "write a number with us, ms, s or min",
                );
                default
            }
        }
    }

    /// One of a fixed set of words.
    pub(crate) fn choice<T: Copy>(&self, key: &str, words: &[(&str, T)], default: T) -> T {
        let Some(text) = self.text(key) else {
            return default;
        };
        if let Some((_, v)) = words.iter().find(|(w, _)| *w == text) {
            return *v;
        }
        let list: Vec<&str> = words.iter().map(|(w, _)| *w).collect();
        let remedy = format!("use one of: {}", list.join(", "));
        self.problem(key, &format!("`{key} = {text}` is not known"), &remedy);
        default
    }

    /// Reports keys that nobody asked for.
    pub(crate) fn unknown_keys(&self) {
        for (key, line) in self.keys {
            if !self.used.borrow().contains(key) {
                let problem = format!("`{key}` is not a key of this section");
                self.reader.warn(
                    *line,
                    &self.heading(),
                    &problem,
                    "remove it or mend its spelling",
                );
            }
        }
    }

    fn heading(&self) -> String {
        let head = self.reader.heads.iter().find(|h| h.line == self.line);
        head.map_or_else(String::new, |h| h.name.clone())
    }

    fn line_of(&self, key: &str) -> usize {
        let last = self.keys.iter().rev().find(|(k, _)| k == key);
        last.map_or(self.line, |(_, line)| *line)
    }
}

fn parse(text: &str) -> Result<Ini, ini::ParseError> {
    let option = ParseOption {
        enabled_escape: false,
        ..ParseOption::default()
    };
    Ini::load_from_str_opt(text, option)
}

/// The text with an empty line in place of each that is no heading, key or comment.
fn without_broken_lines(file: &str, text: &str, findings: &mut Findings) -> String {
    let mut out = String::with_capacity(text.len());
    for (i, raw) in text.lines().enumerate() {
        let line = raw.trim();
        let whole = if line.starts_with('[') {
            line.contains(']')
        } else {
            line.is_empty() || line.starts_with([';', '#']) || line.contains(['=', ':'])
        };
        if whole {
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
        problem: format!("not INI: {why}"),
        remedy: "write [section] headings and key = value lines".into(),
        severity: Severity::Error,
    }
}

/// Reads a duration with its unit.
fn duration(text: &str) -> Result<Duration, &'static str> {
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (digits, unit) = text.split_at(end);
    let n: u64 = digits.parse().map_err(|_| "not a number")?;
    let micros = match unit.trim() {
        "us" => 1,
        "ms" => 1_000,
        "s" => 1_000_000,
        "min" => 60_000_000,
        "" => return Err("a number without its unit"),
        _ => return Err("unknown unit"),
    };
    n.checked_mul(micros)
        .map(Duration::from_micros)
        .ok_or("too large")
}

/// Splits a heading into its kind and its name.
fn split(heading: &str) -> (&str, &str) {
    heading
        .split_once(' ')
        .map_or((heading, ""), |(kind, name)| (kind, name.trim()))
}

/// Records the line of each section and key.
fn heads(text: &str) -> Vec<Head> {
    let mut out: Vec<Head> = Vec::new();
    for (i, raw) in text.lines().enumerate() {
        let line = raw.trim();
        if line.starts_with(';') || line.starts_with('#') {
            continue;
        }
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.split(']').next()) {
            out.push(Head {
                name: name.trim().into(),
                line: i + 1,
                keys: Vec::new(),
            });
        } else if let (Some((key, _)), Some(head)) = (line.split_once('='), out.last_mut()) {
            head.keys.push((key.trim().into(), i + 1));
        }
    }
    out
}
