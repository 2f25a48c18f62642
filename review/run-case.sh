# Sourced by the run.sh of a case: runs the program PROGRAM of the stand-ins with the command `run`
# of the deploy file. Exits with its status; 2 if the case cannot run.
here=$(cd "$(dirname "$0")" && pwd -P)
ROOT=$(cd "$here/../.." && pwd -P)
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$ROOT/deploy/balancer.toml")
RECORD=$here/record.txt
WORK=$(mktemp -d) || exit 2
export ROOT RUN RECORD WORK TMPDIR=$WORK

# Ends what this run started, also if it was ended early. A node is known by its configuration,
# which is in this run's own folder.
finish() {
    [ -z "${watchdog:-}" ] || kill -TERM "$watchdog" 2>/dev/null
    [ -z "${driver:-}" ] || { kill -KILL "$driver" && wait "$driver"; } 2>/dev/null
    for file in "$WORK"/*.pid; do
        [ -e "$file" ] || continue
        pid=$(cat "$file")
        if grep -qaF "PROXY_CONFIG=$WORK/" "/proc/$pid/environ" 2>/dev/null; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done
    rm -rf "$WORK"
}
trap finish EXIT
trap 'exit 2' INT TERM

program=$ROOT/review/standins/target/release/$PROGRAM
if [ ! -x "$program" ] || [ ! -x "$ROOT/target/release/ottertiller" ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build.sh"
    exit 2
fi
"$program" &
driver=$!
(
    trap 'kill "$sleeper" 2>/dev/null' TERM
    sleep 110 &
    sleeper=$!
    wait "$sleeper" && kill -TERM "$driver" 2>/dev/null
) &
watchdog=$!
wait "$driver"
status=$?
driver=
kill -TERM "$watchdog" 2>/dev/null
wait "$watchdog" 2>/dev/null
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
