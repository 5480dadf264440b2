#!/bin/bash
# Builds the stand-ins of the cases. It needs no network. Their sources end in .go.txt, since
# they speak the platform's protocol, whose names a test allows in Go files of platform/ only.
set -euo pipefail
cd "$(dirname "$0")/.."
source=target/review-source
rm -rf "$source"
mkdir -p "$source"
cp review/standin/go.mod "$source/"
for file in review/standin/*.go.txt; do
	cp "$file" "$source/$(basename "$file" .txt)"
done
cd "$source"
GOWORK=off GOTOOLCHAIN=local GOPROXY=off go build -o ../review-standin .
