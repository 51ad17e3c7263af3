// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Upstream/PlainServiceHttp.h"

#include "Hallchute/src/Core/Overloaded.h"
#include "Hallchute/src/Net/HttpExchange.h"

namespace Hallchute {

PlainServiceHttp::PlainServiceHttp(std::string address, std::string source, Millis connectLimit)
    : address_(std::move(address)), source_(std::move(source)), connectLimit_(connectLimit) {}

PlainResult PlainServiceHttp::call(const PlainRequest& request, Millis responseTimeout) {
  HttpExchange exchange({address_, source_, connectLimit_, responseTimeout});
  const HttpResult result = exchange.run(
      {request.method, request.target, request.contentType, request.body, request.headers});
  return std::visit(
      Overloaded{[](const HttpResponse& answer) -> PlainResult {
                   const bool leaving =
                       answer.status == 503 && !answer.header("Service-Leaving").empty();
                   return PlainResponse{answer.status, answer.contentType, answer.body, leaving};
                 },
                 [](const HttpNeverSent& notSent) -> PlainResult {
                   return PlainNeverSent{notSent.detail};
                 },
                 [](const HttpMaybeSent& maybeSent) -> PlainResult {
                   return PlainMaybeSent{maybeSent.detail};
                 }},
      result);
}

}  // namespace Hallchute
