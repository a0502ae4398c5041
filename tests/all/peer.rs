//! Tests of the RPC between instances (`cactustrack-peer`).

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cactustrack_members::{
    ConfigChunk, ConfigHead, ConfigWant, Doubt, Heard, Identity, MAX_CHUNK_BYTES, MemberEntry,
    MemberStatus, MembersDelta,
};
use cactustrack_peer::codec::Message;
use cactustrack_peer::frame::{FrameReader, HEADER_BYTES, MAX_FRAME_BYTES};
use cactustrack_peer::handshake::{
    CLIENT_HELLO_BYTES, ClientHandshake, PROOF_BYTES, SERVER_HELLO_BYTES, ServerHandshake,
};
use cactustrack_peer::{
    CallError, KnownSeq, PeerCounters, PeerFault, PeerHandler, PeerKey, PeerMethod, PeerPool,
    PeerServer, PoolConfig, Report, ReportEntry, ReportReply, ServerConfig, ServiceVerdicts,
    SyncReply, SyncRequest,
};
use cactustrack_types::{Counts, Incarnation, Scope, Verdict, VerdictHealth};
use compio::buf::BufResult;
use compio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use proptest::prelude::*;

use crate::members::identity;

const LOOPBACK: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);
/// Timeout of operations that end much sooner even on a slow machine.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);

fn key() -> PeerKey {
    PeerKey::new(b"a key for the tests").expect("key is long enough")
}

fn report() -> Report {
    let counts = Counts { ok: 40, failed: 2, ..Counts::default() };
    let entry = |service: &str, upstream: &str| ReportEntry {
        service: service.into(),
        upstream: upstream.into(),
        incarnation: Incarnation(u64::MAX),
        counts,
    };
    let known = |service: &str, seq| KnownSeq { service: service.into(), seq };
    Report {
        observer: "i001".into(),
        incarnation: Incarnation(1),
        seq: 7,
        failure_domain: "zone-1".into(),
        entries: vec![entry("pulih", "p1"), entry("pulih", "p2"), entry("muat", "m1")],
        collector: Incarnation(3),
        known_seqs: vec![known("pulih", 9), known("katalog", 0)],
    }
}

fn report_reply() -> ReportReply {
    let verdict = |health| Verdict {
        upstream: "p1".into(),
        incarnation: Incarnation(5),
        health,
        score: 7.5,
        threshold: 6.0,
        evidence: Counts { ok: 1, refused: 2, shed: u32::MAX, ..Counts::default() },
        observers: 40,
        seq: 12,
    };
    let verdicts = vec![
        verdict(VerdictHealth::Healthy),
        verdict(VerdictHealth::Faulty { scope: Scope::Everywhere }),
        verdict(VerdictHealth::Faulty { scope: Scope::Domain("zone-1".into()) }),
    ];
    let services = vec![ServiceVerdicts { service: "pulih".into(), seq: 12, verdicts }];
    ReportReply {
        collector: "i002".into(),
        incarnation: Incarnation(3),
        services,
        not_collected: vec!["muat".into()],
        excluded: vec!["pulih".into()],
    }
}

fn delta(entries: u16) -> MembersDelta {
    let entry = |n| MemberEntry { identity: identity(n, 4, 2), status: MemberStatus::Suspect };
    MembersDelta {
        root: 77,
        buckets: vec![1, 0, u32::MAX],
        entries: (0..entries).map(entry).collect(),
        doubts: vec![Doubt { id: "i003".into(), incarnation: Incarnation(1) }],
        heard: vec![Heard { id: "i004".into(), incarnation: Incarnation(1), age_ms: 17 }],
        unreachable: true,
    }
}

fn sync_request() -> SyncRequest {
    let head = ConfigHead { version: 5, checksum: Arc::from([9; 32]) };
    SyncRequest {
        sender: identity(1, 1, 0),
        config: Some(head.clone()),
        want: Some(ConfigWant { head, offset: 12 }),
        members: delta(3),
    }
}

/// Returns the largest reply that instances send: a full chunk of a configuration and full lists.
fn sync_reply() -> SyncReply {
    let head = ConfigHead { version: 6, checksum: Arc::from([8; 32]) };
    let bytes: Vec<u8> = (0..MAX_CHUNK_BYTES).map(|n| (n * 7) as u8 | 1).collect();
    SyncReply {
        responder: identity(2, 1, 0),
        config: None,
        chunk: Some(ConfigChunk { head, part_lengths: vec![1 << 20; 3], offset: 1, bytes }),
        members: delta(65),
    }
}

/// Returns fixed replies and records the sync requests.
struct Handler {
    requests: RefCell<Vec<SyncRequest>>,
}

impl PeerHandler for Handler {
    fn hello(&self, _from: Identity) -> Identity {
        identity(2, 1, 0)
    }

    fn report(&self, report: Report) -> ReportReply {
        assert_eq!(report, self::report());
        report_reply()
    }

    fn sync(&self, request: SyncRequest) -> SyncReply {
        self.requests.borrow_mut().push(request);
        sync_reply()
    }
}

/// A server and a pool, each with its own counters.
struct Harness {
    server: PeerServer,
    server_counters: Rc<PeerCounters>,
    pool: PeerPool,
    pool_counters: Rc<PeerCounters>,
}

async fn harness(pool_key: PeerKey, config: PoolConfig) -> Harness {
    let (server_counters, pool_counters) = (Rc::default(), Rc::default());
    let server = bind(LOOPBACK.into(), &server_counters).await;
    let pool = PeerPool::new(pool_key, Rc::clone(&pool_counters), config);
    Harness { server, server_counters, pool, pool_counters }
}

async fn bind(address: SocketAddr, counters: &Rc<PeerCounters>) -> PeerServer {
    let handler = Rc::new(Handler { requests: RefCell::default() });
    let config = ServerConfig { handshake_timeout: LONG_TIMEOUT, ..ServerConfig::default() };
    PeerServer::bind(address, key(), handler, counters.clone(), config)
        .await
        .expect("loopback port")
}

fn long_timeouts() -> PoolConfig {
    PoolConfig {
        connect_timeout: LONG_TIMEOUT,
        call_timeout: LONG_TIMEOUT,
        ..PoolConfig::default()
    }
}

fn run<T>(test: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().expect("runtime").block_on(test)
}

async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..6000 {
        if condition() {
            return;
        }
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("condition not met within a minute: {what}");
}

fn all_faults(counters: &PeerCounters) -> Vec<(PeerFault, u64)> {
    let count = |fault| (fault, counters.faults(fault));
    PeerFault::ALL.into_iter().map(count).filter(|(_, count)| *count > 0).collect()
}

/// Guards against fields that are lost or changed in transit, and against messages that pass the
/// size check of the sender but do not fit into a frame.
#[test]
fn messages_are_unchanged_in_transit() {
    run(async {
        let f = harness(key(), long_timeouts()).await;
        let to = f.server.local_addr();
        assert_eq!(f.pool.hello(to, &identity(1, 1, 0)).await.unwrap(), identity(2, 1, 0));
        assert_eq!(f.pool.report(to, &report()).await.unwrap(), report_reply());
        assert_eq!(f.pool.sync(to, &sync_request()).await.unwrap(), sync_reply());
        let request = sync_request().encode().unwrap();
        assert_eq!(SyncRequest::decode(&request).unwrap(), sync_request());
        // Only the call with the oversized message fails; the connection stays open.
        let oversized = SyncRequest { members: delta(3000), ..sync_request() };
        let failed = f.pool.sync(to, &oversized).await;
        assert!(matches!(failed, Err(CallError::Failed { .. })), "{failed:?}");
        f.pool.hello(to, &identity(1, 1, 0)).await.unwrap();
        assert_eq!((f.pool.connections(), f.server.connections()), (1, 1));
        for method in [PeerMethod::Hello, PeerMethod::Report, PeerMethod::Sync] {
            let sent = f.pool_counters.traffic(method);
            let received = f.server_counters.traffic(method);
            assert!(sent.sent_bytes > 0 && sent.received_bytes > 0, "{method}");
            assert_eq!(sent.received_bytes, received.sent_bytes, "{method}");
        }
        assert_eq!(all_faults(&f.server_counters), []);
    });
}

/// Forwards one connection, and replaces the first two frames of the client with the result of
/// `replace`.
async fn intercept(
    listener: TcpListener,
    to: SocketAddr,
    replace: fn(Vec<u8>, Vec<u8>) -> Replacement,
) {
    let (mut client, _) = listener.accept().await.expect("connection");
    let mut server = TcpStream::connect(to).await.expect("connection");
    copy(&mut client, &mut server, CLIENT_HELLO_BYTES).await;
    copy(&mut server, &mut client, SERVER_HELLO_BYTES).await;
    copy(&mut client, &mut server, PROOF_BYTES).await;
    let (from, back) = (server.clone(), client.clone());
    compio::runtime::spawn(copy_all(from, back)).detach();
    let (first, second) = (read_frame(&mut client).await, read_frame(&mut client).await);
    let Replacement { bytes, ends_stream } = replace(first, second);
    // The server may close the connection before it has read all bytes.
    let _ = server.write_all(bytes).await;
    if ends_stream {
        server.shutdown().await.expect("open stream");
    }
    std::future::pending::<()>().await;
}

/// Bytes that the server receives in place of the first two frames of the client.
struct Replacement {
    bytes: Vec<u8>,
    /// Whether the stream ends after the bytes.
    ends_stream: bool,
}

impl From<Vec<u8>> for Replacement {
    fn from(bytes: Vec<u8>) -> Self {
        Self { bytes, ends_stream: false }
    }
}

async fn copy(from: &mut TcpStream, to: &mut TcpStream, bytes: usize) {
    let BufResult(result, buf) = from.read_exact(vec![0; bytes]).await;
    result.expect("open stream");
    to.write_all(buf).await.unwrap();
}

async fn copy_all(mut from: TcpStream, mut to: TcpStream) {
    loop {
        let BufResult(result, buf) = from.read(Vec::with_capacity(65_536)).await;
        if result.is_err() || buf.is_empty() {
            let _ = to.shutdown().await;
            return;
        }
        let _ = to.write_all(buf).await;
    }
}

async fn read_frame(from: &mut TcpStream) -> Vec<u8> {
    let BufResult(result, header) = from.read_exact([0; HEADER_BYTES]).await;
    result.expect("open stream");
    let payload = FrameReader::payload_bytes(&header).expect("length within the limit");
    let BufResult(result, payload) = from.read_exact(vec![0; payload]).await;
    result.expect("open stream");
    [&header[..], &payload[..]].concat()
}

/// Guards against an authenticated connection that stays open after a changed, replayed, reordered,
/// lost, truncated or oversized frame.
#[test]
fn tampered_frames_close_the_connection() {
    struct Case {
        name: &'static str,
        replace: fn(Vec<u8>, Vec<u8>) -> Replacement,
        fault: PeerFault,
    }
    let cases = [
        Case {
            name: "a payload byte is changed",
            replace: |mut a, _| {
                a[HEADER_BYTES] ^= 1;
                a.into()
            },
            fault: PeerFault::Forged,
        },
        Case {
            name: "the sequence number is changed",
            replace: |mut a, _| {
                a[4] ^= 1;
                a.into()
            },
            fault: PeerFault::Forged,
        },
        Case {
            name: "a frame is replayed",
            replace: |a, _| [&a[..], &a[..]].concat().into(),
            fault: PeerFault::Replayed,
        },
        Case {
            name: "frames are reordered",
            replace: |a, b| [b, a].concat().into(),
            fault: PeerFault::Reordered,
        },
        Case { name: "a frame is lost", replace: |_, b| b.into(), fault: PeerFault::Reordered },
        Case {
            name: "a frame is truncated",
            replace: |mut a, _| {
                a.pop();
                Replacement { bytes: a, ends_stream: true }
            },
            fault: PeerFault::Truncated,
        },
        Case {
            name: "the stream ends in a header",
            replace: |a, _| Replacement {
                bytes: a[..HEADER_BYTES - 1].to_vec(),
                ends_stream: true,
            },
            fault: PeerFault::Truncated,
        },
        Case {
            name: "the length exceeds the limit",
            replace: |mut a, _| {
                let length = u32::try_from(MAX_FRAME_BYTES - HEADER_BYTES + 1).unwrap();
                a[..4].copy_from_slice(&length.to_le_bytes());
                a.into()
            },
            fault: PeerFault::Oversized,
        },
    ];
    for case in cases {
        run(async {
            let f = harness(key(), long_timeouts()).await;
            let listener = TcpListener::bind(LOOPBACK).await.unwrap();
            let to = listener.local_addr().unwrap();
            let proxy =
                compio::runtime::spawn(intercept(listener, f.server.local_addr(), case.replace));
            let reply = f.pool.sync(to, &sync_request()).await;
            assert!(matches!(reply, Err(CallError::Closed { .. })), "{}: {reply:?}", case.name);
            assert_eq!(all_faults(&f.server_counters), [(case.fault, 1)], "{}", case.name);
            wait_until(case.name, || f.server.connections() == 0).await;
            drop(proxy);
        });
    }
}

/// Guards against a handshake that succeeds without the shared key: with another key, or with a
/// replayed or reflected proof.
#[test]
fn handshake_requires_the_key() {
    let other = PeerKey::new(b"another key for the tests").unwrap();
    let hello = |key: &PeerKey| ClientHandshake::new(key.clone(), [1; 32]);
    let accept = |message: &_| ServerHandshake::new(key(), [2; 32], message);
    // A server with another key, then a replayed reply to another nonce.
    let (_, reply) = ServerHandshake::new(other.clone(), [2; 32], &hello(&key()).hello()).unwrap();
    assert_eq!(hello(&key()).finish(&reply).unwrap_err(), PeerFault::WrongKey);
    let (_, reply) = accept(&ClientHandshake::new(key(), [3; 32]).hello()).unwrap();
    assert_eq!(hello(&key()).finish(&reply).unwrap_err(), PeerFault::WrongKey);
    // The nonce of the client reflected by the server, then the proof of the server reflected by
    // the client.
    let mut reflected = [0; SERVER_HELLO_BYTES];
    reflected[..32].copy_from_slice(&[1; 32]);
    assert_eq!(hello(&key()).finish(&reflected).unwrap_err(), PeerFault::ReflectedChallenge);
    let (server, reply) = accept(&hello(&key()).hello()).unwrap();
    let mut proof = [0; PROOF_BYTES];
    proof.copy_from_slice(&reply[32..]);
    assert_eq!(server.finish(&proof).unwrap_err(), PeerFault::WrongKey);
    // A greeting of another protocol.
    let unknown = accept(&[b'G'; CLIENT_HELLO_BYTES]).map(|_| ()).unwrap_err();
    assert_eq!(unknown, PeerFault::UnknownProtocol);
    run(async {
        let f = harness(other, long_timeouts()).await;
        let failed = f.pool.hello(f.server.local_addr(), &identity(1, 1, 0)).await;
        assert_eq!(failed, Err(CallError::Handshake { fault: PeerFault::WrongKey }));
        assert_eq!(all_faults(&f.pool_counters), [(PeerFault::WrongKey, 1)]);
    });
}

/// Guards against an instance that stays unreachable because the open connection to it stopped
/// transferring data, or because it was restarted.
#[test]
fn broken_connections_are_replaced() {
    run(async {
        let config = PoolConfig { call_timeout: Duration::from_millis(200), ..long_timeouts() };
        let f = harness(key(), config).await;
        let listener = TcpListener::bind(LOOPBACK).await.unwrap();
        let to = listener.local_addr().unwrap();
        let server = f.server.local_addr();
        let blackhole = intercept(listener.clone(), server, |_, _| Vec::new().into());
        let blackhole = compio::runtime::spawn(blackhole);
        assert_eq!(f.pool.sync(to, &sync_request()).await, Err(CallError::Timeout));
        assert_eq!(f.pool.connections(), 0);
        drop(blackhole);
        let passthrough = intercept(listener, server, |a, b| [a, b].concat().into());
        let passthrough = compio::runtime::spawn(passthrough);
        // On a slow machine the call may also exceed the short timeout on the new connection, but
        // the connection has to be established.
        let reply = f.pool.sync(to, &sync_request()).await;
        assert!(matches!(reply, Ok(_) | Err(CallError::Timeout)), "{reply:?}");
        drop(passthrough);
        let f = harness(key(), long_timeouts()).await;
        let to = f.server.local_addr();
        f.pool.hello(to, &identity(1, 1, 0)).await.unwrap();
        drop(f.server);
        wait_until("connection is closed", || f.pool.connections() == 0).await;
        let server = bind(to, &f.server_counters).await;
        f.pool.hello(server.local_addr(), &identity(1, 1, 0)).await.unwrap();
    });
}

/// Guards against an unlimited number of calls in flight and idle connections that are never
/// closed.
#[test]
fn connections_and_calls_are_bounded() {
    run(async {
        let idle_timeout = Duration::from_millis(50);
        let config = PoolConfig { idle_timeout, max_in_flight_per_peer: 2, ..long_timeouts() };
        let f = harness(key(), config).await;
        let to = f.server.local_addr();
        let own = identity(1, 1, 0);
        let call = || f.pool.hello(to, &own);
        let (a, b, c) = futures::join!(call(), call(), call());
        assert!(a.is_ok() && b.is_ok());
        assert_eq!(c, Err(CallError::Busy));
        wait_until("idle connection is closed", || f.server.connections() == 0).await;
        assert_eq!(f.pool.connections(), 0);
        assert!(call().await.is_ok());
        assert_eq!(all_faults(&f.server_counters), []);
    });
}

proptest! {
    /// Guards against input that makes a decoder panic, and against a frame header with too large a
    /// payload length that passes the length check.
    #[test]
    fn decoders_do_not_panic_on_arbitrary_input(
        arbitrary in prop::collection::vec(any::<u8>(), 0..600),
        at in any::<prop::sample::Index>(),
        value in any::<u8>(),
        header in any::<[u8; HEADER_BYTES]>(),
    ) {
        let valid = [
            report().encode().unwrap(),
            report_reply().encode().unwrap(),
            sync_request().encode().unwrap(),
        ];
        let mutated = valid.into_iter().map(|mut bytes| {
            let at = at.index(bytes.len());
            bytes[at] = value;
            bytes
        });
        for bytes in mutated.chain([arbitrary]) {
            let _ = Identity::decode(&bytes);
            let _ = Report::decode(&bytes);
            let _ = ReportReply::decode(&bytes);
            let _ = SyncRequest::decode(&bytes);
            let _ = SyncReply::decode(&bytes);
        }
        if let Ok(payload) = FrameReader::payload_bytes(&header) {
            prop_assert!(payload <= MAX_FRAME_BYTES - HEADER_BYTES);
        }
    }
}

/// Guards against a small packed message that makes the receiver allocate much more memory than
/// the size of a frame.
#[test]
fn messages_that_unpack_beyond_the_limit_are_rejected() {
    // One segment of zero words, which decodes as an empty reply. Each pair of bytes encodes 256
    // words.
    let zeros = |runs: u32| {
        let words = (256 * runs).to_le_bytes();
        let table = [&[0xf0][..], &words].concat();
        [table, [0x00, 0xff].repeat(runs as usize)].concat()
    };
    let max_runs = u32::try_from(MAX_FRAME_BYTES / 8 / 256).unwrap();
    assert!(ReportReply::decode(&zeros(max_runs)).is_ok());
    assert!(ReportReply::decode(&zeros(max_runs + 1)).is_err());
    assert!(ReportReply::decode(&zeros(60_000)).is_err());
}
