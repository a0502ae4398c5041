//! Fake of the platform's key-value store: the part of the etcd v3 JSON API that cactustrack uses,
//! with fault injection.

mod faults;
mod server;
pub mod state;
mod wire;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;

use compio::runtime::JoinHandle;
use futures::channel::{mpsc, oneshot};

pub use faults::{FakeStoreHandle, Outage, StoreCounters};

/// A fake store that runs on the current runtime until it is dropped.
pub struct FakeStore {
    address: SocketAddr,
    handle: FakeStoreHandle,
    _task: JoinHandle<()>,
}

impl FakeStore {
    /// Starts an empty store on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be opened.
    pub async fn start() -> io::Result<Self> {
        let port = server::PortReservation::new().await?;
        let listener = port.listen().await?;
        let (tx, rx) = mpsc::unbounded();
        let shared = Arc::new(Mutex::new(faults::Shared::default()));
        let handle = FakeStoreHandle { shared, control: tx };
        let address = port.address;
        let task = compio::runtime::spawn(server::run(handle.clone(), port, listener, rx));
        Ok(Self { address, handle, _task: task })
    }

    /// Starts an empty store on its own thread and runtime.
    ///
    /// # Errors
    ///
    /// Fails if the thread, the runtime or the socket cannot be created.
    pub fn spawn_thread() -> io::Result<FakeStoreThread> {
        let (started_tx, started_rx) = std::sync::mpsc::channel();
        let (stop_tx, stop_rx) = oneshot::channel::<()>();
        let thread = thread::Builder::new().name("store".into()).spawn(move || {
            let run = || -> io::Result<()> {
                compio::runtime::Runtime::new()?.block_on(async {
                    let server = Self::start().await?;
                    // `spawn_thread` waits for this message.
                    let _ = started_tx.send((server.address, server.handle()));
                    let _ = stop_rx.await;
                    Ok(())
                })
            };
            run()
        })?;
        match started_rx.recv() {
            Ok((address, handle)) => {
                Ok(FakeStoreThread { address, handle, stop: Some(stop_tx), thread: Some(thread) })
            }
            Err(_) => Err(thread_error(thread)),
        }
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the URL of the store.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns a handle to the fault controls and counters.
    pub fn handle(&self) -> FakeStoreHandle {
        self.handle.clone()
    }
}

impl Drop for FakeStore {
    fn drop(&mut self) {
        self.handle.lock().abort_connections();
    }
}

/// A fake store that runs on its own thread until it is dropped.
pub struct FakeStoreThread {
    address: SocketAddr,
    handle: FakeStoreHandle,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<io::Result<()>>>,
}

impl FakeStoreThread {
    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the URL of the store.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns a handle to the fault controls and counters.
    pub fn handle(&self) -> FakeStoreHandle {
        self.handle.clone()
    }
}

impl Drop for FakeStoreThread {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // An error of the thread also fails the test that uses the store.
            let _ = thread.join();
        }
    }
}

fn thread_error(thread: thread::JoinHandle<io::Result<()>>) -> io::Error {
    match thread.join() {
        Ok(Err(err)) => err,
        _ => io::Error::other("the store thread ended before it listened on its port"),
    }
}
