// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Observability/ExceptionText.h"

#include <Poco/Exception.h>

namespace Hallchute {

std::string exceptionText(const std::exception& exception) {
  const auto* const poco = dynamic_cast<const Poco::Exception*>(&exception);
  return poco == nullptr ? exception.what() : poco->displayText();
}

}  // namespace Hallchute
