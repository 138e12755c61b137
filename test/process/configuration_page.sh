#!/usr/bin/env bash
# Checks that docs/CONFIGURATION.md names every setting of gateway, agent and entry gateway.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/lib.sh"
page=$(cat "$here/../../docs/CONFIGURATION.md")
settings=$(sed -n 's/.*\(reader\.[a-z]*(\|(reader, \)"\([a-z_]*\)".*/\2/p; s/^ *"\([a-z_]*_policy\)".*/\1/p' \
    "$here/../../src/Apps/Gateway/GatewaySettings.cpp" "$here/../../src/Apps/Agent/AgentSettings.cpp" \
    "$here/../../src/Apps/Entry/EntrySettings.cpp" \
    | sort -u)
[ "$(wc -l <<< "$settings")" -gt 30 ] || fail "settings are no longer found in the sources"
for it in $settings; do
    expect_in "$page" "| \`$it\` |"
done
finish
