# Functions that start and stop a prepared fleet. Sourced by bench/run, quickstart and tests.
# A fleet's folder holds its settings and, while it runs, the process ids.

bin_folder=${POPLARDRIFT_BIN:-build/bin}

# start_host FOLDER NAME: starts one host and notes its process id.
start_host() {
  "$bin_folder/poplardriftd" --settings "$1/host-$2.json" >>"$1/host-$2.log" 2>&1 &
  echo $! >"$1/host-$2.pid"
}

# host_names FOLDER: the hosts of a prepared fleet.
host_names() {
  local file
  for file in "$1"/host-*.json; do
    file=${file##*/host-}
    echo "${file%.json}"
  done
}

# admin_options FOLDER: the --admin options of poplardriftctl for all hosts.
admin_options() {
  local name
  for name in $(host_names "$1"); do
    sed -n '/"admin"/,/}/s/.*"address": "\(.*\)".*/--admin \1:9090/p' "$1/host-$name.json"
  done
}

# start_fleet FOLDER: starts stand-ins and hosts, applies the declarations, waits until in force.
start_fleet() {
  local name
  "$bin_folder/poplardrift-emulator" --settings "$1/emulator.json" >"$1/emulator.log" 2>&1 &
  echo $! >"$1/emulator.pid"
  until grep -q ready "$1/emulator.log"; do
    kill -0 "$(cat "$1/emulator.pid")" || { cat "$1/emulator.log" >&2; return 1; }
    sleep 0.05
  done
  for name in $(host_names "$1"); do start_host "$1" "$name"; done
  # The operators' interface takes a moment; the change itself is sent once.
  local tries=0
  until "$bin_folder/poplardriftctl" $(admin_options "$1") status >/dev/null 2>&1; do
    tries=$((tries + 1))
    [ $tries -lt 100 ] || { echo "no host answers" >&2; return 1; }
    sleep 0.1
  done
  sleep 1.5
  "$bin_folder/poplardriftctl" $(admin_options "$1") apply "$1/declarations" \
    --key "$1/fleet.key" --author "${USER:-operator}" --wait
}

# watch_restarts FOLDER: starts hosts anew when an experiment asks for it, until killed.
watch_restarts() {
  local request name
  while sleep 0.2; do
    for request in "$1"/host-*.start; do
      [ -e "$request" ] || continue
      rm -f "$request"
      name=${request##*/host-}
      start_host "$1" "${name%.start}"
    done
  done
}

# stop_fleet FOLDER: a planned stop of all hosts, then of the stand-ins. Fails when one does not end.
stop_fleet() {
  local file pid result=0
  for file in "$1"/host-*.pid; do
    kill -CONT "$(cat "$file")" 2>/dev/null
    kill -TERM "$(cat "$file")" 2>/dev/null
  done
  for file in "$1"/host-*.pid; do
    pid=$(cat "$file")
    for _ in $(seq 300); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -0 "$pid" 2>/dev/null && { echo "${file##*/} did not stop" >&2; kill -KILL "$pid"; result=1; }
    rm -f "$file"
  done
  kill -TERM "$(cat "$1/emulator.pid")" 2>/dev/null
  rm -f "$1/emulator.pid"
  return $result
}
