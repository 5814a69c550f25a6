#!/usr/bin/env bash
# Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review-2/case-$(basename "$here")
if [ ! -x "$program" ] || [ ! -x "$root/target/release/meadowproxy" ]; then
  echo "the case could not run: build the deploy file, then review/build-2.sh" >&2
  exit 2
fi
ulimit -n 8192 2>/dev/null || true
folder=$(mktemp -d) || exit 2
# The case and all that it starts are one process group, which is ended whatever ends this script.
set -m
ROOT=$root RECORD=$here/record.txt TMPDIR=$folder "$program" </dev/null &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$folder"' EXIT
trap 'exit 2' HUP INT TERM
wait "$group"
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
