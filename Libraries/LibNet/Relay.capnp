@0xd3a7c05e91b2f468;

# Messages between an instance that cannot reach a server and the one that relays its exchange with
# it. LibNet/RelayCodec.cpp converts them to and from the types of LibNet/RelayMessages.h.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("latchslip::wire");

struct HttpHeader {
  name @0 :Text;
  value @1 :Text;
}

struct RelayRequest {
  server @0 :Text;
  address @1 :Text;
  isCommand @2 :Bool;
  expiresAtMicros @3 :Int64;
  timeoutMicros @4 :Int64;
  connectTimeoutMicros @5 :Int64;
  ackTimeoutMicros @6 :Int64;
  maxIdleMicros @7 :Int64;
  echoHeader @8 :Text;
  method @9 :Text;
  target @10 :Text;
  headers @11 :List(HttpHeader);
  body @12 :Data;
  usesOwnConnection @13 :Bool;
}

struct RelayAnswer {
  clockMicros @0 :Int64;
  path @1 :UInt8;
  end @2 :UInt8;
  isRefused @3 :Bool;
  isTimeout @4 :Bool;
  isConnectionLost @5 :Bool;
  problem @6 :Text;
  status @7 :UInt32;
  contentType @8 :Text;
  isFramed @9 :Bool;
  headers @10 :List(HttpHeader);
  body @11 :Data;
}
