#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jasminestep ] && [ -x review/bin/5 ] || exit 2
timeout -k 5 115 review/bin/5
rc=$?
[ $rc -le 1 ] && exit $rc
exit 2
