# Messages between instances of a fleet. docs/design.md, section 5, describes the protocol.
#
# The generated code is committed. After a change of this file, run from the root:
#   capnp compile -o rust:crates/peer/src/generated \
#     --src-prefix=crates/peer/schema crates/peer/schema/peer.capnp
# with the capnpc-rust of the capnpc crate whose version matches the capnp crate.

@0xd8f1c2a76be3905d;

# One life of an instance, as the instance describes itself.
struct Identity {
  id @0 :Text;
  incarnation @1 :UInt64;
  # Grows each time the instance contradicts a statement of others about it.
  seq @2 :UInt32;
  leaving @3 :Bool;
  address @4 :Text;
  failureDomain @5 :Text;
  region @6 :Text;
}

enum MemberStatus {
  live @0;
  suspect @1;
  gone @2;
}

struct MemberEntry {
  identity @0 :Identity;
  status @1 :MemberStatus;
}

# A member that the sender gets no response from, or what the receiver knows about it.
struct Doubt {
  id @0 :Text;
  incarnation @1 :UInt64;
}

struct Heard {
  id @0 :Text;
  incarnation @1 :UInt64;
  ageMs @2 :UInt32;
}

struct MembersDelta {
  # Digest of the sender's entries. The buckets are left out of a reply.
  root @0 :UInt64;
  buckets @1 :List(UInt32);
  entries @2 :List(MemberEntry);
  doubts @3 :List(Doubt);
  heard @4 :List(Heard);
  # True if the sender's own calls to the receiver fail.
  unreachable @5 :Bool;
}

# Number of exchanges by outcome. Zeros cost nothing in the packed encoding.
struct Counts {
  ok @0 :UInt32;
  refused @1 :UInt32;
  failed @2 :UInt32;
  cutShort @3 :UInt32;
  slow @4 :UInt32;
  silent @5 :UInt32;
  shed @6 :UInt32;
}

struct UpstreamEvidence {
  upstream @0 :Text;
  incarnation @1 :UInt64;
  # The counts, without the pointer that a separate struct would cost.
  ok @2 :UInt32;
  refused @3 :UInt32;
  failed @4 :UInt32;
  cutShort @5 :UInt32;
  slow @6 :UInt32;
  silent @7 :UInt32;
  shed @8 :UInt32;
}

struct ServiceEvidence {
  service @0 :Text;
  upstreams @1 :List(UpstreamEvidence);
  # True if the observer follows the verdicts on this service, up to knownSeq.
  follows @2 :Bool;
  knownSeq @3 :UInt64;
}

struct Report {
  observer @0 :Text;
  incarnation @1 :UInt64;
  failureDomain @2 :Text;
  services @3 :List(ServiceEvidence);
  # Number of the report among those of the observer to the collector.
  seq @4 :UInt64;
  # Incarnation of the collector that assigned the known sequence numbers.
  collector @5 :UInt64;
}

struct Verdict {
  upstream @0 :Text;
  incarnation @1 :UInt64;
  faulty @2 :Bool;
  # Failure domain in which the fault is seen; absent if it is seen everywhere.
  domain @3 :Text;
  score @4 :Float64;
  threshold @5 :Float64;
  evidence @6 :Counts;
  observers @7 :UInt32;
  seq @8 :UInt64;
}

struct ServiceVerdicts {
  service @0 :Text;
  seq @1 :UInt64;
  verdicts @2 :List(Verdict);
}

struct ReportReply {
  collector @0 :Text;
  incarnation @1 :UInt64;
  # Services with changed verdicts. Verdicts on other services are confirmed by the reply.
  services @2 :List(ServiceVerdicts);
  # Services in the report that this instance does not collect.
  notCollected @3 :List(Text);
  # Services for which the evidence of the observer is not used, because most upstreams appear
  # faulty to it and healthy to others.
  excluded @4 :List(Text);
}

struct ConfigHead {
  # 0 if the sender has no configuration.
  version @0 :UInt64;
  checksum @1 :Data;
}

# Asks for the encoded configuration from an offset on.
struct ConfigWant {
  head @0 :ConfigHead;
  offset @1 :UInt32;
}

struct ConfigChunk {
  head @0 :ConfigHead;
  partLengths @1 :List(UInt32);
  offset @2 :UInt32;
  bytes @3 :Data;
}

struct SyncRequest {
  sender @0 :Identity;
  config @1 :ConfigHead;
  want @2 :ConfigWant;
  members @3 :MembersDelta;
}

struct SyncReply {
  responder @0 :Identity;
  config @1 :ConfigHead;
  chunk @2 :ConfigChunk;
  members @3 :MembersDelta;
}

interface Peer {
  hello @0 (identity :Identity) -> (identity :Identity);
  report @1 (report :Report) -> (reply :ReportReply);
  sync @2 (request :SyncRequest) -> (reply :SyncReply);
}
