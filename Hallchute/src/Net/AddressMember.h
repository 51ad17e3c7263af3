// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_ADDRESSMEMBER_H
#define HALLCHUTE_NET_ADDRESSMEMBER_H

#include <string>

namespace Hallchute {

class JsonReader;

/// \brief Reads a JSON member of the form `ip:port`. Reports a finding if it is malformed, or if it
/// is \p required and missing. \ingroup Net
std::string readAddress(JsonReader& reader, const std::string& name, bool required);

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_ADDRESSMEMBER_H
