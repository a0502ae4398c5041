//! `cactustrack status` and `cactustrack explain`: query the admin listeners of running instances.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr, ensure};
use serde_json::Value;

use super::{Exit, Output, Subcommand, input, store};

pub(super) const STATUS: Subcommand = Subcommand { command: status_command, run: run_status };
pub(super) const EXPLAIN: Subcommand = Subcommand { command: explain_command, run: run_explain };

/// Timeout of a request to an admin listener.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) fn admin_args() -> [Arg; 2] {
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
            .help("File that contains the admin key"),
    ]
}

fn status_command() -> Command {
    Command::new("status")
        .about("Show the state of each instance")
        .args(admin_args())
        .after_long_help("Repeat --admin for each instance.")
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Show the decisions of instances about a service or an upstream, with their reasons")
        .args(admin_args())
        .arg(Arg::new("service").value_name("SERVICE").required(true).help("Service"))
        .arg(Arg::new("upstream").value_name("UPSTREAM").help("Upstream of the service"))
}

fn run_status(matches: &ArgMatches, output: &mut Output<'_>) -> Result<Exit> {
    let responses = query_all(matches, "/status")?;
    write_responses(output, &responses, write_status)
}

fn run_explain(matches: &ArgMatches, output: &mut Output<'_>) -> Result<Exit> {
    let service = matches.get_one::<String>("service").map_or("", String::as_str);
    let path = match matches.get_one::<String>("upstream") {
        Some(upstream) => format!("/explain/{service}/{upstream}"),
        None => format!("/explain/{service}"),
    };
    let responses = query_all(matches, &path)?;
    write_responses(output, &responses, write_explanation)
}

/// Writes the responses of all instances, in text format with `write`.
pub(super) fn write_responses(
    output: &mut Output<'_>,
    responses: &[InstanceResponse],
    write: impl Fn(&mut Output<'_>, &Value) -> Result<()>,
) -> Result<Exit> {
    if output.json {
        output.write_json(&responses.iter().map(InstanceResponse::to_json).collect::<Vec<_>>())?;
        return Ok(exit(responses));
    }
    for response in responses {
        match &response.result {
            Ok(answer) => write(output, answer)?,
            Err(error) => writeln!(output.out, "{}: query failed: {error}", response.url)?,
        }
    }
    Ok(exit(responses))
}

fn exit(responses: &[InstanceResponse]) -> Exit {
    let is_complete = responses.iter().all(|response| response.result.is_ok());
    if is_complete { Exit::Ok } else { Exit::Unreachable }
}

/// Response of one instance.
pub(super) struct InstanceResponse {
    url: String,
    result: Result<Value, String>,
}

impl InstanceResponse {
    fn to_json(&self) -> Value {
        match &self.result {
            Ok(value) => serde_json::json!({"admin": self.url, "answer": value}),
            Err(error) => serde_json::json!({"admin": self.url, "error": error}),
        }
    }
}

pub(super) fn query_all(matches: &ArgMatches, path: &str) -> Result<Vec<InstanceResponse>> {
    let key = input::read(input::path(matches, "key-file")?)?;
    let urls: Vec<String> =
        matches.get_many::<String>("admin").into_iter().flatten().cloned().collect();
    store::block_on(async {
        let mut responses = Vec::new();
        for url in urls {
            let result = query(&url, path, key.trim()).await.map_err(|error| format!("{error:#}"));
            responses.push(InstanceResponse { url, result });
        }
        Ok(responses)
    })
}

async fn query(url: &str, path: &str, key: &str) -> Result<Value> {
    let client = cyper::Client::new().wrap_err("cannot create an HTTP client")?;
    let url = format!("{}{path}", url.trim_end_matches('/'));
    let request = client.get(&url)?.header("authorization", format!("Bearer {key}"))?.send();
    let response = compio::time::timeout(CALL_TIMEOUT, request)
        .await
        .wrap_err("request timed out")?
        .wrap_err("HTTP request failed")?;
    let status = response.status();
    let body = response.text().await.wrap_err("cannot read the response body")?;
    ensure!(status.is_success(), "{status}: {}", body.trim());
    serde_json::from_str(&body).wrap_err("the response is not valid JSON")
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
    let not_in_service = upstreams.iter().filter(|upstream| upstream["standing"] != "in service");
    let not_in_service: Vec<String> = not_in_service
        .map(|upstream| {
            let (id, standing) = (upstream["id"].as_str(), upstream["standing"].as_str());
            format!("{} {}", id.unwrap_or("?"), standing.unwrap_or("?"))
        })
        .collect();
    let not_in_service = if not_in_service.is_empty() {
        String::new()
    } else {
        format!(": {}", not_in_service.join(", "))
    };
    writeln!(
        output.out,
        "  {}: {} upstreams, {} in flight{not_in_service}",
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
