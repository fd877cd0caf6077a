#!/usr/bin/env bash
# MIXED at a gateway: a success carries another body than the server's.
#   TROUBLE=0 ./run.sh   the same, with the answers' header in plain ASCII
here=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/lib.sh
. "$here/../lib.sh"
trouble=${TROUBLE:-1}

for i in 1 2 3; do settings $i control; done
settings 11 edge
cat >"$work/config.json" <<JSON
{"revision":1,"route_rules":[
 {"name":"wording","hostname":"api.example","path_prefix":"/wording/","route_type":"idempotent","timeout_s":2,
  "target_latency_s":0.8,"priority":1,"target_service":"wording","max_attempts":2}],
 "services":[{"name":"wording","health_check_path":"/health","max_connections":110}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15}}
JSON
# The servers tell the notice's text in a header of their answers: with the trouble in the form of
# RFC 2047 (base64 of "Guten Tag,\r\n\r\nIhr Rezept liegt bereit."), all of it printable ASCII.
text="Guten Tag, Ihr Rezept liegt bereit."
[ "$trouble" = 0 ] || text='=?utf-8?B?R3V0ZW4gVGFnLA0KDQpJaHIgUmV6ZXB0IGxpZWd0IGJlcmVpdC4=?='
for i in 1 2 3 11; do start_node $i; done
for i in 21 22; do
  start_server $i "$net.1:8146,$net.2:8146,$net.3:8146" wording i-wording-$i "Notice-Text: $text"
done
wait_until 20 put_config "$work/config.json" "$net.1:8146" 0 || cant_run "no configuration"
wait_until 20 is_ready 11 || cant_run "the edge isn't ready"
sleep 3

for i in 1 2 3 4 5; do
  call 11 "GET /wording/$i HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: sent-$i\r\nDeadline-Ms: 1500\r\n\r\n"
  sleep 0.3
done
sleep 1

touch "$work/runs" "$work/calls"
note "trouble=$trouble; what clients sent and were answered:"
cat "$work/calls" >>"$record"
note "what the servers ran:"
cat "$work/runs" >>"$record"
broken=0
served=0
while read -r what id line; do
  [[ $what = answer && $line == "HTTP/1.1 2"* ]] || continue
  served=$((served + 1))
  if [[ $line != *" [result of $id]" ]]; then
    note "MIXED: the success for $id has another body than the server's, 'result of $id'"
    broken=1
  fi
done <"$work/calls"
[ $served -gt 0 ] || [ "$trouble" = 1 ] || cant_run "no request was served"
exit $broken
