#!/usr/bin/env bash
# DRAIN: an acknowledged leaving is forgotten when the sidecar that acknowledged it is killed.
#   TROUBLE=0 ./run.sh   the same without the kill
here=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/lib.sh
. "$here/../lib.sh"
trouble=${TROUBLE:-1}
drain_s=2   # drain_timeout_s of the settings
contact_s=3 # contact_s of the settings

for i in $controls; do settings $i control; done
settings 11 sidecar caller
settings 12 sidecar archive
settings 13 sidecar archive
cat >"$work/config.json" <<JSON
{"revision":1,"route_rules":[
 {"name":"read","hostname":"api.example","path_prefix":"/read/","route_type":"idempotent","timeout_s":2,
  "target_latency_s":0.8,"priority":2,"target_service":"archive","max_attempts":2}],
 "services":[{"name":"archive","health_check_path":"/health","max_connections":110}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15}}
JSON
for i in $controls 11 12 13; do start_node $i; done
# The beat that the leaving server had made before comes 2.5 s late.
[ "$trouble" = 0 ] || export KILL_FILE=$work/victim
echo "${pid_of[12]}" >"$work/victim"
LATE_MS=2500 start_server 12 "$net.12:$control_port" archive i-leaving-12
leaving_server=$!
unset KILL_FILE
start_server 13 "$net.13:$control_port" archive i-staying-13
wait_until 30 put_config "$work/config.json" "$net.1:$control_port" 0 || cant_run "no configuration"
for i in 11 12 13; do wait_until 30 is_ready $i || cant_run "sidecar $i isn't ready"; done
sleep 3

# A client's reads, all through the sidecar beside the caller.
(
  for ((k = 1; k <= 70; k++)); do
    call 11 "GET /read/$k HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: sent-$k\r\nDeadline-Ms: 1500\r\n\r\n"
    sleep 0.03
  done
) &
client=$!
sleep 1.5
kill -USR1 "$leaving_server"
started_ms=0
if [ "$trouble" != 0 ]; then
  # The platform starts the killed node again after a short delay, with the settings of now.
  wait "${pid_of[12]}" 2>/dev/null
  sleep 0.5
  sed -i 's/"bootstrap":true/"bootstrap":false/' "$work/boot12.json"
  start_node 12
  started_ms=$(date +%s%3N)
fi
wait "$client"

touch "$work/runs"
note "trouble=$trouble; the server's leaving, its late beat, and what it ran from its leaving on:"
ack_ms=$(sed -n 's/^deregistered i-leaving-12 status=200 ms=\([0-9]*\).*/\1/p' "$work/runs")
[ -n "$ack_ms" ] || cant_run "the leaving was not acknowledged"
grep -v "^run" "$work/runs" >>"$record"
[ "$started_ms" = 0 ] || note "the sidecar beside it was started again at ms=$started_ms"
# Counted are only requests that the rule counts: later than drain_timeout_s after the ack, and with
# all machines in touch, that is contact_s after the last start of one.
from_ms=$((ack_ms + drain_s * 1000))
[ $((started_ms + contact_s * 1000)) -le $from_ms ] || from_ms=$((started_ms + contact_s * 1000))
note "counted by the rule from ms=$from_ms on"
broken=0
while read -r line; do
  ms=${line##*ms=}
  [ "$ms" -ge "$ack_ms" ] || continue
  late=""
  [ "$ms" -le "$from_ms" ] || { late=" DRAIN"; broken=$((broken + 1)); }
  note "$((ms - ack_ms)) ms after the ack: $line$late"
done < <(grep "^run .* at=i-leaving-12 " "$work/runs")
note "what the client sent and was answered:"
cat "$work/calls" >>"$record"
note "what the servers ran:"
grep "^run" "$work/runs" >>"$record"
note "$broken requests reached the leaving server too late; $(grep -c ' at=i-staying-13 ' "$work/runs") ran at the other"
grep -q " at=i-staying-13 " "$work/runs" || cant_run "the other server ran nothing"
[ $broken = 0 ] || exit 1
