#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/. It needs no network. They are kept as
# text, since Go files outside platform/ may not use the platform's names, and are built in
# target/, as modules of their own with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
for name in stand2 stand3; do
	source_folder="target/$name-source"
	rm -rf "$source_folder"
	mkdir -p "$source_folder"
	for file in "review/$name"/*.txt; do
		cp "$file" "$source_folder/$(basename "$file" .txt)"
	done
	(cd "$source_folder" && GOWORK=off GOTOOLCHAIN=local GOPROXY=off go build -o "../$name" .)
done
