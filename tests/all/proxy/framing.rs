//! Requests with two body lengths, pipelined with valid ones.

use std::io::Write;

use super::harness::{RawUpstream, Setup, read_all};

/// Guards against a check of raw request heads that loses the message boundaries after bodies, so
/// that it rejects valid requests or misses ambiguous ones. The bytes are split at every seventh
/// position.
#[test]
fn pipelined_requests_are_framed_correctly_when_split() {
    const REQUESTS: &str = "\r\nPOST /1 HTTP/1.1\r\nhost: a\r\nCONTENT-LENGTH: 4\r\n\r\n\r\n\r\n\
        POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\
        A;x=\"y\"\r\nContent-Le\r\n2\r\n\r\n\r\n0\r\nx-trailer: 1\r\n\r\n\
        GET /3 HTTP/1.1\r\nHost: a\r\n\r\n\
        POST /4 HTTP/1.1\r\nHost: a\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n\
        0\r\n\r\n";
    let upstream = RawUpstream::responding("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    let harness = Setup::with(&[("up-0", upstream.address)]).start();
    let positions: Vec<usize> = (1..REQUESTS.len()).step_by(7).collect();
    for &at in &positions {
        let mut stream = harness.connect();
        stream.set_nodelay(true).expect("a socket option");
        stream.write_all(&REQUESTS.as_bytes()[..at]).expect("the first part");
        std::thread::yield_now();
        stream.write_all(&REQUESTS.as_bytes()[at..]).expect("the second part");
        let responses = read_all(&mut stream);
        let statuses: Vec<&str> =
            responses.split("HTTP/1.1 ").skip(1).map(|response| &response[..3]).collect();
        assert_eq!(statuses, ["200", "200", "200", "400"], "split at {at}: {responses}");
    }
}
