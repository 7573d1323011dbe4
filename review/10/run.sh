#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/oleander-node ] && [ -x target/review/rig ] || exit 2
exec target/review/rig steps review/10
