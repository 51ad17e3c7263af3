// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CORE_OVERLOADED_H
#define HALLCHUTE_CORE_OVERLOADED_H

namespace Hallchute {

/// \brief Combines several lambdas into one visitor for `std::visit`.
/// \ingroup Core
template <typename... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace Hallchute

#endif  // HALLCHUTE_CORE_OVERLOADED_H
