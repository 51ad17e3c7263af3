// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_ADDRESSMEMBER_H
#define HALLCHUTE_NET_ADDRESSMEMBER_H

#include <string>

namespace Hallchute {

class JsonReader;

/// \brief Reads a member that holds `ip:port`; a finding if it is something else, or absent though
/// \p required. \ingroup Net
std::string readAddress(JsonReader& reader, const std::string& name, bool required);

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_ADDRESSMEMBER_H
