#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/. They use the standard library alone.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
for source in "$root"/review/stand4/*.txt; do
	cp "$source" "$work/$(basename "$source" .txt)"
done
mkdir -p "$root/target/review-3"
cd "$work"
CGO_ENABLED=0 GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local GOPROXY=off go build -o "$root/target/review-3/stand" .
