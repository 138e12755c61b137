#!/usr/bin/env bash
# Tests quetzalyokectl against the fleet of scripts/quickstart.
set -uo pipefail
bin=$1
here=$(cd "$(dirname "$0")" && pwd)
. "$here/lib.sh"
start_limit_s=60
withdrawal_limit_s=5

dir=$(mktemp -d)
"$here/../../scripts/quickstart" --serve --built "$bin" --env "$dir/env" > "$dir/out" 2>&1 &
fleet=$!
trap 'kill -TERM $fleet 2>/dev/null; wait $fleet; rm -rf "$dir"' EXIT
is_started_or_dead() { [ -f "$dir/env" ] || ! kill -0 $fleet 2>/dev/null; }
eventually $start_limit_s is_started_or_dead || fail "the fleet did not start in time"
[ -f "$dir/env" ] || { cat "$dir/out" >&2; fail "the fleet did not start"; finish; }
. "$dir/env"
first=${GATEWAYS%%,*}
second=${GATEWAYS##*,}
read -ra operator <<< "$OPERATOR"
ctl=("$bin/quetzalyokectl" "${operator[@]}")
secret=("${operator[@]: -2}")

status_of() { curl -s --max-time 10 -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $1" "http://$2/v1/models"; }

# The model request and the plain-service call of the quickstart succeeded.
expect_in "$(cat "$dir/out")" "data: [DONE]"
expect_in "$(cat "$dir/out")" "201 Created"

# The output of show can be edited and applied. Of two concurrent edits the second is rejected.
expect_exit 0 "${ctl[@]}" show
applied=$(sed -n 's/^version \([0-9]*\) is in force$/\1/p' "$dir/out")
[ -n "$applied" ] && [ "$(head -1 <<< "$out")" = "; version $applied" ] \
    || fail "show begins with \"$(head -1 <<< "$out")\", applied was version $applied"
echo "$out" | sed 's/^burst_tokens = 8000/burst_tokens = 9000/' > "$dir/mine.ini"
echo "$out" | sed 's/^burst_tokens = 8000/burst_tokens = 7000/' > "$dir/theirs.ini"
expect_exit 6 "${ctl[@]}" diff "$dir/mine.ini"
expect_in "$out" "burst_tokens: 8000 -> 9000"
expect_exit 0 "${ctl[@]}" apply "$dir/mine.ini"
expect_exit 0 "${ctl[@]}" diff "$dir/mine.ini"
expect_exit 5 "${ctl[@]}" apply "$dir/theirs.ini"
expect_in "$out" "look again"
expect_exit 0 "${ctl[@]}" apply "$dir/mine.ini"
expect_exit 5 "${ctl[@]}" apply --first "$dir/theirs.ini"
expect_exit 2 "${ctl[@]}" apply "$here/../../examples/quickstart.ini"
expect_in "$out" "--seen"
sed 's/^base = .*/base = ghost/' "$dir/mine.ini" > "$dir/broken.ini"
expect_exit 1 "$bin/quetzalyokectl" check "$dir/broken.ini"
expect_in "$out" "broken.ini:$(grep -n ghost "$dir/broken.ini" | cut -d: -f1): "
checked=$out
expect_exit 1 "${ctl[@]}" apply "$dir/broken.ini"
[ "$out" = "$checked" ] || fail "apply and check differ: $out / $checked"
expect_exit 0 "${ctl[@]}" show
expect_in "$out" "burst_tokens = 9000"

# A key is shown only once and stored as a hash. Withdrawing it again succeeds.
expect_exit 1 "${ctl[@]}" key grant nobody
expect_in "$out" "no account named"
expect_exit 0 "${ctl[@]}" key grant pony-club
id=${out%% *}
key=${out##* }
works_at_both() { [ "$(status_of "$key" "$first")" = 200 ] && [ "$(status_of "$key" "$second")" = 200 ]; }
eventually $withdrawal_limit_s works_at_both || fail "a granted key does not work"
expect_exit 0 "${ctl[@]}" key list
expect_in "$out" "$id pony-club"
expect_not_in "$out" "$key"
table=$(curl -s --max-time 10 "http://$PLATFORM/table/scan?prefix=&after=0")
expect_in "$table" "$id"
expect_exit 0 "${ctl[@]}" key withdraw "$id"
stopped_at_both() { [ "$(status_of "$key" "$first")" = 401 ] && [ "$(status_of "$key" "$second")" = 401 ]; }
eventually $withdrawal_limit_s stopped_at_both || fail "a withdrawn key still works"
expect_exit 0 "${ctl[@]}" key withdraw "$id"
expect_exit 1 "${ctl[@]}" key withdraw 00
expect_exit 0 "${ctl[@]}" key list
expect_in "$out" "$id pony-club withdrawn"

# A change takes effect if the table's response is lost. While the table is unavailable, commands
# fail and change nothing.
faults() { curl -s --max-time 10 -o /dev/null -d "$1" "http://$PLATFORM/faults"; }
expect_exit 0 "${ctl[@]}" show
echo "$out" | sed 's/^burst_tokens = 9000/burst_tokens = 9500/' > "$dir/later.ini"
faults '{"lost_answers":2}'
expect_exit 0 "${ctl[@]}" apply "$dir/later.ini"
faults '{"lost_answers":2}'
expect_exit 0 "${ctl[@]}" key grant pony-club
granted=${out%% *}
faults '{"lost_answers":2}'
expect_exit 0 "${ctl[@]}" key withdraw "$granted"
expect_exit 0 "${ctl[@]}" show
expect_in "$out" "burst_tokens = 9500"
echo "$out" | sed 's/^burst_tokens = 9500/burst_tokens = 9600/' > "$dir/never.ini"
faults '{"outage":true}'
expect_exit 3 "${ctl[@]}" apply "$dir/never.ini"
expect_exit 3 "${ctl[@]}" key grant pony-club
expect_exit 3 "${ctl[@]}" key withdraw "$id"
faults '{}'
expect_exit 0 "${ctl[@]}" show
expect_in "$out" "burst_tokens = 9500"

# With several gateways, the next one is tried if one does not respond.
expect_exit 0 "$bin/quetzalyokectl" --gateway "127.0.0.1:1,$second" "${secret[@]}" key list
expect_exit 3 "$bin/quetzalyokectl" --gateway 127.0.0.1:1 "${secret[@]}" key list
expect_exit 0 "${ctl[@]}" status
expect_in "$out" "$first"
expect_in "$out" "$second"
echo "a-wrong-credential-of-some-length" > "$dir/wrong"
expect_exit 2 "$bin/quetzalyokectl" --gateway "$first" --operator-secret-file "$dir/wrong" status
expect_in "$out" "operator_secret_file"

# The timeline shows one request through all processes, in order.
body='{"model":"quick-answer","max_tokens":3,"messages":[{"role":"user","content":"my-private-words"}]}'
request=$(curl -s --max-time 20 -D - -o /dev/null -H "Authorization: Bearer $KEY" -d "$body" \
    "http://$second/v1/chat/completions" | tr -d '\r' | sed -n 's/^X-Request-Id: //p')
expect_exit 0 "${ctl[@]}" timeline --request "$request"
kinds=$(echo "$out" | cut -d' ' -f3 | tr '\n' ' ')
[ "$kinds" = "request-admitted request-submitted attempt-queued attempt-started attempt-finished request-completed " ] \
    || fail "the timeline of $request is: $kinds"
expect_exit 0 "${ctl[@]}" timeline --json
timeline=$out
expect_in "$timeline" '"key-withdrawn"'
expect_in "$timeline" '"configuration-in-force"'

# No part of a key or a body is stored or logged.
logs=$(cat "$LOGS"/*.log)
for secret_text in "${key##*_}" "${KEY##*_}" "${SECOND_KEY##*_}" my-private-words; do
    expect_not_in "$logs" "$secret_text"
    expect_not_in "$table" "$secret_text"
    expect_not_in "$timeline" "$secret_text"
done
finish
