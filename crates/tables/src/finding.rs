//! Findings of a check, each with its place and remedy.

use std::fmt;

/// How much a finding matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The input is usable; the finding is reported and the value is ignored.
    Warning,
    /// The input is refused as a whole.
    Error,
}

/// One thing wrong with an input file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Name of the file as the caller gave it.
    pub file: String,
    /// Line in the file, counted from 1.
    pub line: usize,
    /// Section heading without brackets; empty before the first section.
    pub section: String,
    /// What is wrong.
    pub problem: String,
    /// What the operator can do about it.
    pub remedy: String,
    /// Whether the input is refused.
    pub severity: Severity,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let level = match self.severity {
            Severity::Warning => "warning",
            Severity::Error => "error",
        };
        write!(
            f,
            "{}:{}: {level}: [{}] {}; {}",
            self.file, self.line, self.section, self.problem, self.remedy
        )
    }
}

/// All findings of one check, reported together.
///
/// ```
/// use rattanturn_tables::Findings;
/// let all = Findings::default();
/// assert!(!all.has_errors());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// The findings in the order of the check.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Tells whether at least one finding is an error.
    ///
    /// ```
    /// assert!(!rattanturn_tables::Findings::default().has_errors());
    /// ```
    #[must_use]
    pub fn has_errors(&self) -> bool {
        self.list.iter().any(|f| f.severity == Severity::Error)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.list.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Findings {}
