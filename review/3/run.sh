#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bramleyd ] && [ -x review/bin/case-stop ] || { echo "build first: deploy/system.toml, review/build.sh" >&2; exit 2; }
exec review/bin/case-stop -daemon target/bramleyd -record review/3/record.txt
