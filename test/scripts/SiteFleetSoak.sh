#!/usr/bin/env bash
# Two small deployments with settings from the platform's template, at the same time, with one event each.
set -euo pipefail
cd "$(dirname "$0")/../.."
soak=build/test/hallchute-gateway-soak
"$soak" build sites --daemons 6 --seed 4 --seconds 1 &
small=$!
"$soak" build sites --daemons 8 --seed 4 --seconds 1 &
large=$!
failed=0
wait "$small" || failed=1
wait "$large" || failed=1
exit "$failed"
