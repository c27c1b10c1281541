#!/bin/bash
# Plays the case "rack"; see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the
# case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/citronbridge ] || [ ! -x review/bin/standins ]; then
	echo "build target/citronbridge with the line of deploy/system.toml, and run review/build.sh" >&2
	exit 2
fi
exec review/bin/standins rack review/5/record.txt
