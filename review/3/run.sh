#!/bin/sh
# Runs the case of claim.txt: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# in the environment the disruption is left out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/stackcourse ] || { echo "target/release/stackcourse is not built" >&2; exit 2; }
sh review/build.sh || exit 2
exec target/review/standins frozen-entry "$here/record.txt"
