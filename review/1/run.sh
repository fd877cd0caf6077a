#!/usr/bin/env bash
# UNASKED at a gateway: a server runs an order whose body was taken away.
#   TROUBLE=0 ./run.sh   the same, with the header's text in plain ASCII
here=$(cd "$(dirname "$0")" && pwd)
site=gateway-valley
# shellcheck source=review/lib.sh
. "$here/../lib.sh"
trouble=${TROUBLE:-1}

for i in $controls; do settings $i control; done
settings 11 edge
cat >"$work/config.json" <<JSON
{"revision":1,"route_rules":[
 {"name":"pickup","hostname":"api.example","path_prefix":"/pickup/","route_type":"non_idempotent","timeout_s":2,
  "target_latency_s":0.8,"priority":1,"target_service":"pickup","max_attempts":2}],
 "services":[{"name":"pickup","health_check_path":"/health","max_connections":110}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15}}
JSON
for i in $controls 11; do start_node $i; done
for i in 21 22; do
  start_server $i "$net.1:$control_port,$net.2:$control_port,$net.3:$control_port" pickup i-pickup-$i
done
wait_until 30 put_config "$work/config.json" "$net.1:$control_port" 0 || cant_run "no configuration"
wait_until 30 is_ready 11 || cant_run "the edge isn't ready"
sleep 3

# Orders with a body. Each has the text of the notice in a header too: with the trouble in the form
# of RFC 2047 (base64 of "Guten Tag,\r\n\r\nIhr Rezept liegt bereit."), all of it printable ASCII.
body='{"patient":"4711","notice":"ready"}'
for i in 1 2 3 4 5; do
  text="Guten Tag, Ihr Rezept liegt bereit."
  [ "$trouble" = 0 ] || text='=?utf-8?B?R3V0ZW4gVGFnLA0KDQpJaHIgUmV6ZXB0IGxpZWd0IGJlcmVpdC4=?='
  call 11 "POST /pickup/$i HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: sent-$i\r\nDeadline-Ms: 1500\r\nNotice-Text: $text\r\nContent-Type: application/json\r\nContent-Length: ${#body}\r\n\r\n$body"
  sleep 0.3
done
sleep 1

touch "$work/runs" "$work/calls"
note "trouble=$trouble; what clients sent and were answered:"
cat "$work/calls" >>"$record"
note "what the servers ran or could not read:"
cat "$work/runs" >>"$record"
broken=0
while read -r what id rest; do
  [ "$what" = run ] || continue
  request="$id ${rest% caller=*}"
  if ! grep -qxF -- "sent $request" "$work/calls"; then
    note "UNASKED: a server ran a request that was changed: $request"
    broken=1
  fi
done <"$work/runs"
grep -q "^run" "$work/runs" || [ "$trouble" = 1 ] || cant_run "no request was served"
exit $broken
