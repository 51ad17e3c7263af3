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

constexpr std::size_t kMaxBodyBytes = 64U << 20U;
constexpr std::size_t kReadBytes = 16U << 10U;

Poco::Timespan timespan(Millis time) {
  return {static_cast<Poco::Timespan::TimeDiff>(time.count()) * Poco::Timespan::MILLISECONDS};
}

Poco::Net::StreamSocket connect(const HttpEndpoint& endpoint) {
  Poco::Net::StreamSocket socket;
  if (!endpoint.source.empty()) {
    socket.impl()->bind(Poco::Net::SocketAddress(endpoint.source, 0), false);
  }
  socket.connect(Poco::Net::SocketAddress(endpoint.address), timespan(endpoint.connectTimeout));
  socket.setNoDelay(true);
  // HTTPClientSession applies its timeouts only to connections that it opens itself.
  socket.setSendTimeout(timespan(endpoint.responseTimeout));
  socket.setReceiveTimeout(timespan(endpoint.responseTimeout));
  return socket;
}

/// Reads \p length bytes, or up to the end of the stream if it is negative.
/// \returns whether all \p length bytes were read.
bool readBody(std::istream& in, std::streamsize length, std::string& body) {
  std::array<char, kReadBytes> buffer;
  while (in.good() && body.size() <= kMaxBodyBytes) {
    std::streamsize toRead = static_cast<std::streamsize>(buffer.size());
    if (length >= 0) toRead = std::min(toRead, length - static_cast<std::streamsize>(body.size()));
    if (toRead == 0) return true;
    in.read(buffer.data(), toRead);
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

HttpExchange::HttpExchange(HttpEndpoint endpoint) : endpoint_(std::move(endpoint)) {}
HttpExchange::~HttpExchange() = default;

HttpResult HttpExchange::open(const HttpRequest& call) {
  try {
    session_ = std::make_unique<Poco::Net::HTTPClientSession>(connect(endpoint_));
  } catch (const Poco::Exception& e) {
    return HttpNeverSent{endpoint_.address + ": " + e.displayText()};
  }
  try {
    HTTPRequest request(call.method, call.target, HTTPRequest::HTTP_1_1);
    request.setHost(endpoint_.address);
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
    return HttpMaybeSent{endpoint_.address + ": " + e.displayText(), true};
  } catch (const Poco::Exception& e) {
    return HttpMaybeSent{endpoint_.address + ": " + e.displayText()};
  }
}

HttpResult HttpExchange::run(const HttpRequest& call) {
  HttpResult result = open(call);
  auto* answer = std::get_if<HttpResponse>(&result);
  if (answer == nullptr) return result;
  const bool empty = call.method == HTTPRequest::HTTP_HEAD || answer->status == 204;
  if (empty) return result;
  if (!response_->hasContentLength()) {
    return HttpMaybeSent{endpoint_.address + ": the answer has no Content-Length"};
  }
  if (!readBody(*body_, response_->getContentLength64(), answer->body)) {
    return HttpMaybeSent{endpoint_.address + ": the answer was cut short"};
  }
  return result;
}

}  // namespace Hallchute
