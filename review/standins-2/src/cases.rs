//! The cases. Each returns whether its rule was broken, `None` if it could not run.

mod drain;
mod grace;
mod history;
mod orders;
mod refused;
mod silence;
mod upload;

use std::thread;
use std::time::Duration;

use crate::node::Node;
use crate::record::Record;
use crate::store::Store;

/// `stable-window-s`: a machine is in touch after it has run undisturbed for this time.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

pub fn run(case: &str, has_trouble: bool, record: &Record) -> Option<bool> {
    match case {
        "drain" => drain::run(has_trouble, record),
        "grace" => grace::run(has_trouble, record),
        "history" => history::run(has_trouble, record),
        "refused" => refused::run(has_trouble, record),
        "silence" => silence::run(has_trouble, record),
        "upload" => upload::run(has_trouble, record),
        _ => None,
    }
}

/// Starts instances and waits until all are ready and in touch.
fn start_nodes(count: usize, store: &Store, grace_s: u32, record: &Record) -> Option<Vec<Node>> {
    let nodes: Vec<Node> = (0..count)
        .map(|number| Node::start(number, store.address, grace_s))
        .collect::<Option<_>>()?;
    if !nodes.iter().all(Node::wait_until_ready) {
        record.line("an instance is not ready");
        return None;
    }
    thread::sleep(STABLE_WINDOW + Duration::from_secs(1));
    record.line(&format!("{count} instances are ready and in touch"));
    Some(nodes)
}
