#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/stand2"
GOFLAGS="${GOFLAGS:-} -mod=mod" GOWORK=off go build -o ../../target/stand2 .
