#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
# could not run. TROUBLE=0 leaves out the requests with the part that crashes replicas.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/stand2 ] && [ -x target/apricotgraded ] || exit 2
exec target/stand2 latepart "$folder"
