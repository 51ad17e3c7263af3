#!/usr/bin/env bash
# Upstreams of several software versions serve side by side: real gateway processes, two seeds.
set -euo pipefail
cd "$(dirname "$0")/../.."
for seed in 1 2; do
  echo "seed $seed"
  build/test/hallchute-gateway-soak build versions --seed "$seed" --seconds 24
done
