//! Problems found while a file is read.

use std::fmt;
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::Serialize;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The file cannot be used.
    #[display("error")]
    Error,
    /// The file can be used but is probably not what its author intended.
    #[display("warning")]
    Warning,
}

/// One problem in a file.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{file}:{line}: {severity}: {key}: {problem}; {remedy}")]
pub struct Finding {
    /// Name of the file.
    pub file: Arc<str>,
    /// Line number of the key or value, starting at 1.
    pub line: usize,
    /// Full path of the key, for example `services[0].slots`.
    pub key: String,
    /// Description of the problem. Never contains a secret.
    pub problem: String,
    /// Action that corrects the problem.
    pub remedy: String,
    /// Severity, which determines whether the file can be used.
    pub severity: Severity,
}

/// All findings of one or more files, grouped by file and ordered by line.
#[derive(Clone, Debug, Default, Error, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Inserts a finding after those of the same or an earlier line.
    pub fn push(&mut self, finding: Finding) {
        let at = self.list.partition_point(|other| other.line <= finding.line);
        self.list.insert(at, finding);
    }

    /// Appends the findings of another file.
    pub fn extend(&mut self, other: Self) {
        self.list.extend(other.list);
    }

    /// Returns an iterator over the findings in order.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.list.iter()
    }

    /// Returns true if there are no findings.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns true if there is a finding of severity error, so that the file cannot be used.
    pub fn has_errors(&self) -> bool {
        self.error_count() > 0
    }

    /// Returns the number of findings of severity error.
    pub fn error_count(&self) -> usize {
        self.list.iter().filter(|finding| finding.severity == Severity::Error).count()
    }

    /// Returns the number of findings of severity warning.
    pub fn warning_count(&self) -> usize {
        self.list.len() - self.error_count()
    }
}

impl<'a> IntoIterator for &'a Findings {
    type Item = &'a Finding;
    type IntoIter = std::slice::Iter<'a, Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.list {
            writeln!(f, "{finding}")?;
        }
        write!(f, "{} error(s), {} warning(s)", self.error_count(), self.warning_count())
    }
}
