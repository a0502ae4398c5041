//! Requests that arrive at the moment at which a graceful shutdown starts.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use cactustrack_proxy::{Pool, PoolLimits, Server, ServerLimits};
use cactustrack_test_support::upstream::Behaviour;

use super::fakes::{EventLog, FakeRecords};
use super::harness::{Setup, connect, read_all, upstreams};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// Time that the kernel needs to deliver bytes on the loopback interface.
const DELIVERY_TIME: Duration = Duration::from_millis(50);

/// Guards against a complete request that is lost without a response, because its connection is closed
/// before its bytes were read. The users' benchmark failed (LOST) on a slow machine: the request was
/// 340 ms old.
#[test]
fn a_request_that_has_arrived_when_a_shutdown_starts_is_answered() {
    #[derive(Clone, Copy, Debug)]
    enum Arrival {
        /// The connection waits to be accepted.
        Unaccepted,
        /// The connection was accepted, and nothing was sent on it before.
        Unused,
        /// The connection is kept open after a first request.
        Kept,
    }
    for arrival in [Arrival::Unaccepted, Arrival::Unused, Arrival::Kept] {
        let up = upstreams(&["up-0"], &Behaviour::default());
        let setup = Setup::with(&[("up-0", up.all[0].address)]);
        let runtime = compio::runtime::Runtime::new().expect("a runtime");
        let response = runtime.block_on(async move {
            let pool = Pool::new(PoolLimits::default());
            let proxy = setup.proxy(pool, EventLog::default(), FakeRecords::default());
            let address = "127.0.0.1:0".parse().expect("an address");
            let bound = Server::bind(address, proxy, ServerLimits::default()).await;
            let (server, shutdown) = bound.expect("a free port");
            let address = server.local_address().expect("a bound address");
            let mut caller: TcpStream;
            let serving = if let Arrival::Unaccepted = arrival {
                caller = connect(address);
                caller.write_all(REQUEST).expect("a request");
                // The event loop does not run meanwhile.
                thread::sleep(DELIVERY_TIME);
                shutdown.start();
                compio::runtime::spawn(server.run())
            } else {
                let serving = compio::runtime::spawn(server.run());
                caller = connect(address);
                if let Arrival::Kept = arrival {
                    caller.write_all(REQUEST).expect("a request");
                }
                compio::time::sleep(DELIVERY_TIME * 4).await;
                caller.write_all(REQUEST).expect("a request");
                thread::sleep(DELIVERY_TIME);
                shutdown.start();
                serving
            };
            let reading = thread::spawn(move || read_all(&mut caller));
            let _ = serving.await;
            reading.join().expect("a response")
        });
        let expected = if let Arrival::Kept = arrival { 2 } else { 1 };
        let answered = response.matches("HTTP/1.1 200").count();
        assert_eq!(answered, expected, "{arrival:?}: {response:?}");
    }
}
