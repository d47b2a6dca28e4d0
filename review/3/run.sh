#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
[ -x ../bin/stand ] && [ -x "$root/bin/pierlink" ] || { echo 'not built'; exit 2; }
exec ../bin/stand stand-still "$root" .
