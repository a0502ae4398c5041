//! Callers that keep many connections open and use them in turn.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::Kept;
use crate::record::Record;
use crate::traffic::{Kind, new_request};

/// What the callers do.
#[derive(Clone)]
pub struct Habit {
    pub kind: Kind,
    pub callers: usize,
    pub connections_per_caller: usize,
    /// Time between two requests of a caller.
    pub interval: Duration,
}

/// The instances that get new connections.
#[derive(Clone, Default)]
pub struct Rotation(Arc<AtomicBool>);

impl Rotation {
    /// Takes the second instance out of rotation.
    pub fn remove_second(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn choose(&self, fronts: &[SocketAddr], number: usize) -> SocketAddr {
        if self.0.load(Ordering::Relaxed) { fronts[0] } else { fronts[number % fronts.len()] }
    }
}

/// A request that was sent on a kept connection.
pub struct Ended {
    pub front: SocketAddr,
    pub took: Duration,
}

/// Callers that send until they are stopped.
pub struct Callers {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    ended: Arc<Mutex<Vec<Ended>>>,
}

impl Callers {
    /// Starts the callers.
    pub fn start(
        fronts: &[SocketAddr],
        rotation: &Rotation,
        habit: &Habit,
        record: &Arc<Record>,
    ) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let ended: Arc<Mutex<Vec<Ended>>> = Arc::default();
        let threads = (0..habit.callers).map(|caller| {
            let (is_stopped, ended) = (Arc::clone(&is_stopped), Arc::clone(&ended));
            let (rotation, fronts) = (rotation.clone(), fronts.to_vec());
            let (record, habit) = (Arc::clone(record), habit.clone());
            thread::spawn(move || {
                thread::sleep(habit.interval.mul_f64(caller as f64 / habit.callers as f64));
                let connections = habit.connections_per_caller;
                let mut kept: Vec<Option<Kept>> = (0..connections).map(|_| None).collect();
                let mut next = Instant::now();
                for number in 0.. {
                    if is_stopped.load(Ordering::Relaxed) {
                        return;
                    }
                    let front = rotation.choose(&fronts, caller + number);
                    let slot = &mut kept[number % connections];
                    if let Some(request) = send(slot, front, &habit.kind, &record) {
                        ended.lock().expect("a lock").push(request);
                    }
                    next += habit.interval;
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            })
        });
        let threads = threads.collect();
        Self { is_stopped, threads, ended }
    }

    /// Stops the callers, which closes their connections, and returns what was sent.
    pub fn stop(self) -> Vec<Ended> {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        std::mem::take(&mut *self.ended.lock().expect("a lock"))
    }
}

/// Sends a request on a kept connection, or on a new one if there is none. A connection that fails is
/// given up. `None` if no connection could be opened.
fn send(slot: &mut Option<Kept>, front: SocketAddr, kind: &Kind, record: &Record) -> Option<Ended> {
    if slot.is_none() {
        *slot = Kept::open(front).ok();
    }
    let connection = slot.as_ref()?;
    let (request, text) = new_request(kind);
    let front = connection.peer;
    record.note(&format!("{request} sent to {front}"));
    let started = Instant::now();
    let result = connection.call(&text, kind.deadline);
    let took = started.elapsed();
    let end = match &result {
        Ok(response) => format!("answered {}", response.status()),
        Err(error) => format!("not answered: {error}"),
    };
    record.note(&format!("{request} after {:.3} s {end}", took.as_secs_f64()));
    let is_kept = result.is_ok_and(|response| response.header("connection") != Some("close"));
    if !is_kept {
        *slot = None;
    }
    Some(Ended { front, took })
}
