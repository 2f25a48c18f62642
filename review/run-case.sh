# Sourced by the run.sh of a case: runs the program PROGRAM of the stand-ins with the command `run`
# of the deploy file. Exits with its status; 2 if the case cannot run.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$ROOT/deploy/balancer.toml")
RECORD=$here/record.txt
WORK=$(mktemp -d) || exit 2
export ROOT RUN RECORD WORK TMPDIR=$WORK

# Ends the nodes that this run started, also if the program was ended early.
finish() {
    for file in "$WORK"/*.pid; do
        [ -e "$file" ] || continue
        pid=$(cat "$file")
        if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$ROOT/target/release/ottertiller" ]; then
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
timeout -k 2 110 "$program"
status=$?
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
