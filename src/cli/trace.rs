//! `cactustrack trace`: tells the story of a request from the logs of the instances.

use std::fs;
use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr};
use serde::Serialize;
use serde_json::{Map, Value};

use super::{Exit, Output, Subcommand};

/// Message of the line that holds the story of a request.
const REQUEST_LINE: &str = "proxy: request ended";

/// Parts whose lines say what an instance believed.
const BELIEF_PARTS: [&str; 4] = ["config:", "members:", "health:", "store:"];

/// Beliefs that are shown at most, the latest ones before the end of the request.
const MAX_BELIEFS: usize = 12;

pub(super) const SUBCOMMAND: Subcommand = Subcommand { command, run };

fn command() -> Command {
    Command::new("trace")
        .about("Tell the story of a request from the logs of any number of instances")
        .arg(Arg::new("request").value_name("REQUEST-ID").help("Id of the request").required(true))
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .help("Logs, with or without other text before each line")
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
    let stories: Vec<_> = lines
        .iter()
        .enumerate()
        .filter(|(_, line)| line.is_story_of(request))
        .map(|(at, line)| Story::new(line, &lines[..at]))
        .collect();
    if stories.is_empty() {
        writeln!(output.err, "no line tells of request {request}")?;
        return Ok(Exit::Findings);
    }
    if output.json {
        output.write_json(&stories)?;
    } else {
        for story in &stories {
            story.write(output)?;
        }
    }
    Ok(Exit::Ok)
}

/// A line of a log.
struct Line(Map<String, Value>);

impl Line {
    /// Reads the JSON object that a line ends with. Other lines are none of an instance.
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

    fn is_story_of(&self, request: &str) -> bool {
        self.text("msg") == REQUEST_LINE && self.text("request") == request
    }

    /// Returns true if the line says what the instance of `story` believed of an upstream or a
    /// dependency that the request met.
    fn is_belief_for(&self, story: &Self) -> bool {
        let is_belief = BELIEF_PARTS.iter().any(|part| self.text("msg").starts_with(part));
        let (upstream, attempts) = (self.text("upstream"), story.text("attempts"));
        let concerns = if attempts.is_empty() && !upstream.is_empty() {
            self.text("service") == story.text("service")
        } else {
            upstream.is_empty() || attempts.contains(upstream)
        };
        is_belief && concerns && self.text("instance") == story.text("instance")
    }

    /// The fields that are not shown elsewhere, as `name=value`.
    fn details(&self) -> String {
        let shown = ["msg", "level", "ts", "instance"];
        let fields = self.0.iter().filter(|(name, _)| !shown.contains(&name.as_str()));
        let mut fields: Vec<_> = fields.map(|(name, value)| format!("{name}={value}")).collect();
        fields.sort();
        fields.join(" ")
    }
}

/// A request with what its instance believed.
#[derive(Serialize)]
struct Story<'a> {
    request: &'a Map<String, Value>,
    beliefs: Vec<&'a Map<String, Value>>,
}

impl<'a> Story<'a> {
    fn new(line: &'a Line, earlier: &'a [Line]) -> Self {
        let beliefs = earlier.iter().filter(|other| other.is_belief_for(line));
        let mut beliefs: Vec<_> = beliefs.map(|line| &line.0).collect();
        beliefs.drain(..beliefs.len().saturating_sub(MAX_BELIEFS));
        Self { request: &line.0, beliefs }
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
        writeln!(out, "  time       {} ms allowed", field("deadline_ms"))?;
        for attempt in field("attempts").split("; ").filter(|attempt| !attempt.is_empty()) {
            writeln!(out, "  attempt    {attempt}")?;
        }
        let status = field("status");
        writeln!(out, "  answer     {status} after {} ms", field("answered_ms"))?;
        if !field("reason").is_empty() {
            writeln!(out, "  reason     {}, execution {}", field("reason"), field("execution"))?;
        }
        writeln!(out, "  ended      after {} ms, at {}", field("ended_ms"), field("ts"))?;
        for belief in &self.beliefs {
            let line = Line((*belief).clone());
            writeln!(out, "  believed   {} {} {}", line.time(), line.text("msg"), line.details())?;
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
