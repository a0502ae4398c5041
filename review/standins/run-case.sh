#!/usr/bin/env bash
# Runs one case: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case couldn't run. All processes that the case started are ended.
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/cactustrackd ] || [ ! -x target/review/release/review-case ]; then
    echo "cannot run: the build of the deploy file or review/build.sh is missing" >&2
    exit 2
fi
# The stand-ins of thousands of callers live in one process.
ulimit -n "$(ulimit -Hn)"
if [ "$1" = last-instance ] && [ "$(ulimit -n)" != unlimited ] && [ "$(ulimit -n)" -lt 6000 ]; then
    echo "cannot run: the stand-ins need 6,000 descriptors" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
end_processes() {
    while read -r process; do
        if grep -qs "$temporary" "/proc/$process/cmdline"; then
            kill -KILL "$process"
        fi
    done < <(cat "$temporary/processes" 2>/dev/null)
    rm -rf "$temporary"
}
trap end_processes EXIT
timeout 115 target/review/release/review-case "$1" "$folder" "$temporary"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
