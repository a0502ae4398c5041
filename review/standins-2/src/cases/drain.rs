//! Backends leave without `draining` shortly after the store has cut the watches that waited.

use std::thread;
use std::time::Duration;

use super::orders::{self, Clients, DRAIN, INSTANCES};
use crate::record::Record;
use crate::store::{Store, entry_key};

const ROUNDS: usize = 8;

/// Time from the cut of the watches to the first removal.
const AFTER_CUT: Duration = Duration::from_millis(400);

/// Time between the two removals of a round.
const BETWEEN: Duration = Duration::from_millis(50);

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
        if has_trouble {
            record.line(&format!("the store cuts {} watches that wait", store.cut_watches()));
        }
        thread::sleep(AFTER_CUT);
        for backend in backends {
            let removed = store.remove(&entry_key(&backend.id));
            record.line_at(removed, &format!("the entry of {} is removed", backend.id));
            left.push((backend, removed));
            thread::sleep(BETWEEN);
        }
        thread::sleep(DRAIN + Duration::from_millis(1_500));
    }
    clients.stop(record);
    let late = left
        .iter()
        .map(|(backend, removed)| clients.count_late(backend, *removed, DRAIN, record))
        .sum::<usize>();
    record.line(&format!("{late} requests reached a backend later than drain-s after its removal"));
    Some(late > 0)
}
