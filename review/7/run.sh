#!/bin/sh
# Plays the case of claim.txt: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
if [ ! -x "$root/bin/junctionwharf" ] || [ ! -x ../bin/standin-2 ]; then
    echo "could not run: build as the deploy file says, then review/build-2.sh"
    exit 2
fi
exec ../bin/standin-2 stricter "$root" "$PWD"
