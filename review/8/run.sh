#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
bin=review/stand2/bin/frozenreader
[ -x "$bin" ] && [ -x target/bramleyd ] || { echo "build first: the deploy file's build and review/build-2.sh"; exit 2; }
exec "$bin" review/8/record.txt
