//! The store discards its history just after backends have left without `draining`.

use std::thread;
use std::time::Duration;

use super::STABLE_WINDOW;
use super::orders::{self, Clients, INSTANCES};
use crate::record::Record;
use crate::store::{Store, entry_key};

const ROUNDS: usize = 2;

/// Time between the two removals of a round, and from the second one to the end of the history.
const BETWEEN: Duration = Duration::from_millis(50);

/// Time for which backends go on serving after their removal.
const SERVING: Duration = Duration::from_secs(12);

/// Time after a removal from which a request counts as late. It is longer than `drain-s`, so that the
/// store has been stable again for `stable-window-s`, should its discarding count as a disruption.
const LATE: Duration = STABLE_WINDOW.saturating_add(Duration::from_millis(500));

pub fn run(has_trouble: bool, record: &Record) -> Option<bool> {
    let store = Store::start();
    let _staying = orders::start(&store);
    let nodes = super::start_nodes(INSTANCES, &store, 6, record)?;
    let clients = Clients::start(&nodes);
    let mut left = Vec::new();
    for round in 0..ROUNDS {
        let ids = [format!("i-{round}-a"), format!("i-{round}-b")];
        let backends = ids.map(|id| orders::start_backend(&id, &store));
        // The watches wait again, and no change is under way.
        thread::sleep(Duration::from_secs(3));
        for backend in backends {
            let removed = store.remove(&entry_key(&backend.id));
            record.line_at(removed, &format!("the entry of {} is removed", backend.id));
            left.push((backend, removed));
            thread::sleep(BETWEEN);
        }
        if has_trouble {
            store.discard_history();
            record.line("the store discards its history");
        }
        thread::sleep(SERVING);
    }
    clients.stop(record);
    let late = left
        .iter()
        .map(|(backend, removed)| clients.count_late(backend, *removed, LATE, record))
        .sum::<usize>();
    let bound = LATE.as_secs_f64();
    record
        .line(&format!("{late} requests reached a backend later than {bound} s after its removal"));
    Some(late > 0)
}
