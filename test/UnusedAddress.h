// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_UNUSEDADDRESS_H
#define HALLCHUTE_TEST_UNUSEDADDRESS_H

#include <string>

namespace Hallchute {

/// \brief A loopback address at which nobody listens unless the test does.
///
/// The port stays reserved until the process ends: the kernel would soon give it to another test.
std::string unusedAddress();

/// \brief An address at \p ip that nobody had in this process before and at which nobody listens.
///
/// The port isn't reserved, so that anybody can listen there; the kernel may give it to others.
std::string newAddress(const std::string& ip);

}  // namespace Hallchute

#endif  // HALLCHUTE_TEST_UNUSEDADDRESS_H
