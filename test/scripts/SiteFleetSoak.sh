#!/usr/bin/env bash
# Two small deployments with the settings of the platform's template, one event each, at the same time.
set -euo pipefail
cd "$(dirname "$0")/../.."
build/test/hallchute-gateway-soak build sites --daemons 6 --seed 1 --seconds 1 &
small=$!
build/test/hallchute-gateway-soak build sites --daemons 8 --seed 2 --seconds 1 >build/site-fleet-large.txt &
large=$!
failed=0
wait "$small" || failed=1
wait "$large" || failed=1
cat build/site-fleet-large.txt
exit "$failed"
