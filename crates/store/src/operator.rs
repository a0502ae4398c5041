//! Operations of the command line on published configurations. Their results implement `Display`.

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
    /// The submitted change.
    pub change: SubmittedChange,
    /// Outcome of the publication.
    pub outcome: PublishOutcome,
}

/// A change as submitted, without the configuration itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmittedChange {
    /// Version in force that the change is based on.
    pub base_version: Version,
    /// Checksum of the encoded configuration.
    pub checksum: String,
    /// Operator who submitted the change.
    pub author: String,
    /// Reason for the change.
    pub reason: String,
}

/// Result of `history`, newest change first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HistoryReport {
    /// The accepted changes.
    pub entries: Vec<HistoryEntry>,
}

/// Result of `accept --determine`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DetermineReport {
    /// The earlier publication.
    pub publication: UnknownPublication,
    /// Outcome of the publication.
    pub determination: Determination,
}

/// Publishes a configuration.
///
/// # Errors
///
/// Fails if the configuration is known not to have come into force and the reason is not a
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

/// Determines the outcome of an earlier `accept` that ended without a response from the store.
///
/// # Errors
///
/// Fails if the store cannot be used or the history entry cannot be read. The outcome then stays
/// unknown.
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
        let base = self.change.base_version;
        match current {
            Some(head) => writeln!(
                f,
                "not accepted: version {} is in force, but the change is based on version {base}",
                head.version
            )?,
            None => writeln!(
                f,
                "not accepted: no version is in force, but the change is based on version {base}"
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
                "unknown: no response from the store; version {} may be in force now or later\n\
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

/// Milliseconds since the Unix epoch, formatted as RFC 3339 in UTC.
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

/// Text written by an operator, with control characters escaped since they could alter the state
/// of the terminal.
struct Escaped<'a>(&'a str);

impl Display for Escaped<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.chars().try_for_each(|c| {
            if c.is_control() { write!(f, "{}", c.escape_default()) } else { f.write_char(c) }
        })
    }
}
