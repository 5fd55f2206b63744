#!/usr/bin/env bash
# Makes the committed Cap'n Proto code anew after a change of the schema. The
# build itself needs no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
capnp compile --src-prefix=Libraries/LibNet -oc++:Libraries/LibNet/Generated Libraries/LibNet/Peer.capnp Libraries/LibNet/Permit.capnp
capnp compile --src-prefix=Benchmarks -oc++:Benchmarks/Generated Benchmarks/Echo.capnp
