//! `cactustrack status` and `cactustrack explain`: ask running instances.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr, ensure};
use serde_json::Value;

use super::{Exit, Output, Subcommand, input, store};

pub(super) const STATUS: Subcommand = Subcommand { command: status_command, run: run_status };
pub(super) const EXPLAIN: Subcommand = Subcommand { command: explain_command, run: run_explain };

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn admin_args() -> [Arg; 2] {
    [
        Arg::new("admin")
            .long("admin")
            .value_name("URL")
            .action(ArgAction::Append)
            .required(true)
            .help("Admin listener of an instance, for example http://192.0.2.1:9100"),
        Arg::new("key-file")
            .long("key-file")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .required(true)
            .help("File with the admin key"),
    ]
}

fn status_command() -> Command {
    Command::new("status")
        .about("Show where each instance stands")
        .args(admin_args())
        .after_long_help("Name --admin once for each instance.")
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Show what an instance decided about a service or an upstream, and why")
        .args(admin_args())
        .arg(Arg::new("service").value_name("SERVICE").required(true).help("Service"))
        .arg(Arg::new("upstream").value_name("UPSTREAM").help("Upstream of the service"))
}

fn run_status(matches: &ArgMatches, output: &mut Output<'_>) -> Result<Exit> {
    let answers = ask_all(matches, "/status")?;
    if output.json {
        output.write_json(&answers.iter().map(Answer::to_json).collect::<Vec<_>>())?;
    } else {
        for answer in &answers {
            match &answer.result {
                Ok(status) => write_status(output, status)?,
                Err(error) => writeln!(output.out, "{}: no answer: {error}", answer.url)?,
            }
        }
    }
    Ok(exit(&answers))
}

fn run_explain(matches: &ArgMatches, output: &mut Output<'_>) -> Result<Exit> {
    let service = matches.get_one::<String>("service").map_or("", String::as_str);
    let path = match matches.get_one::<String>("upstream") {
        Some(upstream) => format!("/explain/{service}/{upstream}"),
        None => format!("/explain/{service}"),
    };
    let answers = ask_all(matches, &path)?;
    if output.json {
        output.write_json(&answers.iter().map(Answer::to_json).collect::<Vec<_>>())?;
    } else {
        for answer in &answers {
            match &answer.result {
                Ok(explanation) => write_explanation(output, explanation)?,
                Err(error) => writeln!(output.out, "{}: no answer: {error}", answer.url)?,
            }
        }
    }
    Ok(exit(&answers))
}

fn exit(answers: &[Answer]) -> Exit {
    let complete = answers.iter().all(|answer| answer.result.is_ok());
    if complete { Exit::Ok } else { Exit::Unreachable }
}

/// What one instance answered.
struct Answer {
    url: String,
    result: Result<Value, String>,
}

impl Answer {
    fn to_json(&self) -> Value {
        match &self.result {
            Ok(value) => serde_json::json!({"admin": self.url, "answer": value}),
            Err(error) => serde_json::json!({"admin": self.url, "error": error}),
        }
    }
}

fn ask_all(matches: &ArgMatches, path: &str) -> Result<Vec<Answer>> {
    let key = input::read(input::path(matches, "key-file")?)?;
    let urls: Vec<String> =
        matches.get_many::<String>("admin").into_iter().flatten().cloned().collect();
    store::block_on(async {
        let mut answers = Vec::new();
        for url in urls {
            let result = ask(&url, path, key.trim()).await.map_err(|error| format!("{error:#}"));
            answers.push(Answer { url, result });
        }
        Ok(answers)
    })
}

async fn ask(url: &str, path: &str, key: &str) -> Result<Value> {
    let client = cyper::Client::new().wrap_err("cannot create an HTTP client")?;
    let url = format!("{}{path}", url.trim_end_matches('/'));
    let request = client.get(&url)?.header("authorization", format!("Bearer {key}"))?.send();
    let response = compio::time::timeout(CALL_TIMEOUT, request)
        .await
        .wrap_err("no answer in time")?
        .wrap_err("cannot connect")?;
    let status = response.status();
    let body = response.text().await.wrap_err("the answer was cut short")?;
    ensure!(status.is_success(), "{status}: {}", body.trim());
    serde_json::from_str(&body).wrap_err("the answer is not valid")
}

fn write_status(output: &mut Output<'_>, status: &Value) -> Result<()> {
    let text = |value: &Value| value.as_str().unwrap_or("?").to_owned();
    let configuration = &status["configuration"];
    writeln!(
        output.out,
        "{} ({}): version {}, {}{}",
        text(&status["instance"]),
        text(&status["failure_domain"]),
        configuration["version"],
        text(&configuration["status"]),
        if status["stopping"] == true { ", stopping" } else { "" },
    )?;
    for service in status["services"].as_array().into_iter().flatten() {
        write_service(output, service)?;
    }
    Ok(())
}

fn write_service(output: &mut Output<'_>, service: &Value) -> Result<()> {
    let upstreams = service["upstreams"].as_array();
    let upstreams: Vec<&Value> = upstreams.into_iter().flatten().collect();
    let notable = upstreams.iter().filter(|upstream| upstream["standing"] != "in service");
    let notable: Vec<String> = notable
        .map(|upstream| {
            let (id, standing) = (upstream["id"].as_str(), upstream["standing"].as_str());
            format!("{} {}", id.unwrap_or("?"), standing.unwrap_or("?"))
        })
        .collect();
    let notable =
        if notable.is_empty() { String::new() } else { format!(": {}", notable.join(", ")) };
    writeln!(
        output.out,
        "  {}: {} upstreams, {} in flight{notable}",
        service["id"].as_str().unwrap_or("?"),
        upstreams.len(),
        service["in_flight"],
    )?;
    Ok(())
}

fn write_explanation(output: &mut Output<'_>, explanation: &Value) -> Result<()> {
    write!(output.out, "{}:", explanation["instance"].as_str().unwrap_or("?"))?;
    writeln!(output.out)?;
    write_service(output, &explanation["service"])?;
    let decisions = explanation["decisions"].as_array();
    let decisions: Vec<&Value> = decisions.into_iter().flatten().collect();
    if decisions.is_empty() {
        writeln!(output.out, "  no decisions: the evidence is consistent with healthy upstreams")?;
    }
    for decision in decisions {
        let seconds = decision["at"].as_f64().unwrap_or_default() / 1000.0;
        writeln!(output.out, "  {seconds:.1} s: {}", decision["text"].as_str().unwrap_or("?"))?;
    }
    Ok(())
}
