//! What the command line does with published configurations: typed results that print themselves.

use std::fmt::{self, Display, Formatter, Write};

use cactustrack_types::Version;
use chrono::{DateTime, SecondsFormat, Utc};

use crate::{
    ConfigurationRepository, Determination, Head, HistoryEntry, Publication, PublishOutcome,
    RepositoryError, UnknownPublication,
};

/// Result of `accept`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptReport {
    /// The change that was to be accepted.
    pub change: SubmittedChange,
    /// How it ended.
    pub outcome: PublishOutcome,
}

/// A change as submitted, without the configuration itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmittedChange {
    /// Version that the author saw in force.
    pub base_version: Version,
    /// Checksum of the encoded configuration.
    pub checksum: String,
    /// Who submitted the change.
    pub author: String,
    /// Why.
    pub reason: String,
}

/// Result of `history`, newest change first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HistoryReport {
    /// Accepted changes.
    pub entries: Vec<HistoryEntry>,
}

/// Result of `accept` with the identity of an earlier publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DetermineReport {
    /// The earlier publication.
    pub publication: UnknownPublication,
    /// How it ended.
    pub determination: Determination,
}

/// Publishes a configuration.
///
/// # Errors
///
/// Fails if the configuration certainly did not come into force for another reason than a
/// conflict.
pub async fn accept(
    repository: &ConfigurationRepository,
    publication: &Publication,
) -> Result<AcceptReport, RepositoryError> {
    let outcome = repository.publish(publication).await?;
    let change = SubmittedChange {
        base_version: publication.base_version,
        checksum: publication.checksum.clone(),
        author: publication.author.clone(),
        reason: publication.reason.clone(),
    };
    Ok(AcceptReport { change, outcome })
}

/// Finds out how an earlier `accept` without an answer ended.
///
/// # Errors
///
/// Fails if the store cannot be used. The outcome stays unknown then.
pub async fn determine(
    repository: &ConfigurationRepository,
    publication: &UnknownPublication,
) -> Result<DetermineReport, RepositoryError> {
    let determination = repository.determine(publication).await?;
    Ok(DetermineReport { publication: publication.clone(), determination })
}

/// Lists the latest accepted changes.
///
/// # Errors
///
/// Fails if the store cannot be read or an entry cannot be used.
pub async fn history(
    repository: &ConfigurationRepository,
    limit: u64,
) -> Result<HistoryReport, RepositoryError> {
    Ok(HistoryReport { entries: repository.history(limit).await? })
}

impl AcceptReport {
    /// Returns true if the configuration is in force.
    pub fn is_accepted(&self) -> bool {
        matches!(self.outcome, PublishOutcome::Published { .. })
    }

    fn fmt_conflict(
        &self,
        f: &mut Formatter<'_>,
        current: Option<&Head>,
        change: Option<&HistoryEntry>,
    ) -> fmt::Result {
        let seen = self.change.base_version;
        match current {
            Some(head) => writeln!(
                f,
                "not accepted: version {} is in force, but the change is based on version {seen}",
                head.version
            )?,
            None => writeln!(
                f,
                "not accepted: no version is in force, but the change is based on version {seen}"
            )?,
        }
        if let Some(entry) = change {
            writeln!(f, "in force:  {entry}")?;
        }
        write!(f, "submitted: {}", self.change)
    }
}

impl Display for AcceptReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match &self.outcome {
            PublishOutcome::Published { version } => {
                write!(f, "accepted: version {version} is in force")
            }
            PublishOutcome::Conflict { current, change } => {
                self.fmt_conflict(f, current.as_deref(), change.as_deref())
            }
            PublishOutcome::Unknown(unknown) => write!(
                f,
                "unknown: the store gave no answer; version {} may be in force now or later\n\
                 to determine the outcome: cactustrack accept --store URL --determine {unknown}",
                unknown.version
            ),
        }
    }
}

impl Display for SubmittedChange {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { base_version, checksum, .. } = self;
        let (author, reason) = (Escaped(&self.author), Escaped(&self.reason));
        write!(f, "based on version {base_version} by {author}: {reason} (checksum {checksum})")
    }
}

impl Display for HistoryEntry {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { version, previous_version, checksum, .. } = self;
        let (author, reason) = (Escaped(&self.author), Escaped(&self.reason));
        write!(
            f,
            "version {version} after {previous_version} by {author}: {reason} (checksum {checksum})"
        )
    }
}

impl Display for HistoryReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.entries.is_empty() {
            return f.write_str("no version was accepted yet");
        }
        for (index, entry) in self.entries.iter().enumerate() {
            let line_end = if index == 0 { "" } else { "\n" };
            write!(f, "{line_end}{} {entry}", Timestamp(entry.accepted_at_ms))?;
        }
        Ok(())
    }
}

impl Display for DetermineReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let version = self.publication.version;
        match self.determination {
            Determination::Accepted => write!(f, "accepted: version {version} came into force"),
            Determination::NotAccepted => {
                write!(f, "not accepted: the change is not version {version}; submit it again")
            }
        }
    }
}

/// Milliseconds since the Unix epoch, printed as UTC in the form of RFC 3339.
struct Timestamp(u64);

impl Display for Timestamp {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let ms = i64::try_from(self.0).ok();
        match ms.and_then(DateTime::<Utc>::from_timestamp_millis) {
            Some(time) => f.write_str(&time.to_rfc3339_opts(SecondsFormat::Secs, true)),
            None => f.write_str("unknown time"),
        }
    }
}

/// Text of an operator, printed without control characters, which could change the terminal.
struct Escaped<'a>(&'a str);

impl Display for Escaped<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.chars().try_for_each(|c| {
            if c.is_control() { write!(f, "{}", c.escape_default()) } else { f.write_char(c) }
        })
    }
}
