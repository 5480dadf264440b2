#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
for program in "$root/target/apricotgraded" "$root/target/review-3/stand"; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build of the deploy file and review/build-3.sh" >&2
		exit 2
	fi
done
exec "$root/target/review-3/stand" deep "$root" "$here/record.txt"
