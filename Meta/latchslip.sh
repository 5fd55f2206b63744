#!/usr/bin/env bash
# The commands of the project: "run" starts the demonstration fleet, "test" runs all tests, "build"
# only builds. All of them install missing Debian packages and build first.
set -euo pipefail
cd "$(dirname "$0")/.."

packages="g++ cmake ninja-build libboost1.81-dev libboost-json1.81-dev libabsl-dev
  libgoogle-glog-dev libunwind-dev liblzma-dev libcapnp-dev capnproto libgtest-dev libgmock-dev
  libbenchmark-dev
  libxxhash-dev libssl-dev zlib1g-dev clang-format clang-tidy"

install_missing() {
  local package missing=""
  for package in $packages; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
      missing+=" $package"
  done
  if [ -n "$missing" ]; then
    apt-get update -qq
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing
  fi
}

build() {
  cmake -S . -B Build -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
  ninja -C Build
}

case "${1:-}" in
  run)
    install_missing
    build
    exec Meta/run-main.sh
    ;;
  test)
    install_missing
    build
    rm -f Build/Testing/Temporary/LastTestsFailed.log
    ctest --test-dir Build --output-on-failure -j "$(nproc)" || Meta/check-known-red.sh
    ;;
  build)
    install_missing
    build
    ;;
  *)
    echo "usage: Meta/latchslip.sh run|test|build" >&2
    exit 2
    ;;
esac
