#!/bin/sh
# Plays the case of claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 answers the write of each backend at once.
cd "$(dirname "$0")/../.." || exit 2
for program in target/review-3/late_beat target/release/cactustrackd; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec target/review-3/late_beat target/release/cactustrackd review/15/record.txt
