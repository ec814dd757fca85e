# Functions that the scripts share. Source it with BUILD set to the build
# folder.

# Starts a program in the background and waits for its "ready" line, which is
# left in $RUN/NAME.ready. Its process id is left in $RUN/NAME.pid.
start_program() {
  local name="$1"
  shift
  # The line of an earlier program of that name must not be taken for its own.
  : >"$RUN/$name.ready"
  "$@" >"$RUN/$name.ready" 2>"$RUN/$name.log" &
  echo $! >"$RUN/$name.pid"
  local tries=0
  until grep -q '^ready' "$RUN/$name.ready"; do
    tries=$((tries + 1))
    if [ "$tries" -gt 300 ] || ! kill -0 "$(cat "$RUN/$name.pid")" 2>/dev/null; then
      echo "$name did not become ready:" >&2
      cat "$RUN/$name.log" >&2
      return 1
    fi
    sleep 0.05
  done
}

# Prints the value of a key of a program's ready line.
ready_value() {
  grep '^ready' "$RUN/$1.ready" | tr ' ' '\n' | sed -n "s/^$2=//p"
}

# Asks a program to stop and waits until it has.
stop_program() {
  local pid
  [ -f "$RUN/$1.pid" ] || return 0
  pid=$(cat "$RUN/$1.pid")
  kill -TERM "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
}

# Repeats a command until it succeeds, at most for the given seconds.
wait_until() {
  local limit=$(($(date +%s) + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$(date +%s)" -ge "$limit" ]; then
      echo "Gave up waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}
