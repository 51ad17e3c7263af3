// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_ORIGINEXCHANGE_H
#define HALLCHUTE_TRAFFIC_ORIGINEXCHANGE_H

#include <functional>
#include <vector>

#include "Hallchute/src/Gateway/StreamOrigin.h"

namespace Hallchute {

/// \brief Tells other daemons which software version began a stream, and asks them. Traffic thread
/// only. \ingroup Traffic
class OriginExchange {
 public:
  using ReplySink = std::function<void(const StreamOriginReply& reply)>;

  OriginExchange() = default;
  OriginExchange(const OriginExchange&) = delete;
  OriginExchange& operator=(const OriginExchange&) = delete;
  virtual ~OriginExchange() = default;

  virtual void tell(std::vector<StreamOrigin> origins) = 0;
  /// \brief Asks for the origin of a stream of \p service. \p onReply is called once from the loop:
  /// with an origin, as soon as one comes; otherwise once all have replied or the time is up.
  virtual void ask(StreamKey stream, const ServiceName& service, ReplySink onReply) = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_ORIGINEXCHANGE_H
