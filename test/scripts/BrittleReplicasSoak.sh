#!/usr/bin/env bash
# Replicas crash under what they reject: real gateway processes, two seeds.
set -euo pipefail
cd "$(dirname "$0")/../.."
for seed in 1 2; do
  echo "seed $seed"
  build/test/hallchute-gateway-soak build brittle --seed "$seed" --seconds 20
done
