@0xe5a1c0ffee123457;

# Interface for the transport benchmark; not part of the product.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("latchslip::wire");

interface Echo {
  call @0 (body :Data) -> (body :Data);
}
