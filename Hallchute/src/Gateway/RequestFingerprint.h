// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_REQUESTFINGERPRINT_H
#define HALLCHUTE_GATEWAY_REQUESTFINGERPRINT_H

#include <cstdint>
#include <string>
#include <string_view>

#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief Hash of a request's content: equal for all attempts of a caller, whose ids differ, and in
/// all daemons. \ingroup Gateway
enum class RequestFingerprint : std::uint64_t {};

/// \param target the request target with its query.
/// \param organisation the caller's organisation; empty on routes that need no API key.
/// Cost: one pass over the body.
RequestFingerprint fingerprintOf(std::string_view method, std::string_view target,
                                 const OrganisationName& organisation, std::string_view body);

/// \brief The fingerprint of a part of a prompt at a service, in whatever requests it comes.
RequestFingerprint fingerprintOfPart(const ServiceName& service, std::string_view partId);

/// \brief The fingerprint in logs and stored records: 16 hexadecimal digits.
std::string describe(RequestFingerprint fingerprint);
/// \brief The inverse of describe(). \returns whether \p text is a fingerprint.
bool parseFingerprint(std::string_view text, RequestFingerprint& fingerprint);

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_REQUESTFINGERPRINT_H
