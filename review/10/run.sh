#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out both cuts; the replica leaves all the same.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/apricotgraded ] && [ -x target/stand3 ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
exec target/stand3 -case left-replica -record "review/10/record.txt"
