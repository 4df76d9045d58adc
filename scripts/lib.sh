# Shared by the scripts that run real processes. Started processes are ended
# by their ids.
BIN="${BIN:-build/bin}"
LOGS="${LOGS:-$(mktemp -d)}"
PIDS=()

# start NAME COMMAND...: runs a command in the background with its own log.
start() {
  local name=$1
  shift
  "$@" >"$LOGS/$name.log" 2>&1 &
  PIDS+=($!)
}

# wait_until SECONDS COMMAND...: repeats a command until it succeeds.
wait_until() {
  local limit=$1
  shift
  for ((i = 0; i < limit * 10; i++)); do
    if "$@" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.1
  done
  echo "timed out: $*" >&2
  return 1
}

# stop_all: SIGTERM to all in the order of their start, and waits for each.
stop_all() {
  local status=0
  for pid in "${PIDS[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
    wait "$pid" || status=$?
  done
  PIDS=()
  return $status
}
