//! Loggers and rate limits for log lines.

use std::io;
use std::time::{Duration, Instant};

use cactustrack_config::{LogFormat, LogLevel};
use slog::{Drain, Logger, o};

/// Maximum number of lines that wait to be written. Further lines are dropped, and slog-async
/// reports how many.
const MAX_QUEUED_LINES: usize = 4096;

/// Output stream of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogTarget {
    /// Standard error.
    Stderr,
    /// Standard output.
    Stdout,
}

impl LogTarget {
    fn writer(self) -> Box<dyn io::Write + Send> {
        match self {
            Self::Stderr => Box::new(io::stderr()),
            Self::Stdout => Box::new(io::stdout()),
        }
    }
}

/// Creates the logger of a process. It writes from a thread of its own, so that a slow reader of
/// the log does not block the event loop.
pub fn new_logger(format: LogFormat, level: LogLevel, instance: &str, target: LogTarget) -> Logger {
    let level = slog_level(level);
    let context = o!("instance" => instance.to_owned());
    match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(target.writer());
            let drain = slog_term::FullFormat::new(decorator).use_utc_timestamp().build().fuse();
            Logger::root(non_blocking(drain, level), context)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(target.writer()).fuse();
            Logger::root(non_blocking(drain, level), context)
        }
    }
}

fn non_blocking<D>(
    drain: D,
    level: slog::Level,
) -> slog::Fuse<slog::LevelFilter<slog::Fuse<slog_async::Async>>>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let queue = slog_async::Async::new(drain).chan_size(MAX_QUEUED_LINES).build().fuse();
    slog::LevelFilter::new(queue, level).fuse()
}

fn slog_level(level: LogLevel) -> slog::Level {
    match level {
        LogLevel::Error => slog::Level::Error,
        LogLevel::Warning => slog::Level::Warning,
        LogLevel::Info => slog::Level::Info,
        LogLevel::Debug => slog::Level::Debug,
        LogLevel::Trace => slog::Level::Trace,
    }
}

/// Limit on the rate of one kind of log line.
#[derive(Debug)]
pub struct RateLimit {
    interval: Duration,
    last: Option<Instant>,
    suppressed: u64,
}

impl RateLimit {
    /// Allows one line per `interval`.
    pub fn new(interval: Duration) -> Self {
        Self { interval, last: None, suppressed: 0 }
    }

    /// Returns the number of lines suppressed since the last one if a line may be written now.
    pub fn allow(&mut self, now: Instant) -> Option<u64> {
        let due = self.last.is_none_or(|last| now.duration_since(last) >= self.interval);
        if !due {
            self.suppressed += 1;
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}
