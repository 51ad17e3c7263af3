#!/usr/bin/env bash
# Demand jumps at replicas that crash under what they reject: real gateway processes, two sizes of fleet.
set -euo pipefail
cd "$(dirname "$0")/../.."
for daemons in 15 30; do
  echo "$daemons daemons"
  build/test/hallchute-gateway-soak build jumps --daemons "$daemons" --seed 7001 --seconds 20
done
