//! Accepts connections on a listener whose errors are temporary.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactustrack_observe::{Metrics, RateLimit};
use compio::net::{TcpListener, TcpStream};
use slog::Logger;

/// Delay after a failed accept. Without a free file descriptor, accepting fails at once, and a loop
/// that does not wait keeps the event loop from closing the connections that would free one.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Minimum interval between two log lines about failed accepts.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A listening socket.
pub struct Acceptor {
    listener: TcpListener,
    /// Name of the listener in the log and the metrics.
    name: &'static str,
    metrics: Metrics,
    log: Logger,
    log_limit: RefCell<RateLimit>,
}

impl Acceptor {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        name: &'static str,
        metrics: Metrics,
        log: Logger,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let log_limit = RefCell::new(RateLimit::new(LOG_INTERVAL));
        Ok(Self { listener, name, metrics, log, log_limit })
    }

    /// Returns the address of the listener.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report the address.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns the next connection. Retries after a failure, for example when the process is out of
    /// file descriptors.
    pub async fn accept(&self) -> TcpStream {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => return stream,
                Err(error) => {
                    self.on_failure(&error);
                    compio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn on_failure(&self, error: &io::Error) {
        self.metrics.accept_failures.with_label_values(&[self.name]).inc();
        if let Some(suppressed) = self.log_limit.borrow_mut().allow(Instant::now()) {
            slog::warn!(self.log, "proxy: cannot accept a connection";
                "listener" => self.name, "error" => %error, "left_out" => suppressed);
        }
    }
}
