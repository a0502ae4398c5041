//! Polls the admin listeners of all instances: their readiness for the load balancer, and samples
//! of their status for the checks of the guarantees.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use cactustrack_test_support::caller::Call;
use eyre::{Result, WrapErr};
use futures::future::join_all;
use serde_json::Value;

use crate::fleet::{Directory, Endpoint, get_json, lock};

/// Interval of readiness checks.
const READY_INTERVAL: Duration = Duration::from_millis(100);

/// Number of readiness checks for each sample of the status. A sample is thus due every 200 ms.
const CHECKS_PER_SAMPLE: u32 = 2;

/// Timeout of a request to an admin listener.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Capacity of a service, as reported by an instance.
#[derive(Clone, Debug)]
pub(crate) struct Capacity {
    pub(crate) service: String,
    /// Sum of the weights of the upstreams. The weight 1 stands for all slots of an upstream.
    pub(crate) weight_sum: f64,
    pub(crate) floor_slots: f64,
}

/// State of an instance at one time.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    /// Id and incarnation of the instance.
    pub(crate) instance: (String, u64),
    /// Time at which the sample was requested.
    pub(crate) at: Instant,
    pub(crate) version: u64,
    pub(crate) capacities: Vec<Capacity>,
}

/// Samples taken so far.
#[derive(Default)]
pub(crate) struct Samples {
    pub(crate) taken: Vec<Sample>,
    /// Number of samples that failed although the instance had been ready before.
    pub(crate) missed: u64,
}

/// Polls the instances on its own thread. Dropping it stops the thread.
pub(crate) struct Sampler {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Sampler {
    /// Starts polling the instances of the directory.
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
    // Incarnations of the instances that were ready before.
    let mut was_ready = BTreeSet::new();
    let mut round = 0;
    while !stop.load(Ordering::SeqCst) {
        let endpoints = lock(directory).clone();
        let ready = join_all(endpoints.iter().map(is_ready)).await;
        for (endpoint, ready) in endpoints.iter().zip(ready) {
            if ready {
                was_ready.insert(endpoint.incarnation);
            }
            let mut directory = lock(directory);
            let entry =
                directory.iter_mut().find(|entry| entry.incarnation == endpoint.incarnation);
            if let Some(entry) = entry {
                entry.ready = ready;
            }
        }
        if round % CHECKS_PER_SAMPLE == 0 {
            let sampled = endpoints.iter().filter(|e| was_ready.contains(&e.incarnation));
            let taken = join_all(sampled.map(sample)).await;
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
    let response = compio::time::timeout(ADMIN_TIMEOUT, call.send_async(endpoint.addresses.admin));
    matches!(response.await, Ok(Ok(response)) if response.status.is_success())
}

async fn sample(endpoint: &Endpoint) -> Result<Sample> {
    let at = Instant::now();
    let status = status(endpoint).await?;
    let services = status["services"].as_array();
    Ok(Sample {
        instance: (endpoint.id.clone(), endpoint.incarnation),
        at,
        version: status["configuration"]["version"].as_u64().unwrap_or_default(),
        capacities: services.into_iter().flatten().map(capacity).collect(),
    })
}

async fn status(endpoint: &Endpoint) -> Result<Value> {
    let response = get_json(endpoint.addresses.admin, "/status");
    compio::time::timeout(ADMIN_TIMEOUT, response).await.wrap_err("the admin listener timed out")?
}

/// Returns the status documents of all ready instances by instance id.
pub(crate) async fn statuses(endpoints: &[Endpoint]) -> Result<BTreeMap<String, Value>> {
    let ready = endpoints.iter().filter(|endpoint| endpoint.ready);
    let responses = ready.map(async |endpoint| Ok((endpoint.id.clone(), status(endpoint).await?)));
    join_all(responses).await.into_iter().collect()
}

/// Returns the weight and the standing of an upstream in a status document.
pub(crate) fn standing<'a>(status: &'a Value, upstream: &str) -> Option<(f64, &'a str)> {
    let services = status["services"].as_array()?;
    let mut upstreams = services.iter().filter_map(|s| s["upstreams"].as_array()).flatten();
    let found = upstreams.find(|entry| entry["id"] == upstream)?;
    Some((found["weight"].as_f64()?, found["standing"].as_str()?))
}

fn capacity(service: &Value) -> Capacity {
    let upstreams = service["upstreams"].as_array().into_iter().flatten();
    let weight_sum: f64 = upstreams.filter_map(|upstream| upstream["weight"].as_f64()).sum();
    Capacity {
        service: service["id"].as_str().unwrap_or_default().to_owned(),
        weight_sum,
        floor_slots: service["floor_slots"].as_f64().unwrap_or_default(),
    }
}
