// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Net/HttpExchange.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <istream>

namespace Hallchute {
namespace {

using Poco::Net::HTTPRequest;

constexpr std::size_t kMaxAnswer = 64U << 20U;
constexpr std::size_t kReadSize = 16U << 10U;

Poco::Timespan timespan(Millis time) {
  return {static_cast<Poco::Timespan::TimeDiff>(time.count()) * Poco::Timespan::MILLISECONDS};
}

Poco::Net::StreamSocket connect(const HttpRoute& route) {
  Poco::Net::StreamSocket socket;
  if (!route.source.empty()) {
    socket.impl()->bind(Poco::Net::SocketAddress(route.source, 0), false);
  }
  socket.connect(Poco::Net::SocketAddress(route.address), timespan(route.connectLimit));
  socket.setNoDelay(true);
  // The session applies its own time limits only to connections that it opens itself.
  socket.setSendTimeout(timespan(route.answerLimit));
  socket.setReceiveTimeout(timespan(route.answerLimit));
  return socket;
}

/// Reads at most \p length bytes, or up to the end if it is negative.
/// \returns whether the end was reached with no byte missing.
bool readBody(std::istream& in, std::streamsize length, std::string& body) {
  std::array<char, kReadSize> buffer;
  while (in.good() && body.size() <= kMaxAnswer) {
    std::streamsize wanted = static_cast<std::streamsize>(buffer.size());
    if (length >= 0) wanted = std::min(wanted, length - static_cast<std::streamsize>(body.size()));
    if (wanted == 0) return true;
    in.read(buffer.data(), wanted);
    body.append(buffer.data(), static_cast<std::size_t>(in.gcount()));
  }
  return false;
}

}  // namespace

std::string HttpResponse::header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (Poco::icompare(key, std::string(name)) == 0) return value;
  }
  return {};
}

HttpExchange::HttpExchange(HttpRoute route) : route_(std::move(route)) {}
HttpExchange::~HttpExchange() = default;

HttpResult HttpExchange::open(const HttpRequest& call) {
  try {
    session_ = std::make_unique<Poco::Net::HTTPClientSession>(connect(route_));
  } catch (const Poco::Exception& e) {
    return HttpNeverSent{route_.address + ": " + e.displayText()};
  }
  try {
    HTTPRequest request(call.method, call.target, HTTPRequest::HTTP_1_1);
    request.setHost(route_.address);
    request.setKeepAlive(false);
    for (const auto& [name, value] : call.headers) request.set(name, value);
    if (!call.contentType.empty()) request.setContentType(call.contentType);
    if (!call.body.empty() || call.method != HTTPRequest::HTTP_GET) {
      request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
    }
    session_->sendRequest(request) << call.body << std::flush;
    response_ = std::make_unique<Poco::Net::HTTPResponse>();
    body_ = &session_->receiveResponse(*response_);
    HttpResponse answer;
    answer.status = response_->getStatus();
    answer.contentType = response_->getContentType();
    for (const auto& [name, value] : *response_) answer.headers.emplace_back(name, value);
    return answer;
  } catch (const Poco::TimeoutException& e) {
    return HttpMaybeSent{route_.address + ": " + e.displayText(), true};
  } catch (const Poco::Exception& e) {
    return HttpMaybeSent{route_.address + ": " + e.displayText()};
  }
}

HttpResult HttpExchange::run(const HttpRequest& call) {
  HttpResult result = open(call);
  auto* answer = std::get_if<HttpResponse>(&result);
  if (answer == nullptr) return result;
  const bool empty = call.method == HTTPRequest::HTTP_HEAD || answer->status == 204;
  if (empty) return result;
  if (!response_->hasContentLength()) {
    return HttpMaybeSent{route_.address + ": the answer has no Content-Length"};
  }
  if (!readBody(*body_, response_->getContentLength64(), answer->body)) {
    return HttpMaybeSent{route_.address + ": the answer was cut short"};
  }
  return result;
}

}  // namespace Hallchute
