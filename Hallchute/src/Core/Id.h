// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CORE_ID_H
#define HALLCHUTE_CORE_ID_H

#include <compare>
#include <string>
#include <utility>

namespace Hallchute {

/// \brief A strongly typed string identifier: ids of different kinds don't convert to each other.
/// \ingroup Core
/// \tparam Tag an incomplete type that distinguishes the kinds.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}
  const std::string& str() const { return value_; }
  bool empty() const { return value_.empty(); }
  auto operator<=>(const Id&) const = default;
  bool operator==(const Id&) const = default;

 private:
  std::string value_;
};

using DaemonId = Id<struct DaemonTag>;
using HostId = Id<struct HostTag>;
using UpstreamId = Id<struct UpstreamTag>;
using ServiceName = Id<struct ServiceTag>;
using SoftwareVersion = Id<struct SoftwareVersionTag>;
using FailureDomainName = Id<struct FailureDomainTag>;
using OrganisationName = Id<struct OrganisationTag>;
using WorkClassName = Id<struct WorkClassTag>;
using RequestId = Id<struct RequestTag>;

}  // namespace Hallchute

#endif  // HALLCHUTE_CORE_ID_H
