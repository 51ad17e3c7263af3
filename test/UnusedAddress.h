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

}  // namespace Hallchute

#endif  // HALLCHUTE_TEST_UNUSEDADDRESS_H
