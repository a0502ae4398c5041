//! Problems found in a file.

use std::fmt;
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::Serialize;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The file cannot be used.
    #[display("error")]
    Error,
    /// The file can be used, but probably does not do what was intended.
    #[display("warning")]
    Warning,
}

/// One problem in a file.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{file}:{line}: {severity}: {key}: {problem}; {remedy}")]
pub struct Finding {
    /// File that was read.
    pub file: Arc<str>,
    /// Line of the key or value, counted from 1.
    pub line: usize,
    /// Full key, for example `services[0].slots`.
    pub key: String,
    /// What is wrong. Never contains a secret.
    pub problem: String,
    /// What would be right.
    pub remedy: String,
    /// Whether the file can be used.
    pub severity: Severity,
}

/// All problems of one or more files, by file ordered by line.
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

    /// Adds a finding behind those of the same or an earlier line.
    pub fn push(&mut self, finding: Finding) {
        let at = self.list.partition_point(|other| other.line <= finding.line);
        self.list.insert(at, finding);
    }

    /// Adds the findings of another file behind those of this one.
    pub fn extend(&mut self, other: Self) {
        self.list.extend(other.list);
    }

    /// Returns the findings in order.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.list.iter()
    }

    /// Returns true if nothing was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns true if the file cannot be used.
    pub fn has_errors(&self) -> bool {
        self.errors() > 0
    }

    /// Number of findings that make the file unusable.
    pub fn errors(&self) -> usize {
        self.list.iter().filter(|finding| finding.severity == Severity::Error).count()
    }

    /// Number of findings that leave the file usable.
    pub fn warnings(&self) -> usize {
        self.list.len() - self.errors()
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
        write!(f, "{} error(s), {} warning(s)", self.errors(), self.warnings())
    }
}
