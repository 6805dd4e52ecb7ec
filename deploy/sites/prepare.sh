#!/bin/sh
# Puts the files that the bench wants beside a site file there: the names and the wire of a played site, and what it unlocks.
# Usage: prepare.sh SITE_FOLDER NAMES_FOLDER [UNLOCK_FOLDER]. The copies are not committed.
set -eu
if [ $# -lt 2 ]; then
    echo "usage: prepare.sh SITE_FOLDER NAMES_FOLDER [UNLOCK_FOLDER]" >&2
    exit 2
fi
cp "$2/real.json" "$2/wire.json" "$1/"
cp "${3:-$2}/unlock.txt" "$1/"
