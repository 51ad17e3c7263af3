// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "standin/RawRequest.h"

#include <absl/strings/numbers.h>

namespace Standin {
namespace {

constexpr std::size_t kHeadEndLength = 4;

}  // namespace

std::string fieldOf(const std::string& head, const std::string& name) {
  const std::size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  const std::size_t start = at + name.size() + 4;
  return head.substr(start, head.find("\r\n", start) - start);
}

std::string takeRequest(std::string& in) {
  const std::size_t headEnd = in.find("\r\n\r\n");
  if (headEnd == std::string::npos) return {};
  std::size_t length = 0;
  if (!absl::SimpleAtoi(fieldOf(in.substr(0, headEnd), "Content-Length"), &length)) length = 0;
  const std::size_t whole = headEnd + kHeadEndLength + length;
  if (in.size() < whole) return {};
  std::string request = in.substr(0, whole);
  in.erase(0, whole);
  return request;
}

std::string bodyOf(const std::string& request) {
  return request.substr(request.find("\r\n\r\n") + kHeadEndLength);
}

}  // namespace Standin
