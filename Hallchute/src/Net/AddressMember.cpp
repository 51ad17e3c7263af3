// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Net/AddressMember.h"

#include <Poco/Net/SocketAddress.h>

#include "Hallchute/src/Settings/JsonReader.h"

namespace Hallchute {

std::string readAddress(JsonReader& reader, const std::string& name, bool required) {
  std::string text = reader.text(name, required);
  if (text.empty()) return text;
  try {
    const Poco::Net::SocketAddress parsed(text);
    if (text.find(':') == std::string::npos) reader.report(name, "must be ip:port");
  } catch (const Poco::Exception&) {
    reader.report(name, "must be ip:port");
  }
  return text;
}

}  // namespace Hallchute
