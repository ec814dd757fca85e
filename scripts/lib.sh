# Functions shared by the scripts. Source it with RUN set to a folder for the
# output and process ids of programs.

# start_program NAME COMMAND...: starts a program in the background and waits up
# to 15 s for its "ready" line, which is kept in $RUN/NAME.ready. Its process id
# is kept in $RUN/NAME.pid. Fails and prints its log when it does not get ready.
start_program() {
  local name="$1"
  shift
  # Clears the ready line of an earlier program of the same name.
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

# ready_value NAME KEY: prints the value of a key of a program's ready line.
ready_value() {
  grep '^ready' "$RUN/$1.ready" | tr ' ' '\n' | sed -n "s/^$2=//p"
}

# stop_program NAME: sends SIGTERM to a program and waits until it has exited.
stop_program() {
  local pid
  [ -f "$RUN/$1.pid" ] || return 0
  pid=$(cat "$RUN/$1.pid")
  kill -TERM "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
}

# wait_until SECONDS COMMAND...: repeats a command until it succeeds. Fails after
# the given time.
wait_until() {
  local limit=$(($(date +%s) + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$(date +%s)" -ge "$limit" ]; then
      echo "Timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}
