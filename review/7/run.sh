#!/usr/bin/env bash
# Plays this case and writes record.txt beside this script. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case could not run. TROUBLE=0 leaves out the disruption. review/build-2.sh builds what it starts.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
player="$root/review/standins-2/target/release/standins"
if [ ! -x "$player" ] || [ ! -x "$root/target/release/ottertiller" ]; then
    echo "build first: the command of deploy/balancer.toml, and review/build-2.sh"
    exit 2
fi
exec "$player" gone "$root" "$here/record.txt"
