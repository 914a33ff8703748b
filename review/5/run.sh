#!/bin/bash
# Successes without the seal of a server; see claim.txt. Needs the build of the deploy file and
# review/build.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/release/marigoldwall-gateway ] && [ -x target/review/standin ] || exit 2
exec timeout -k 2 115 target/review/standin unsealed "$here"
