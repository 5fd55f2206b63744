@0xd3a1f0b2c4e59687;

# Messages between instances. LibNet/PeerCodec.cpp converts them to and from the types of
# LibInstance/Messages.h.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("latchslip::wire");

struct Challenge { nonce @0 :Data; }

struct Hello {
  id @0 :Text;
  hall @1 :Text;
  nonce @2 :Data;
  proof @3 :Data;
}

struct Heartbeat {
  leaving @0 :Bool;
  viewDigest @1 :UInt64;
  viewAgeMicros @2 :Int64;
}

struct Suspicion {
  target @0 :Text;
  suspected @1 :Bool;
}

struct Stamp {
  key @0 :Text;
  version @1 :UInt64;
}

struct Row {
  key @0 :Text;
  version @1 :UInt64;
  value @2 :Text;
}

struct Request {
  id @0 :UInt64;
  service @1 :Text;
  group @2 :Text;
  key @3 :Text;
  requestId @4 :Text;
  repeatable @5 :Bool;
  remainingMicros @6 :Int64;
  body @7 :Data;
  sendingToken @8 :Text;
}

struct Answer {
  id @0 :UInt64;
  outcome @1 :UInt8;
  reason @2 :UInt8;
  status @3 :UInt16;
  retryAfterMicros @4 :Int64;
  contentType @5 :Text;
  detail @6 :Text;
  body @7 :Data;
}

struct SliceLoad {
  start @0 :UInt64;
  load @1 :Float32;
}

struct Report {
  service @0 :Text;
  server @1 :Text;
  holder @2 :Text;
  fence @3 :UInt64;
  sequence @4 :UInt64;
  releasedVersion @5 :UInt64;
  reachable @6 :Bool;
  withheld @7 :Bool;
  unconfirmed @8 :Bool;
  stopped @9 :Bool;
  hasLoad @10 :Bool;
  load @11 :Float32;
  slices @12 :List(SliceLoad);
  hottestKey @13 :UInt64;
  hottestLoad @14 :Float32;
}

struct Resume {
  service @0 :Text;
  server @1 :Text;
  fence @2 :UInt64;
  sequence @3 :UInt64;
}

struct Message {
  union {
    heartbeat @0 :Heartbeat;
    suspicion @1 :Suspicion;
    viewStamps @2 :List(Stamp);
    viewRows @3 :List(Row);
    inForce @4 :UInt64;
    request @5 :Request;
    answer @6 :Answer;
    cancel @7 :UInt64;
    report @8 :Report;
    resume @9 :Resume;
    challenge @10 :Challenge;
    hello @11 :Hello;
  }
}
