#!/usr/bin/env bash
# Tests --version, --help, invalid command lines, invalid settings and --check-settings of every
# program.
set -uo pipefail
bin=$1
. "$(dirname "$0")/lib.sh"
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
umask 077
head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' > "$dir/secret"

cat > "$dir/gateway.ini" <<INI
[gateway]
instance = g
zone = a
listen = 127.0.0.1:0
http_listen = 127.0.0.1:0
platform_address = 127.0.0.1:9
fleet_secret_file = $dir/secret
operator_secret_file = $dir/secret
INI
cat > "$dir/agent.ini" <<INI
[agent]
instance = a
server = e
zone = a
listen = 127.0.0.1:0
http_listen = 127.0.0.1:0
backend = 127.0.0.1:9
backend_kind = engine
memory_mb = 10
gateways = 127.0.0.1:9
fleet_secret_file = $dir/secret
INI
printf '[standin]\nlisten = 127.0.0.1:0\n' > "$dir/standin.ini"

for it in gateway agent standin-platform standin-engine standin-service; do
    program=$bin/quetzalyoke-$it
    settings=$dir/${it%%-*}.ini
    expect_exit 0 "$program" --version
    expect_in "$out" "quetzalyoke-$it"
    expect_exit 0 "$program" --help
    expect_in "$out" "--check-settings"
    expect_exit 2 "$program"
    expect_exit 2 "$program" --settings "$dir/missing.ini"
    expect_in "$out" "missing.ini can't be read"
    expect_exit 0 "$program" --settings "$settings" --check-settings
    expect_in "$out" "settings are valid"
    lines=$(wc -l < "$settings")
    { cat "$settings"; echo "colour = red"; } > "$dir/wrong.ini"
    expect_exit 2 "$program" --settings "$dir/wrong.ini"
    expect_in "$out" "wrong.ini:$((lines + 1)): "
    expect_in "$out" "remove it, or correct it"
    expect_not_in "$out" "$(cat "$dir/secret")"
done

expect_exit 0 "$bin/quetzalyokectl" --version
expect_exit 0 "$bin/quetzalyokectl" --help
expect_in "$out" "Exit codes"
expect_exit 2 "$bin/quetzalyokectl"
expect_exit 2 "$bin/quetzalyokectl" status
expect_in "$out" "--operator-secret-file"
expect_exit 2 "$bin/quetzalyokectl" --operator-secret-file "$dir/secret" status
expect_in "$out" "--gateway"
finish
