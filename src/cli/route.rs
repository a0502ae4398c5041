//! `cactustrack route`: asks running instances where they would send a request now, and why.

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{OptionExt, Result, ensure};
use http::{Method, Uri};
use serde_json::Value;

use super::{Exit, Output, Subcommand, admin};
use crate::route_query::RouteQuery;

pub(super) const SUBCOMMAND: Subcommand = Subcommand { command, run };

/// Columns of the table of upstreams that show a term of the loss, with the name of the term.
const TERMS: [(&str, &str); 8] = [
    ("fault", "fault"),
    ("time", "time"),
    ("load", "load"),
    ("queue", "queueing"),
    ("conn", "connection"),
    ("domain", "other_domain"),
    ("trial", "trial"),
    ("jitter", "jitter"),
];

fn command() -> Command {
    Command::new("route")
        .about("Show where instances would send a request now, and why, without sending it")
        .args(admin::admin_args())
        .arg(
            Arg::new("method")
                .long("method")
                .value_name("METHOD")
                .default_value("GET")
                .value_parser(value_parser!(Method))
                .help("Method of the request"),
        )
        .arg(
            Arg::new("account")
                .long("account")
                .value_name("NAME")
                .help("Client account that sends the request; no API key is needed"),
        )
        .arg(
            Arg::new("url")
                .value_name("URL")
                .value_parser(value_parser!(Uri))
                .required(true)
                .help("URL of the request, for example http://shop.example/search/x"),
        )
        .after_long_help("Repeat --admin for each instance.")
}

fn run(matches: &ArgMatches, output: &mut Output<'_>) -> Result<Exit> {
    let query = query(matches)?;
    let responses = admin::query_all(matches, &format!("/route?{}", query.to_query()))?;
    admin::write_responses(output, &responses, write_route)
}

fn query(matches: &ArgMatches) -> Result<RouteQuery> {
    let url = matches.get_one::<Uri>("url").ok_or_eyre("missing argument URL")?;
    ensure!(url.scheme().is_some(), "the URL has no scheme such as http");
    let host = url.authority().ok_or_eyre("the URL names no host")?.as_str();
    ensure!(!host.contains('@'), "the URL must not contain a user name or a password");
    Ok(RouteQuery {
        method: matches.get_one::<Method>("method").cloned().unwrap_or_default(),
        host: host.to_owned(),
        path: url.path().to_owned(),
        account: matches.get_one::<String>("account").cloned(),
    })
}

fn write_route(output: &mut Output<'_>, answer: &Value) -> Result<()> {
    let request = &answer["request"];
    let (method, host, path) =
        (text(&request["method"]), text(&request["host"]), text(&request["path"]));
    let version = &answer["configuration_version"];
    writeln!(
        output.out,
        "{}: {method} {host}{path}, version {version}",
        text(&answer["instance"])
    )?;
    if answer["route"].is_object() {
        writeln!(output.out, "  route    {}", route_line(&answer["route"]))?;
    }
    if answer["account"].is_object() {
        writeln!(output.out, "  account  {}", account_line(&answer["account"]))?;
    }
    if answer["refusal"].is_object() {
        writeln!(output.out, "  refused  {}", refusal_line(&answer["refusal"]))?;
    }
    for service in answer["services"].as_array().into_iter().flatten() {
        write_service(output, service)?;
    }
    Ok(())
}

fn route_line(route: &Value) -> String {
    let access = if route["is_public"] == true { "public" } else { "not public" };
    let mut line = format!(
        "{} {} to {}, {}, {access}, timeout {}",
        text(&route["host"]),
        text(&route["path_prefix"]),
        text(&route["service"]),
        text(&route["class"]),
        milliseconds(&route["timeout_ms"]),
    );
    if !route["latency_target_ms"].is_null() {
        line += &format!(", latency target {}", milliseconds(&route["latency_target_ms"]));
    }
    line
}

fn account_line(account: &Value) -> String {
    let name = text(&account["name"]);
    if account["is_needed"] != true {
        return format!("{name}, not needed for this request");
    }
    if account["is_known"] != true {
        return format!("{name}, unknown: no API key belongs to it");
    }
    let mut line = format!("{name}, priority {}", account["priority"]);
    let quota = &account["quota"];
    if quota.is_null() {
        return line + ", no quota";
    }
    line += &format!(", quota {}/s and burst {}", number(&quota["rate"]), number(&quota["burst"]));
    if quota["is_enforced"] != true {
        return line + ", not enforced";
    }
    line += &format!(", {} tokens held here", quota["tokens_held"]);
    line += &match quota["shard_owner"].as_str() {
        Some(owner) => format!(", shard {} owned by {owner}", quota["shard"]),
        None => format!(", shard {} without a known owner", quota["shard"]),
    };
    if let Some(level) = quota["bucket_level"].as_f64() {
        line += &format!(" ({level:.1} tokens)");
    }
    if quota["asks_owner"] == true && quota["shard_owner"].is_string() {
        line += ", which has to be asked and may refuse";
    }
    line
}

fn refusal_line(refusal: &Value) -> String {
    let (status, reason) = (&refusal["status"], text(&refusal["reason"]));
    let line = format!("{status} {reason}: {}", text(&refusal["detail"]));
    let (shortest, longest) = (&refusal["retry_after_min_ms"], &refusal["retry_after_max_ms"]);
    if shortest.is_null() {
        line
    } else if shortest == longest {
        format!("{line}; Retry-After {}", milliseconds(shortest))
    } else {
        let (shortest, longest) = (number(shortest), milliseconds(longest));
        format!("{line}; random Retry-After of {shortest} to {longest}")
    }
}

fn write_service(output: &mut Output<'_>, service: &Value) -> Result<()> {
    let share = service["share"].as_f64().unwrap_or_default() * 100.0;
    writeln!(
        output.out,
        "  {}: {share:.1} % of the requests of the route, mean service time {}",
        text(&service["service"]),
        milliseconds(&service["service_time_ms"]),
    )?;
    if service["refusal"].is_object() {
        writeln!(output.out, "    refused  {}", refusal_line(&service["refusal"]))?;
    }
    let upstreams: Vec<&Value> = service["upstreams"].as_array().into_iter().flatten().collect();
    if upstreams.is_empty() {
        return Ok(());
    }
    let mut rows = vec![header()];
    rows.extend(upstreams.into_iter().map(row));
    write_table(output, &rows)?;
    writeln!(
        output.out,
        "    trial and jitter are random: expected values, and the range of the loss that they allow"
    )?;
    Ok(())
}

fn header() -> Vec<String> {
    let terms = TERMS.iter().map(|(name, _)| *name);
    let names = ["upstream", "loss", "range"].into_iter().chain(terms);
    names.chain(["in flight", "slots", "last notice"]).map(str::to_owned).collect()
}

fn row(upstream: &Value) -> Vec<String> {
    let range = format!("{}..{}", decimal(&upstream["loss_min"]), decimal(&upstream["loss_max"]));
    let mut cells = vec![text(&upstream["upstream"]), decimal(&upstream["loss"]), range];
    cells.extend(TERMS.iter().map(|(_, term)| decimal(&upstream["terms"][*term])));
    cells.extend([upstream["in_flight"].to_string(), upstream["slots"].to_string()]);
    let age = upstream["last_notice_ms"].as_f64();
    cells.push(age.map_or("none".to_owned(), |ms| format!("{:.1} s ago", ms / 1_000.0)));
    cells
}

/// Writes a table whose first column is aligned to the left and whose others are to the right.
fn write_table(output: &mut Output<'_>, rows: &[Vec<String>]) -> Result<()> {
    let columns = rows.first().map_or(0, Vec::len);
    let width = |column: usize| {
        rows.iter().map(|row| row[column].chars().count()).max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    for row in rows {
        write!(output.out, "    {:<width$}", row[0], width = widths[0])?;
        for (cell, width) in row.iter().zip(&widths).skip(1) {
            write!(output.out, "  {cell:>width$}")?;
        }
        writeln!(output.out)?;
    }
    Ok(())
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or("?").to_owned()
}

fn decimal(value: &Value) -> String {
    value.as_f64().map_or("?".to_owned(), |value| format!("{value:.3}"))
}

fn number(value: &Value) -> String {
    value.as_f64().map_or("?".to_owned(), |value| value.to_string())
}

fn milliseconds(value: &Value) -> String {
    format!("{} ms", number(value))
}
