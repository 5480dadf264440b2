#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/. It needs no network. They are kept as
# text, since Go files outside platform/ may not use the platform's names, and are built in
# target/, as a module of their own with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
source_folder=target/stand2-source
rm -rf "$source_folder"
mkdir -p "$source_folder"
for file in review/stand2/*.txt; do
	cp "$file" "$source_folder/$(basename "$file" .txt)"
done
cd "$source_folder"
GOWORK=off GOTOOLCHAIN=local GOPROXY=off go build -o ../stand2 .
