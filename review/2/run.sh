#!/usr/bin/env bash
# UNASKED in a mesh: a request hidden in a header of another one runs at a server.
#   TROUBLE=0 ./run.sh   the same without the encoded header
here=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/lib.sh
. "$here/../lib.sh"
trouble=${TROUBLE:-1}

for i in $controls; do settings $i control; done
settings 11 sidecar caller
settings 12 sidecar booking
settings 13 sidecar booking
cat >"$work/config.json" <<JSON
{"revision":1,"route_rules":[
 {"name":"read","hostname":"api.example","path_prefix":"/read/","route_type":"idempotent","timeout_s":2,
  "target_latency_s":0.8,"priority":2,"target_service":"booking","max_attempts":2},
 {"name":"book","hostname":"api.example","path_prefix":"/book/","route_type":"non_idempotent","timeout_s":2,
  "target_latency_s":0.8,"priority":1,"target_service":"booking","max_attempts":2}],
 "services":[{"name":"booking","health_check_path":"/health","max_connections":110}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15}}
JSON
for i in $controls 11 12 13; do start_node $i; done
start_server 12 "$net.12:$control_port" booking i-booking-12
start_server 13 "$net.13:$control_port" booking i-booking-13
wait_until 30 put_config "$work/config.json" "$net.1:$control_port" 0 || cant_run "no configuration"
for i in 11 12 13; do wait_until 30 is_ready $i || cant_run "sidecar $i isn't ready"; done
sleep 2

# A client's reads. With the trouble, each has a header in the form of RFC 2047, printable ASCII as
# the client sends it.
for i in 1 2 3 4 5; do
  value="plain text $i"
  [ "$trouble" = 0 ] ||
    value="=?utf-8?q?text=0D=0A=0D=0APOST_/book/slot-${i}_HTTP/1.1=0D=0AHost:_api.example=0D=0AAttempt-Id:_never-sent-$i=0D=0AX:_?="
  call 11 "GET /read/$i HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: sent-$i\r\nDeadline-Ms: 1500\r\nComment: ${value//%/%%}\r\n\r\n"
  sleep 0.3
done
sleep 1

touch "$work/runs" "$work/calls"
note "trouble=$trouble; what clients sent and were answered:"
cat "$work/calls" >>"$record"
note "what the servers ran:"
cat "$work/runs" >>"$record"
broken=0
while read -r what id rest; do
  [ "$what" = run ] || continue
  request="$id ${rest% caller=*}"
  if ! grep -qxF -- "sent $request" "$work/calls"; then
    note "UNASKED: a server ran what no client sent: $request"
    broken=1
  fi
done <"$work/runs"
grep -q "^run" "$work/runs" || [ "$trouble" = 1 ] || cant_run "no request was served"
exit $broken
