# Functions for scripts that run processes. Processes are stopped by their ids.
BIN="${BIN:-build/bin}"
LOGS="${LOGS:-$(mktemp -d)}"
PIDS=()

# start NAME COMMAND...: runs COMMAND in the background with the log NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$LOGS/$name.log" 2>&1 &
  PIDS+=($!)
}

# wait_until SECONDS COMMAND...: repeats COMMAND until it succeeds; fails after
# SECONDS.
wait_until() {
  local timeout=$1
  shift
  for ((i = 0; i < timeout * 10; i++)); do
    if "$@" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.1
  done
  echo "no success within $timeout s: $*" >&2
  return 1
}

# stop_all: sends SIGTERM to each process in start order and waits for its exit.
stop_all() {
  local status=0
  for pid in "${PIDS[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
    wait "$pid" || status=$?
  done
  PIDS=()
  return $status
}
