@0xb8e1c7d2a4f36095;

# Messages between instances and permit dispatchers. LibNet/PermitCodec.cpp converts them to and
# from the types of LibGateway/PermitMessages.h.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("latchslip::wire");

struct PermitAsk {
  number @0 :UInt64;
  service @1 :Text;
  server @2 :Text;
  hall @3 :Text;
  tried @4 :List(Text);
  priority @5 :UInt32;
  inTimeMicros @6 :Int64;
  timeLeftMicros @7 :Int64;
  fingerprint @8 :UInt64;
}

struct SendNotice {
  number @0 :UInt64;
  service @1 :Text;
  server @2 :Text;
  agoMicros @3 :Int64;
  timeLeftMicros @4 :Int64;
  fingerprint @5 :UInt64;
}

struct SendEnd {
  number @0 :UInt64;
  result @1 :UInt8;
  latencyMicros @2 :Int64;
  hasStatus @3 :Bool;
  running @4 :UInt32;
  waiting @5 :UInt32;
  slots @6 :UInt32;
  pace @7 :Float64;
  restMicros @8 :Int64;
  isLeaving @9 :Bool;
  life @10 :UInt64;
  hasRateLimit @11 :Bool;
  rateLimit @12 :Float64;
  isConnectionLost @13 :Bool;
  incarnation @14 :UInt64;
}

struct CrashNotice {
  fingerprint @0 :UInt64;
  server @1 :Text;
  incarnation @2 :UInt64;
  sentAgoMicros @3 :Int64;
  crashedAgoMicros @4 :Int64;
}

struct Quarantine {
  fingerprint @0 :UInt64;
  remainingMicros @1 :Int64;
  crashes @2 :UInt32;
}

struct Permit {
  number @0 :UInt64;
  server @1 :Text;
}

struct PermitDenial {
  number @0 :UInt64;
  waitMicros @1 :Int64;
  isPromised @2 :Bool;
}

struct ToDispatcher {
  union {
    ask @0 :PermitAsk;
    withdrawal @1 :UInt64;
    notice @2 :SendNotice;
    end @3 :SendEnd;
    probe @4 :Void;
    crash @5 :CrashNotice;
    quarantine @6 :Quarantine;
    complaint @7 :Void;
  }
}

struct FromDispatcher {
  union {
    permit @0 :Permit;
    delay @1 :UInt64;
    denial @2 :PermitDenial;
    sign @3 :Void;
    quarantine @4 :Quarantine;
    resignationMicros @5 :Int64;
  }
}

# The messages that one instance sends over a link in one turn of its event loop.
struct PermitBatch {
  to @0 :List(ToDispatcher);
  from @1 :List(FromDispatcher);
}
