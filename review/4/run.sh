#!/usr/bin/env bash
# Fault: one configuration with a long path_prefix ends every control node that it is sent to.
#   TROUBLE=0 ./run.sh   the same with a short one
here=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/lib.sh
. "$here/../lib.sh"
trouble=${TROUBLE:-1}

# The platform: starts a control node, and again a short while after it ended by itself.
platform() {
  local number=$1 status
  while [ ! -e "$work/over" ]; do
    (cd "$root" && MERLINGAUGE_SETTINGS=$work/boot$number.json exec target/merlingauge node \
      --metrics=9464/metrics) >>"$work/log$number" 2>&1 &
    echo $! >"$work/pid$number"
    wait $!
    status=$?
    [ -e "$work/over" ] || echo "control node $number ended by itself, status $status" >>"$work/ends"
    sed -i 's/"bootstrap":true/"bootstrap":false/' "$work/boot$number.json"
    sleep 0.5
  done
}
stop_platform() {
  kill -TERM "$watchdog" 2>/dev/null
  touch "$work/over"
  for i in $controls; do kill -TERM "$(cat "$work/pid$i")" 2>/dev/null; done
  wait
  end_all
}
trap stop_platform EXIT

config() { # REVISION EXTRA-PREFIX
  cat <<JSON
{"revision":$1,"route_rules":[
 {"name":"book","hostname":"api.example","path_prefix":"/book/","route_type":"non_idempotent","timeout_s":2,
  "target_latency_s":0.8,"priority":1,"target_service":"booking","max_attempts":2},
 {"name":"more","hostname":"api.example","path_prefix":"$2","route_type":"idempotent","timeout_s":2,
  "target_latency_s":0.8,"priority":2,"target_service":"booking","max_attempts":2}],
 "services":[{"name":"booking","health_check_path":"/health","max_connections":110}],
 "limits":{"max_header_bytes":65536,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15}}
JSON
}

touch "$work/ends"
for i in $controls; do settings $i control; done
for i in $controls; do platform $i 2>/dev/null & done
config 1 /read/ >"$work/first.json"
wait_until 30 put_config "$work/first.json" "$net.1:$control_port" 0 || cant_run "no configuration"

note "the first configuration was acknowledged by node 1"

# Valid by the pages: a prefix that begins and ends with a slash, a known service, a higher revision.
length=$([ "$trouble" = 0 ] && echo 100 || echo 60000)
long=$(printf '%*s' "$length" '' | tr ' ' a)
config 2 "/$long/" >"$work/second.json"
note "trouble=$trouble; a change of $(wc -c <"$work/second.json") bytes, one path_prefix of $((length + 2)) bytes"

# control nodes whose process has ended by itself three times or more
ended_often() {
  local i machines=0
  for i in $controls; do
    [ "$(grep -c "^control node $i " "$work/ends")" -lt 3 ] || machines=$((machines + 1))
  done
  echo $machines
}

# The operator sends the same call again, to another node each time, with a pause that grows, until
# there is a clear answer.
answer=0
end=$((SECONDS + 45))
for ((try = 0; SECONDS < end; try++)); do
  to=$net.$((try % 3 + 1)):$control_port
  answer=$("$standin" post "$to" /v1/Configuration.Replace 1 3000 <"$work/second.json")
  note "the operator's try $((try + 1)) at node $((try % 3 + 1)): status $answer"
  [[ $answer = 2* || $answer = 4* ]] && break
  [ "$(ended_often)" -lt 3 ] || break
  sleep $((try / 6 + 1))
done
sleep 1

cat "$work/ends" >>"$record"
machines=$(ended_often)
note "control nodes whose process ended by itself three times or more: $machines of 3"
[ "$machines" -ge 2 ] || { [ "$trouble" = 1 ] || [ "$answer" = 200 ] || cant_run "not acknowledged: $answer"; exit 0; }
note "Fault: on half of the core or more, processes ended by themselves three times"
exit 1
