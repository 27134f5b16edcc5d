#!/usr/bin/env bash
# Starts all programs with the stand-in upstreams on loopback, sends a streamed
# request and an order, prints the active configuration and stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/build/bin
folder=$(mktemp -d)
host=127.0.0.1
pids=()

stop_all() {
  local pid failed=0
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" || failed=1; done
  pids=()
  return $failed
}
trap 'stop_all || true; rm -rf "$folder"' EXIT

start() {  # name, program
  "$bin/$2" --config="$folder/$1.ini" 2>"$folder/$1.log" &
  pids+=($!)
}

wait_for() {  # URL, text that the response must contain
  for _ in $(seq 100); do
    if curl -s --max-time 2 "$1" 2>/dev/null | grep -q "$2"; then return; fi
    sleep 0.1
  done
  echo "$1 didn't respond with \"$2\" within 10 s; last log lines:" >&2
  tail -n 5 "$folder"/*.log >&2
  return 1
}

controls=$host:18401,$host:18402,$host:18403
ctl=("$bin/wwctl" "--control=$host:18411,$host:18412,$host:18413"
  "--token_file=$folder/tokens")
entries="$host:18000, $host:18010"
echo demo-token >"$folder/tokens"

cat >"$folder/declarations.ini" <<INI
[model chat]
version = 1
weight_bytes = 1GiB
memory_bytes = 2GiB

[deployment assistant]
model = chat
regions = local
max_replicas = 1

[service order-desk]
regions = local
home_region = local
repeatable = get_only

[recorder_group local]
members = $host:18501, $host:18502, $host:18503
INI

for number in 1 2 3; do
  mkdir "$folder/control-$number" "$folder/recorder-$number"
  cat >"$folder/control-$number.ini" <<INI
[node]
name = control-$number
[replica]
data_folder = $folder/control-$number
[operators]
credentials_file = $folder/tokens
[control control-1]
endpoint = $host:18401
operators = $host:18411
[control control-2]
endpoint = $host:18402
operators = $host:18412
[control control-3]
endpoint = $host:18403
operators = $host:18413
INI
  peers=
  for other in 1 2 3; do
    [ "$other" = "$number" ] || peers+="${peers:+, }$host:1850$other"
  done
  cat >"$folder/recorder-$number.ini" <<INI
[node]
name = recorder-$number
[recorder]
listen = $host:1850$number
peers = $peers
data_folder = $folder/recorder-$number
INI
done

for number in 0 1; do
  cat >"$folder/entry-$number.ini" <<INI
[node]
name = entry-$number
[admin]
listen = $host:1802$number
[entry]
listen = $host:180${number}0
keep_ms = 1s
[control]
addresses = $controls
INI
done

cat >"$folder/store.ini" <<INI
[node]
name = store-1
[store]
listen = $host:18300
INI

for number in 1 2; do
  cat >"$folder/engine-$number.ini" <<INI
[node]
name = engine-$number
[upstream]
listen = $host:1810$number
entries = $entries
[engine]
weight_store = $host:18300
decode_us = 50000
INI
done

cat >"$folder/service.ini" <<INI
[node]
name = service-1
[upstream]
listen = $host:18200
entries = $entries
[service]
service = order-desk
INI

for number in 1 2 3; do
  "$bin/ww_control" --config="$folder/control-$number.ini" --format
  start control-$number ww_control
  start recorder-$number ww_recorder
done
start store ww_weightstore
start entry-0 ww_entry
start entry-1 ww_entry
start engine-1 ww_engine
start engine-2 ww_engine
start service ww_service
echo "== operators declare the configuration"
"${ctl[@]}" apply "$folder/declarations.ini"
wait_for "$host:18020/readyz" ready
wait_for "$host:18021/readyz" ready
wait_for "$host:18000/v1/models" assistant
wait_for "$host:18200/standin/v1/executions" total

# Repeats a request until upstreams have announced themselves, prints the
# response and fails unless it contains the text.
ask() {  # text, curl arguments
  local text=$1 answer
  shift
  for _ in $(seq 50); do
    answer=$(curl -sN --max-time 20 -H 'Content-Type: application/json' \
      -H 'X-Deadline-Ms: 10000' "$@")
    grep -q no_upstream <<<"$answer" || break
    sleep 0.2
  done
  echo "$answer"
  grep -qF "$text" <<<"$answer" && return
  echo "the response lacks the expected text $text" >&2
  return 1
}

echo "== addresses for callers"
curl -s "$host:18000/v1/addresses"
echo
echo "== streamed answer of a model that is loaded on demand"
ask '[DONE]' "$host:18000/v1/chat/completions" -d '{
  "model": "assistant", "stream": true, "max_tokens": 6,
  "messages": [{"role": "user", "content": "Which hutch fits two rabbits?"}]}'
echo "== an order, and the same order again through the other entry host"
ask '"execution":1' "$host:18000/svc/order-desk/orders" \
  -H 'Idempotency-Key: demo-1' -d '{"count":1}'
ask '"execution":1' "$host:18010/svc/order-desk/orders" \
  -H 'Idempotency-Key: demo-1' -d '{"count":1}'
echo "== what the service executed"
curl -s "$host:18200/standin/v1/executions"
echo
echo "== configuration in force"
"${ctl[@]}" status
"${ctl[@]}" print
echo "== stopping"
stop_all
echo "all programs stopped with exit code 0"
