#!/bin/sh
# Plays case 10 with the stand-ins of review/standin2. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
for program in target/monsoonkeel-entry target/standin2; do
	[ -x "$program" ] || { echo "$program is missing: run the build line of the deploy file, then review/build-2.sh" >&2; exit 2; }
done
exec target/standin2 poison "$here"
