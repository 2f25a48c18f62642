#!/usr/bin/env bash
# Runs each case five times with the disruption and once without it, and prints the exit statuses.
cd "$(dirname "$0")"
for case in "${@:-1 2 3}"; do
    for number in $case; do
        [ -x "$number/run.sh" ] || continue
        for run in 1 2 3 4 5; do
            "$number/run.sh" >/dev/null 2>&1
            echo "case $number, run $run: exit status $?; $(grep -aE 'requests sent' "$number/record.txt" | tail -1 | cut -c12-)"
        done
        TROUBLE=0 "$number/run.sh" >/dev/null 2>&1
        echo "case $number, TROUBLE=0: exit status $?; $(grep -aE 'requests sent' "$number/record.txt" | tail -1 | cut -c12-)"
    done
done
