#!/usr/bin/env bash
# Regenerates the committed Cap'n Proto code after a change of a schema. The build itself does not
# run the generator.
set -euo pipefail
cd "$(dirname "$0")/.."
capnp compile --src-prefix=Libraries/LibNet -oc++:Libraries/LibNet/Generated Libraries/LibNet/Peer.capnp Libraries/LibNet/Permit.capnp Libraries/LibNet/Relay.capnp
capnp compile --src-prefix=Benchmarks -oc++:Benchmarks/Generated Benchmarks/Echo.capnp
