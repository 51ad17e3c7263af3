// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

int main() {
  return 0;
}
