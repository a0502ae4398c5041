//! Load balancer and sampler: polls the admin listeners of all instances.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use cactustrack_test_support::caller::Call;
use eyre::{Result, WrapErr};
use futures::future::join_all;
use serde_json::Value;

use crate::fleet::{Directory, Endpoint, ask, lock};

/// Interval of readiness checks.
const READY_INTERVAL: Duration = Duration::from_millis(100);

/// Readiness checks for each sample of the status, which is taken every 200 ms.
const CHECKS_PER_SAMPLE: u32 = 2;

/// Longest wait for an admin listener.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// Capacity of a service in the view of an instance.
#[derive(Clone, Debug)]
pub(crate) struct Capacity {
    pub(crate) service: String,
    /// Sum of the weights of its upstreams, each of which stands for all slots of one.
    pub(crate) weights: f64,
    pub(crate) floor_slots: f64,
}

/// State of an instance at one moment.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    pub(crate) instance: (String, u64),
    /// When the sample was asked for.
    pub(crate) at: Instant,
    pub(crate) version: u64,
    pub(crate) capacities: Vec<Capacity>,
}

/// What was sampled so far.
#[derive(Default)]
pub(crate) struct Samples {
    pub(crate) taken: Vec<Sample>,
    /// Samples without an answer from an instance that had been ready.
    pub(crate) missed: u64,
}

/// Polls on a thread of its own.
pub(crate) struct Sampler {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Sampler {
    /// Starts to poll the instances of the directory.
    pub(crate) fn start(directory: &Directory, samples: &Arc<Mutex<Samples>>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (directory, samples) = (Arc::clone(directory), Arc::clone(samples));
        let stopping = Arc::clone(&stop);
        let thread = thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime for the sampler");
            runtime.block_on(poll(&directory, &samples, &stopping));
        });
        Self { stop, thread: Some(thread) }
    }
}

impl Drop for Sampler {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn poll(directory: &Directory, samples: &Mutex<Samples>, stop: &AtomicBool) {
    let mut known = BTreeSet::new();
    let mut round = 0;
    while !stop.load(Ordering::SeqCst) {
        let endpoints = lock(directory).clone();
        let ready = join_all(endpoints.iter().map(is_ready)).await;
        for (endpoint, ready) in endpoints.iter().zip(ready) {
            if ready {
                known.insert(endpoint.life);
            }
            let mut directory = lock(directory);
            let entry = directory.iter_mut().find(|entry| entry.life == endpoint.life);
            if let Some(entry) = entry {
                entry.ready = ready;
            }
        }
        if round % CHECKS_PER_SAMPLE == 0 {
            let known = endpoints.iter().filter(|endpoint| known.contains(&endpoint.life));
            let taken = join_all(known.map(sample)).await;
            let mut samples = lock(samples);
            for sample in taken {
                match sample {
                    Ok(sample) => samples.taken.push(sample),
                    Err(_) => samples.missed += 1,
                }
            }
        }
        round += 1;
        compio::time::sleep(READY_INTERVAL).await;
    }
}

async fn is_ready(endpoint: &Endpoint) -> bool {
    let call = Call::get("admin", "/ready");
    let reply = compio::time::timeout(ASK_TIMEOUT, call.send_async(endpoint.addresses.admin));
    matches!(reply.await, Ok(Ok(reply)) if reply.status.is_success())
}

async fn sample(endpoint: &Endpoint) -> Result<Sample> {
    let at = Instant::now();
    let status = status(endpoint).await?;
    let services = status["services"].as_array();
    Ok(Sample {
        instance: (endpoint.id.clone(), endpoint.life),
        at,
        version: status["configuration"]["version"].as_u64().unwrap_or_default(),
        capacities: services.into_iter().flatten().map(capacity).collect(),
    })
}

async fn status(endpoint: &Endpoint) -> Result<Value> {
    let asking = ask(endpoint.addresses.admin, "/status");
    compio::time::timeout(ASK_TIMEOUT, asking).await.wrap_err("no answer in time")?
}

/// Statuses of all instances that are ready, by the id of the instance.
pub(crate) async fn statuses(endpoints: &[Endpoint]) -> Result<BTreeMap<String, Value>> {
    let ready = endpoints.iter().filter(|endpoint| endpoint.ready);
    let asked = ready.map(async |endpoint| Ok((endpoint.id.clone(), status(endpoint).await?)));
    join_all(asked).await.into_iter().collect()
}

/// Weight and standing of an upstream in a status.
pub(crate) fn standing<'a>(status: &'a Value, upstream: &str) -> Option<(f64, &'a str)> {
    let services = status["services"].as_array()?;
    let mut upstreams = services.iter().filter_map(|s| s["upstreams"].as_array()).flatten();
    let found = upstreams.find(|entry| entry["id"] == upstream)?;
    Some((found["weight"].as_f64()?, found["standing"].as_str()?))
}

fn capacity(service: &Value) -> Capacity {
    let upstreams = service["upstreams"].as_array().into_iter().flatten();
    let weights: f64 = upstreams.filter_map(|upstream| upstream["weight"].as_f64()).sum();
    Capacity {
        service: service["id"].as_str().unwrap_or_default().to_owned(),
        weights,
        floor_slots: service["floor_slots"].as_f64().unwrap_or_default(),
    }
}
