//! `cactustrack trace`: reconstructs what happened to a request from the logs of the instances.
//!
//! An instance writes one access log entry when a request ends. The output consists of the fields
//! of this entry and of earlier log lines of the same instance about state that may have affected
//! the request.

use std::fs;
use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr};
use serde::Serialize;
use serde_json::{Map, Value};

use super::{Exit, Output, Subcommand};

/// Message of an access log entry.
const ACCESS_LOG_MESSAGE: &str = "proxy: request ended";

/// Message prefixes of log lines about the configuration, the members, the health of upstreams and
/// the store, as seen by an instance.
const STATE_PREFIXES: [&str; 4] = ["config:", "members:", "health:", "store:"];

/// Largest number of state lines shown for a request, which are the latest ones before its end.
const MAX_STATE_LINES: usize = 12;

pub(super) const SUBCOMMAND: Subcommand = Subcommand { command, run };

fn command() -> Command {
    Command::new("trace")
        .about("Show what happened to a request, from the logs of any number of instances")
        .arg(Arg::new("request").value_name("REQUEST-ID").help("Id of the request").required(true))
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .help("Log file; other text before the JSON object of a line is ignored")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
}

fn run(matches: &ArgMatches, output: &mut Output<'_>) -> Result<Exit> {
    let request = matches.get_one::<String>("request").map_or("", String::as_str);
    let mut lines = Vec::new();
    for file in matches.get_many::<PathBuf>("files").into_iter().flatten() {
        lines.extend(read_lines(file)?);
    }
    lines.sort_by(|a, b| a.time().cmp(b.time()));
    let traces: Vec<_> = lines
        .iter()
        .enumerate()
        .filter(|(_, line)| line.is_access_log_entry_of(request))
        .map(|(at, line)| RequestTrace::new(line, &lines[..at]))
        .collect();
    if traces.is_empty() {
        writeln!(output.err, "the logs contain no access log entry for request {request}")?;
        return Ok(Exit::Findings);
    }
    if output.json {
        output.write_json(&traces)?;
    } else {
        for trace in &traces {
            trace.write(output)?;
        }
    }
    Ok(Exit::Ok)
}

/// JSON object of a log line.
struct Line(Map<String, Value>);

impl Line {
    /// Parses the JSON object at the end of a line. Lines without one were not written by an
    /// instance.
    fn parse(text: &str) -> Option<Self> {
        let object = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        Some(Self(object))
    }

    fn text(&self, field: &str) -> &str {
        self.0.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    fn time(&self) -> &str {
        self.text("ts")
    }

    fn is_access_log_entry_of(&self, request: &str) -> bool {
        self.text("msg") == ACCESS_LOG_MESSAGE && self.text("request") == request
    }

    /// Returns true if the line was logged by the instance of `request` and describes the state of
    /// an upstream or dependency that the request used.
    fn is_relevant_state(&self, request: &Self) -> bool {
        let is_state = STATE_PREFIXES.iter().any(|prefix| self.text("msg").starts_with(prefix));
        let (upstream, attempts) = (self.text("upstream"), request.text("attempts"));
        let is_relevant = if attempts.is_empty() && !upstream.is_empty() {
            self.text("service") == request.text("service")
        } else {
            upstream.is_empty() || attempts.contains(upstream)
        };
        is_state && is_relevant && self.text("instance") == request.text("instance")
    }

    /// Returns the fields that are not shown otherwise, as `name=value`.
    fn details(&self) -> String {
        let shown = ["msg", "level", "ts", "instance"];
        let fields = self.0.iter().filter(|(name, _)| !shown.contains(&name.as_str()));
        let mut fields: Vec<_> = fields.map(|(name, value)| format!("{name}={value}")).collect();
        fields.sort();
        fields.join(" ")
    }
}

/// Access log entry of a request with the preceding state lines of its instance.
#[derive(Serialize)]
struct RequestTrace<'a> {
    request: &'a Map<String, Value>,
    #[serde(rename = "beliefs")]
    state_lines: Vec<&'a Map<String, Value>>,
}

impl<'a> RequestTrace<'a> {
    fn new(line: &'a Line, earlier: &'a [Line]) -> Self {
        let state_lines = earlier.iter().filter(|other| other.is_relevant_state(line));
        let mut state_lines: Vec<_> = state_lines.map(|line| &line.0).collect();
        state_lines.drain(..state_lines.len().saturating_sub(MAX_STATE_LINES));
        Self { request: &line.0, state_lines }
    }

    fn write(&self, output: &mut Output<'_>) -> Result<()> {
        let field = |name: &str| match self.request.get(name) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        };
        let out = &mut *output.out;
        writeln!(out, "request {} on {}", field("request"), field("instance"))?;
        writeln!(out, "  route      service {}, class {}", field("service"), field("class"))?;
        if !field("account").is_empty() {
            writeln!(out, "  account    {}", field("account"))?;
        }
        if !field("api_key").is_empty() {
            writeln!(out, "  api key    {}", field("api_key"))?;
        }
        writeln!(out, "  time       {} ms allowed", field("deadline_ms"))?;
        for attempt in field("attempts").split("; ").filter(|attempt| !attempt.is_empty()) {
            writeln!(out, "  attempt    {attempt}")?;
        }
        for extra in field("extras").split("; ").filter(|extra| !extra.is_empty()) {
            writeln!(out, "  extra      {extra}")?;
        }
        let status = field("status");
        writeln!(out, "  response   {status} after {} ms", field("answered_ms"))?;
        if !field("reason").is_empty() {
            writeln!(out, "  reason     {}, execution {}", field("reason"), field("execution"))?;
        }
        writeln!(out, "  ended      after {} ms, at {}", field("ended_ms"), field("ts"))?;
        for state_line in &self.state_lines {
            let line = Line((*state_line).clone());
            writeln!(out, "  state      {} {} {}", line.time(), line.text("msg"), line.details())?;
        }
        Ok(())
    }
}

fn read_lines(file: &Path) -> Result<Vec<Line>> {
    let name = file.display();
    let bytes = fs::read(file).wrap_err_with(|| format!("cannot read {name}"))?;
    let text = String::from_utf8_lossy(&bytes);
    Ok(text.lines().filter_map(Line::parse).collect())
}
