#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -x "$root/review/bin/standin" ] || [ ! -x "$root/bin/croftlock" ]; then
    echo "run the build line of deploy/balancer.toml and review/build.sh first" >&2
    exit 2
fi
exec "$root/review/bin/standin" same-id "$root" "$here/record.txt"
