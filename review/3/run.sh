#!/usr/bin/env bash
# Runs this case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
case_folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$case_folder/../.." && pwd)"
number="$(basename "$case_folder")"
program="$root/review/bin/case$number"
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
folder="$(mktemp -d)" || exit 2
clean_up() {
    if [ -f "$folder/pids" ]; then
        while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$folder/pids"
    fi
    rm -rf "$folder"
}
trap clean_up EXIT
timeout --kill-after=2 115 "$program" "$root" "$folder" "$case_folder/record.txt"
code=$?
if [ -f "$folder/balancer.log" ]; then
    { echo "--- the balancer's log (last lines)"; tail -n 40 "$folder/balancer.log"; } >> "$case_folder/record.txt"
fi
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
