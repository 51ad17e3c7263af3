#!/usr/bin/env bash
# Daemons are cut off from all replicas: real gateway processes, two seeds.
set -euo pipefail
cd "$(dirname "$0")/../.."
for seed in 1 2; do
  echo "seed $seed"
  build/test/hallchute-gateway-soak build cuts --seed "$seed" --seconds 28
done
