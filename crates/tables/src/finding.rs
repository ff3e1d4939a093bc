//! Findings: problems found in an input file, each with its position and a remedy.
//!
//! A check collects all findings before it gives up, so that an operator can fix them in one pass.

use std::fmt;

/// Effect of a finding on the input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The input is accepted; the part that the finding is about is ignored.
    Warning,
    /// The whole input is rejected.
    Error,
}

/// A problem in an input file.
///
/// It is displayed as `FILE:LINE: SEVERITY: [SECTION] PROBLEM; REMEDY`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// File name, as given by the caller of the check.
    pub file: String,
    /// Line number in the file, starting at 1.
    pub line: usize,
    /// Section heading without brackets; empty if the finding belongs to no section.
    pub section: String,
    /// Description of the problem, without a final period.
    pub problem: String,
    /// What the operator can do to fix it, in the imperative.
    pub remedy: String,
    /// Whether the finding rejects the input or is only reported.
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

/// All findings of one check; displayed one a line.
///
/// ```
/// use rattanturn_tables::Findings;
/// let all = Findings::default();
/// assert!(!all.has_errors());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// The findings in the order in which they were made.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Returns whether at least one finding is an error, so that the input must be rejected.
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
