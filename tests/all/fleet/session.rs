//! Golden files of whole sessions of both users: what operators and callers see from the first
//! questionnaire to a restart of the fleet.

use std::fmt::Write as _;
use std::fs;

use cactustrack_test_support::caller::Call;
use cactustrack_test_support::store::Outage;

use super::harness::{Fleet, ServiceCase, wait_until};

/// A user's questionnaire and what the session does with it.
struct SessionCase {
    name: &'static str,
    services: [ServiceCase; 3],
    /// An answer that the session revises, and the revised one.
    revision: (&'static str, &'static str),
}

const fn case(id: &'static str, upstreams: u32, repeatable: bool, large: bool) -> ServiceCase {
    ServiceCase { id, upstreams, floor: 0, repeatable, large }
}

const SESSIONS: [SessionCase; 2] = [
    SessionCase {
        name: "antallagi",
        services: [
            case("katalogos", 15, true, false),
            case("symfonia", 20, false, false),
            case("archeio", 5, true, true),
        ],
        revision: ("healthy_capacity = 4", "healthy_capacity = 3"),
    },
    SessionCase {
        name: "sinar",
        services: [
            case("katalog", 5, true, false),
            case("pulih", 15, false, false),
            case("muat", 5, true, true),
        ],
        revision: ("healthy_capacity = \"60%\"", "healthy_capacity = \"70%\""),
    },
];

/// A session and what was seen of it so far.
struct Session {
    fleet: Fleet,
    text: String,
}

impl Session {
    fn note(&mut self, title: &str) {
        writeln!(self.text, "\n# {title}").expect("text");
    }

    /// Runs the command line and notes what it prints. Places of this run are replaced by names.
    fn operator(&mut self, shown: &str, arguments: &[&str]) {
        let (exit, output) = self.fleet.cli(arguments);
        let output = self.fleet.normalize(&output);
        writeln!(self.text, "$ cactustrack {shown}\n{output}exit: {exit:?}").expect("text");
    }

    fn accept(&mut self, file: &str, author: &str, seen: &str) {
        let url = self.fleet.store.url();
        let arguments = [
            "accept", file, "--store", &url, "--seen", seen, "--author", author, "--reason", "test",
        ];
        let shown =
            format!("accept FILE --store URL --seen {seen} --author {author} --reason test");
        self.operator(&shown, &arguments);
    }

    /// Sends a request and notes status and body of the answer.
    fn caller(&mut self, instance: usize, shown: &str, call: &Call) {
        let response = self.fleet.call(instance, call);
        // Which upstream is chosen is random.
        let body = response.text();
        let body = match (body.find("\"upstream\":\""), body.find("\",\"path\"")) {
            (Some(start), Some(end)) => {
                format!("{}\"upstream\":\"...{}", &body[..start], &body[end..])
            }
            _ if response.body.len() > 1000 => format!("{} bytes", response.body.len()),
            _ => body,
        };
        let complete = if response.is_complete { "complete" } else { "cut short" };
        writeln!(self.text, "> {shown}\n< {} {complete} {body}", response.status).expect("text");
    }

    fn status(&mut self, instance: usize) {
        let status = self.fleet.status(instance);
        let configuration = &status["configuration"];
        writeln!(self.text, "instance {instance}: {configuration}").expect("text");
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

fn run(case: &SessionCase) -> String {
    let example =
        format!("{}/examples/questionnaires/{}.toml", env!("CARGO_MANIFEST_DIR"), case.name);
    let answers = fs::read_to_string(&example).expect("the example questionnaire");
    let fleet = Fleet::without_instances(&case.services);
    let first = fleet.write("first.toml", &answers).display().to_string();
    let revised = answers.replace(case.revision.0, case.revision.1);
    assert_ne!(revised, answers, "the session revises an answer");
    let revised = fleet.write("revised.toml", &revised).display().to_string();
    let mut session = Session { fleet, text: String::new() };

    session.note("The first questionnaire is checked and accepted.");
    session.operator("check FILE", &["check", &first]);
    session.accept(&first, "maria", "0");
    let instances = [session.fleet.start_instance(), session.fleet.start_instance()];
    instances.iter().for_each(|instance| session.fleet.wait_ready(*instance));
    session.wait_version(&instances, 1);

    session.note("Callers are served.");
    session.caller(0, "GET /listing", &get(case, 0, "/listing").with_header("x-tag", "1"));
    session.caller(0, "POST /orders, key o-1", &order(case, "o-1"));
    wait_until("the outcome of the order is recorded", || {
        session.fleet.status(0)["idempotency_records"]["pending_writes"] == 0
    });
    session.caller(1, "POST /orders, key o-1 again, other instance", &order(case, "o-1"));
    session.caller(1, "GET /bytes/300000", &get(case, 2, "/bytes/300000"));

    session.note("Two operators revise version 1. The second one gets a conflict.");
    let url = session.fleet.store.url();
    let dry_run = ["accept", &revised, "--store", &url, "--seen", "1", "--author", "maria"];
    let dry_run = [&dry_run[..], &["--reason", "test", "--dry-run"]].concat();
    session.operator("accept FILE --store URL --seen 1 ... --dry-run", &dry_run);
    session.accept(&revised, "maria", "1");
    session.wait_version(&instances, 2);
    session.accept(&first, "yusof", "1");

    session.note("The store is away.");
    session.fleet.store.handle().set_outage_blocking(Outage::Refuse);
    session.accept(&first, "yusof", "2");
    session.caller(0, "GET /listing", &get(case, 0, "/listing").with_header("x-tag", "2"));
    session.caller(0, "POST /orders, key o-2", &order(case, "o-2"));

    session.note("Every instance is replaced while the store is away.");
    session.fleet.instance(0).kill();
    session.fleet.instance(1).kill();
    session.fleet.store.handle().set_outage_blocking(Outage::Refuse);
    let alone = session.fleet.start_instance();
    let ready = session.fleet.admin(alone, "/ready");
    write!(session.text, "ready: {} {}", ready.status, ready.text()).expect("text");
    session.caller(alone, "GET /listing", &get(case, 0, "/listing"));

    session.note("The store is back.");
    session.fleet.store.handle().set_outage_blocking(Outage::None);
    session.fleet.wait_ready(alone);
    session.wait_version(&[alone], 2);
    session.status(alone);
    session.caller(alone, "POST /orders, key o-2 again", &order(case, "o-2"));
    let history = ["history", "--store", &url];
    session.operator("history --store URL", &history);
    let mut orders = session.fleet.executed(case.services[1].id);
    orders.sort();
    writeln!(session.text, "\nrun on upstreams: {orders:?}").expect("text");
    session.text
}

/// Guards against a change in what operators and callers see, and against an order that runs
/// twice or a version that reverts anywhere in a session.
#[test]
fn sessions_of_both_users_are_as_recorded() {
    for case in &SESSIONS {
        insta::assert_snapshot!(format!("session_{}", case.name), run(case));
    }
}
