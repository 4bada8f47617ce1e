#!/usr/bin/env bash
# Streams through one node against the engine asked directly, in one run.
# Stand-ins, node and callers are processes of their own. Options are passed on
# to the command rudderpass bench-streams.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=.venv/bin
engines=4
gap=0.025
work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT
read -r listen admin peer < <("$bin"/python -c '
from rudderpass.demo import free_address
print(free_address(), free_address(), free_address())')
cp bench/declarations/bench.yaml "$work/"
direct=()
for number in $(seq "$engines"); do
  address=$("$bin"/python -c 'from rudderpass.demo import free_address
print(free_address())')
  printf -- '---\nkind: Upstream\nname: bench-%s\nspec:\n  kind: engine\n  address: %s\n  runner: bench-runner\n  availabilityZone: nasr\n  slots: 100\n' \
    "$number" "$address" >> "$work/bench.yaml"
  "$bin"/rudderpass standin-engine --listen "$address" --gap "$gap" --slots 100 &
  pids+=($!)
  direct+=(--direct "$address")
done
"$bin"/rudderpass standin-platform "$work" --info "$work/info.json" &
pids+=($!)
until [ -s "$work/info.json" ]; do sleep 0.1; done
field() { "$bin"/python -c "import json;print(json.load(open('$work/info.json'))$1)"; }
"$bin"/rudderpass node --listen "$listen" --admin "$admin" --peer "$peer" --zone nasr \
  --log-service "$(field "['log_service']")" --host-list "$(field "['host_list']")" \
  --peer-secret bench-secret-0123456789 --log-file "$work/node.log" 2>/dev/null &
pids+=($!)
until "$bin"/rudderpass status --admin "$admin" 2>/dev/null | grep -q ': ready'; do
  sleep 0.2
done
"$bin"/rudderpass bench-streams "${direct[@]}" \
  --through "$listen" --admin "$admin" "$@"
