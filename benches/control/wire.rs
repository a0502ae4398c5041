//! Costs of calls over loopback with the shipped server and pool.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use cactustrack_members::{Identity, MembersDelta};
use cactustrack_peer::codec::Message;
use cactustrack_peer::{
    PeerCounters, PeerHandler, PeerKey, PeerMethod, PeerPool, PeerServer, PoolConfig, Report,
    ReportReply, ServerConfig, SyncReply, SyncRequest,
};
use cactustrack_types::Incarnation;

use crate::process;

const CALLS: u32 = 2_000;
const CONNECTIONS: u16 = 100;

/// What a call costs beyond the encoding of its messages and their handling.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallCost {
    /// Bytes in both directions: frames, envelopes and the release of the call.
    pub(crate) bytes_per_call: usize,
    /// Bytes in both directions for the handshake and the first exchange.
    pub(crate) bytes_per_connection: usize,
    /// Processor time of caller and callee.
    pub(crate) cpu_us_per_call: f64,
    pub(crate) cpu_us_per_connection: f64,
    /// Memory of an open connection at caller and callee.
    pub(crate) memory_bytes: f64,
}

struct Echo;

impl PeerHandler for Echo {
    fn hello(&self, from: Identity) -> Identity {
        from
    }

    fn report(&self, report: Report) -> ReportReply {
        ReportReply {
            collector: report.observer,
            incarnation: Incarnation(1),
            services: vec![],
            not_collected: vec![],
            excluded: vec![],
        }
    }

    fn sync(&self, request: SyncRequest) -> SyncReply {
        reply(&request)
    }
}

fn request() -> SyncRequest {
    let sender = Identity {
        id: "instance-000".into(),
        incarnation: Incarnation::new(1_800_000_000_000, 77),
        seq: 0,
        leaving: false,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7400)),
        failure_domain: "zone-0".into(),
        region: "region-0".into(),
    };
    SyncRequest { sender, config: None, want: None, members: MembersDelta::default() }
}

fn reply(request: &SyncRequest) -> SyncReply {
    SyncReply {
        responder: request.sender.clone(),
        config: None,
        chunk: None,
        members: MembersDelta::default(),
    }
}

async fn bind(key: &PeerKey) -> PeerServer {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    PeerServer::bind(address, key.clone(), Rc::new(Echo), Rc::default(), ServerConfig::default())
        .await
        .expect("a loopback port is free")
}

fn total_bytes(counters: &PeerCounters) -> usize {
    let bytes = PeerMethod::ALL.into_iter().map(|method| counters.traffic(method));
    bytes.map(|traffic| (traffic.sent_bytes + traffic.received_bytes) as usize).sum()
}

/// Measures connections to `CONNECTIONS` servers, then calls over one of them.
pub(crate) fn measure_call_cost() -> CallCost {
    let runtime = compio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let key = PeerKey::new(b"a key for the bench").expect("the key is long enough");
        let counters: Rc<PeerCounters> = Rc::default();
        let config = PoolConfig { call_timeout: Duration::from_secs(30), ..PoolConfig::default() };
        let pool = PeerPool::new(key.clone(), counters.clone(), config);
        let mut servers = Vec::new();
        for _ in 0..CONNECTIONS {
            servers.push(bind(&key).await);
        }
        let call = async |server: &PeerServer| {
            pool.sync(server.local_addr(), &request()).await.expect("a loopback call succeeds")
        };
        call(&servers[0]).await;
        let (memory, cpu) = (process::resident_bytes(), process::cpu_seconds());
        let before = total_bytes(&counters);
        for server in &servers[1..] {
            call(server).await;
        }
        let others = f64::from(CONNECTIONS - 1);
        let memory_bytes = (process::resident_bytes() - memory) / others;
        let first_bytes = (total_bytes(&counters) - before) / usize::from(CONNECTIONS - 1);
        let first_cpu = (process::cpu_seconds() - cpu) / others;

        let (before, cpu) = (total_bytes(&counters), process::cpu_seconds());
        for _ in 0..CALLS {
            call(&servers[0]).await;
        }
        let call_cpu = (process::cpu_seconds() - cpu) / f64::from(CALLS);
        let call_bytes = (total_bytes(&counters) - before) / CALLS as usize;
        let encoded = encoded_bytes();
        CallCost {
            bytes_per_call: call_bytes - encoded,
            bytes_per_connection: first_bytes - call_bytes,
            cpu_us_per_call: call_cpu * 1e6,
            cpu_us_per_connection: (first_cpu - call_cpu).max(0.0) * 1e6,
            memory_bytes,
        }
    })
}

fn encoded_bytes() -> usize {
    let request = request();
    let reply = reply(&request);
    let length = |bytes: Result<Vec<u8>, _>| bytes.map_or(0, |bytes| bytes.len());
    length(request.encode()) + length(reply.encode())
}
