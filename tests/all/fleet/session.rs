//! Snapshot tests of complete sessions of two users: the output for operators and callers from the
//! first questionnaire to a restart of the fleet.

use std::fmt::Write as _;
use std::fs;

use cactustrack_test_support::caller::Call;
use cactustrack_test_support::store::Outage;

use super::harness::{Fleet, ServiceCase, wait_until};

/// The questionnaire of a user, with its services and a revision.
struct SessionCase {
    name: &'static str,
    services: [ServiceCase; 3],
    /// An answer of the questionnaire and its revised value.
    revision: (&'static str, &'static str),
}

const fn service(id: &'static str, upstreams: u32, repeatable: bool, large: bool) -> ServiceCase {
    ServiceCase { id, upstreams, floor: 0, repeatable, large }
}

const SESSIONS: [SessionCase; 2] = [
    SessionCase {
        name: "antallagi",
        services: [
            service("katalogos", 15, true, false),
            service("symfonia", 20, false, false),
            service("archeio", 5, true, true),
        ],
        revision: ("healthy_capacity = 4", "healthy_capacity = 3"),
    },
    SessionCase {
        name: "sinar",
        services: [
            service("katalog", 5, true, false),
            service("pulih", 15, false, false),
            service("muat", 5, true, true),
        ],
        revision: ("healthy_capacity = \"60%\"", "healthy_capacity = \"70%\""),
    },
];

/// A fleet and the transcript of the session so far.
struct Session {
    fleet: Fleet,
    transcript: String,
}

impl Session {
    /// Starts a section of the transcript.
    fn add_section(&mut self, title: &str) {
        writeln!(self.transcript, "\n# {title}").expect("text");
    }

    /// Runs the command line tool and appends `shown` and the output to the transcript, with
    /// placeholders for addresses, paths and times.
    fn run_cli(&mut self, shown: &str, arguments: &[&str]) {
        let (exit, output) = self.fleet.cli(arguments);
        let output = self.fleet.normalize(&output);
        writeln!(self.transcript, "$ cactustrack {shown}\n{output}exit: {exit:?}").expect("text");
    }

    fn accept(&mut self, file: &str, author: &str, seen: &str) {
        let url = self.fleet.store.url();
        let arguments = [
            "accept", file, "--store", &url, "--seen", seen, "--author", author, "--reason", "test",
        ];
        let shown =
            format!("accept FILE --store URL --seen {seen} --author {author} --reason test");
        self.run_cli(&shown, &arguments);
    }

    /// Sends a request and appends status and body of the response to the transcript.
    fn send(&mut self, instance: usize, shown: &str, call: &Call) {
        let response = self.fleet.call(instance, call);
        // The upstream is selected at random, so its id is removed.
        let body = response.text();
        let body = match (body.find("\"upstream\":\""), body.find("\",\"path\"")) {
            (Some(start), Some(end)) => {
                format!("{}\"upstream\":\"...{}", &body[..start], &body[end..])
            }
            _ if response.body.len() > 1000 => format!("{} bytes", response.body.len()),
            _ => body,
        };
        let complete = if response.is_complete { "complete" } else { "truncated" };
        writeln!(self.transcript, "> {shown}\n< {} {complete} {body}", response.status)
            .expect("text");
    }

    fn status(&mut self, instance: usize) {
        let status = self.fleet.status(instance);
        let configuration = &status["configuration"];
        writeln!(self.transcript, "instance {instance}: {configuration}").expect("text");
    }

    fn wait_version(&self, instances: &[usize], version: u64) {
        wait_until("the version is in force", || {
            instances.iter().all(|n| self.fleet.status(*n)["configuration"]["version"] == version)
        });
    }
}

fn order(case: &SessionCase, key: &str) -> Call {
    let host = format!("{}.{}.example", case.services[1].id, case.name);
    Call::post(&host, "/orders").with_header("x-tag", key).with_header("idempotency-key", key)
}

fn get(case: &SessionCase, service: usize, path: &str) -> Call {
    Call::get(&format!("{}.{}.example", case.services[service].id, case.name), path)
}

fn run_session(case: &SessionCase) -> String {
    let example =
        format!("{}/examples/questionnaires/{}.toml", env!("CARGO_MANIFEST_DIR"), case.name);
    let answers = fs::read_to_string(&example).expect("the example questionnaire");
    let fleet = Fleet::without_instances(&case.services);
    let first = fleet.write("first.toml", &answers).display().to_string();
    let revised = answers.replace(case.revision.0, case.revision.1);
    assert_ne!(revised, answers, "the session revises an answer");
    let revised = fleet.write("revised.toml", &revised).display().to_string();
    let mut session = Session { fleet, transcript: String::new() };

    session.add_section("The first questionnaire is checked and accepted.");
    session.run_cli("check FILE", &["check", &first]);
    session.accept(&first, "maria", "0");
    let instances = [session.fleet.start_instance(), session.fleet.start_instance()];
    instances.iter().for_each(|instance| session.fleet.wait_ready(*instance));
    session.wait_version(&instances, 1);

    session.add_section("Callers are served.");
    session.send(0, "GET /listing", &get(case, 0, "/listing").with_header("x-tag", "1"));
    session.send(0, "POST /orders, key o-1", &order(case, "o-1"));
    wait_until("the outcome of the order is recorded", || {
        session.fleet.status(0)["idempotency_records"]["pending_writes"] == 0
    });
    session.send(1, "POST /orders, key o-1 again, other instance", &order(case, "o-1"));
    session.send(1, "GET /bytes/300000", &get(case, 2, "/bytes/300000"));

    session.add_section("Two operators revise version 1. The second one gets a conflict.");
    let url = session.fleet.store.url();
    let dry_run = ["accept", &revised, "--store", &url, "--seen", "1", "--author", "maria"];
    let dry_run = [&dry_run[..], &["--reason", "test", "--dry-run"]].concat();
    session.run_cli("accept FILE --store URL --seen 1 ... --dry-run", &dry_run);
    session.accept(&revised, "maria", "1");
    session.wait_version(&instances, 2);
    session.accept(&first, "yusof", "1");

    session.add_section("The store is down.");
    session.fleet.store.handle().set_outage_blocking(Outage::Refuse);
    session.accept(&first, "yusof", "2");
    session.send(0, "GET /listing", &get(case, 0, "/listing").with_header("x-tag", "2"));
    session.send(0, "POST /orders, key o-2", &order(case, "o-2"));

    session.add_section("Every instance is replaced while the store is down.");
    session.fleet.instance(0).kill();
    session.fleet.instance(1).kill();
    session.fleet.store.handle().set_outage_blocking(Outage::Refuse);
    let replacement = session.fleet.start_instance();
    let ready = session.fleet.admin(replacement, "/ready");
    write!(session.transcript, "ready: {} {}", ready.status, ready.text()).expect("text");
    session.send(replacement, "GET /listing", &get(case, 0, "/listing"));

    session.add_section("The store is up again.");
    session.fleet.store.handle().set_outage_blocking(Outage::None);
    session.fleet.wait_ready(replacement);
    session.wait_version(&[replacement], 2);
    session.status(replacement);
    session.send(replacement, "POST /orders, key o-2 again", &order(case, "o-2"));
    let history = ["history", "--store", &url];
    session.run_cli("history --store URL", &history);
    let mut orders = session.fleet.executed(case.services[1].id);
    orders.sort();
    writeln!(session.transcript, "\nexecuted by upstreams: {orders:?}").expect("text");
    session.transcript
}

/// Guards against unintended changes of the output for operators and callers, and against an order
/// that is executed twice or a version that reverts during a session.
#[test]
fn sessions_match_the_snapshots() {
    for case in &SESSIONS {
        insta::assert_snapshot!(format!("session_{}", case.name), run_session(case));
    }
}
