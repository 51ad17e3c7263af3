// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Http/HttpReader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace Hallchute {
namespace {

namespace http = boost::beast::http;
using boost::beast::string_view;
using Error = boost::beast::error_code;

/// Bytes of chunk sizes, extensions and line ends for each byte of the body: a chunk of one byte
/// needs five.
constexpr std::uint64_t kFramingPerBodyByte = 16;
/// Bytes of heads and framing beyond those, in limits of a head.
constexpr std::uint64_t kFramingHeads = 2;

/// Of any response (RFC 9110, 15).
constexpr int kFirstStatus = 100;
/// Nothing here asks for another protocol.
constexpr int kSwitchingProtocols = 101;

std::string_view view(string_view text) {
  return {text.data(), text.size()};
}

/// Stores the head and the body that Boost.Beast's parser reports; it reports trailers as fields.
template <bool isRequest>
class CollectingParser final : public http::basic_parser<isRequest> {
 public:
  HttpHead head;
  std::string body;
  std::uint64_t bodyBytes = 0;
  std::size_t fields = 0;
  std::size_t maxFields = 0;
  bool badFraming = false;

 private:
  void on_request_impl(http::verb, string_view method, string_view target, int version,
                       Error& error) override {
    error = {};
    head.method = view(method);
    head.target = view(target);
    head.version = version;
  }
  void on_response_impl(int status, string_view, int version, Error& error) override {
    error = {};
    // What follows either of them isn't known to be a message.
    if (status < kFirstStatus || status == kSwitchingProtocols) error = http::error::bad_status;
    head.status = status;
    head.version = version;
  }
  void on_field_impl(http::field, string_view name, string_view value, Error& error) override {
    error = {};
    if (++fields > maxFields) {
      error = http::error::header_limit;
      return;
    }
    // Fields of a trailer state nothing of the message (RFC 9110, 6.5.1).
    if (hasHead_) return;
    head.fields.add(view(name), view(value));
  }
  void on_header_impl(Error& error) override {
    error = {};
    hasHead_ = true;
    head.keepAlive = this->keep_alive();
    head.bodyEndsAtClose = !isRequest && this->need_eof();
    // Beast accepts other transfer codings, but the end of their bodies would be ambiguous.
    const bool hasTransferEncoding = head.fields.has("Transfer-Encoding");
    const bool hasBothLengths = hasTransferEncoding && head.fields.has("Content-Length");
    if ((hasTransferEncoding && !this->chunked()) || hasBothLengths) badFraming = true;
    if (badFraming) error = http::error::bad_transfer_encoding;
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>&, Error& error) override {
    error = {};
  }
  std::size_t on_body_impl(string_view bytes, Error& error) override {
    error = {};
    keepBody(bytes);
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t, string_view, Error& error) override { error = {}; }
  std::size_t on_chunk_body_impl(std::uint64_t, string_view bytes, Error& error) override {
    error = {};
    keepBody(bytes);
    return bytes.size();
  }
  void on_finish_impl(Error& error) override { error = {}; }
  void keepBody(string_view bytes) {
    if (body.size() + bytes.size() > body.capacity()) growBody(bytes.size());
    body.append(bytes.data(), bytes.size());
    bodyBytes += bytes.size();
  }
  /// Doubles the capacity, but not beyond an announced length.
  void growBody(std::size_t added) {
    std::size_t capacity = std::max(body.size() + added, 2 * body.capacity());
    if (const auto announced = this->content_length()) {
      const std::uint64_t left = *announced - std::min(*announced, bodyBytes);
      capacity =
          std::min<std::uint64_t>(capacity, std::max<std::uint64_t>(added, left) + body.size());
    }
    // A string that grows in place doubles its capacity in any case.
    std::string grown;
    grown.reserve(capacity);
    grown.append(body);
    body = std::move(grown);
  }

  bool hasHead_ = false;
};

HttpProgress progressFromError(const Error& error) {
  if (error == http::error::need_more) return HttpProgress::needsMore;
  if (error == http::error::header_limit) return HttpProgress::headTooLarge;
  if (error == http::error::body_limit) return HttpProgress::bodyTooLarge;
  return HttpProgress::malformed;
}

}  // namespace

class HttpReader::Parser {
 public:
  template <typename Visitor>
  decltype(auto) visit(const Visitor& visitor) {
    return std::visit(visitor, parser_);
  }

  Parser(HttpMessageType messageType, HttpReaderLimits limits) : limits_(limits) {
    if (messageType == HttpMessageType::responses) parser_.emplace<CollectingParser<false>>();
    visit([&](auto& parser) {
      parser.eager(true);
      parser.maxFields = limits.fields;
      parser.header_limit(limits.headBytes);
      parser.body_limit(limits.bodyBytes);
    });
  }

  HttpProgress read(std::string& buffer) {
    return visit([&](auto& parser) {
      while (!buffer.empty() && !parser.is_done()) {
        started = true;
        Error error;
        const std::size_t consumed = parser.put(boost::asio::buffer(buffer), error);
        buffer.erase(0, consumed);
        parsedBytes_ += consumed;
        if (error && error != http::error::need_more) return progressFromError(error);
        if (error || consumed == 0) break;
      }
      if (parser.is_done()) return HttpProgress::complete;
      return progressWithin(parser.is_header_done(), parser.bodyBytes, buffer.size());
    });
  }

  HttpProgress end() {
    return visit([&](auto& parser) {
      if (parser.is_done()) return HttpProgress::complete;
      if (!parser.is_header_done()) return HttpProgress::malformed;
      Error error;
      parser.put_eof(error);
      return error ? HttpProgress::malformed : HttpProgress::complete;
    });
  }

  bool started = false;

 private:
  /// Beast limits what it is given in one piece: not a head whose fields come one by one, nor
  /// chunk extensions and trailers at all.
  /// \param unparsed bytes that wait for the end of a line, or of the trailers.
  HttpProgress progressWithin(bool hasHead, std::uint64_t bodyBytes, std::size_t unparsed) const {
    const std::uint64_t headLimit = limits_.headBytes;
    const std::uint64_t all = parsedBytes_ + unparsed;
    if (!hasHead) return all > headLimit ? HttpProgress::headTooLarge : HttpProgress::needsMore;
    const std::uint64_t framing = all - bodyBytes;
    const std::uint64_t allowed = kFramingHeads * headLimit + kFramingPerBodyByte * bodyBytes;
    const bool tooLarge = unparsed > headLimit || framing > allowed;
    return tooLarge ? HttpProgress::framingTooLarge : HttpProgress::needsMore;
  }

  HttpReaderLimits limits_;
  std::uint64_t parsedBytes_ = 0;
  std::variant<CollectingParser<true>, CollectingParser<false>> parser_;
};

HttpReader::HttpReader(HttpMessageType messageType, HttpReaderLimits limits)
    : parser_(std::make_unique<Parser>(messageType, limits)) {}
HttpReader::~HttpReader() = default;
HttpReader::HttpReader(HttpReader&&) noexcept = default;
HttpReader& HttpReader::operator=(HttpReader&&) noexcept = default;

HttpProgress HttpReader::read(std::string& buffer) {
  return parser_->read(buffer);
}

HttpProgress HttpReader::end() {
  return parser_->end();
}

void HttpReader::expectNoBody() {
  parser_->visit([](auto& parser) { parser.skip(true); });
}

bool HttpReader::hasHead() const {
  return parser_->visit([](auto& parser) { return parser.is_header_done(); });
}

bool HttpReader::started() const {
  return parser_->started;
}

const HttpHead& HttpReader::head() const {
  return parser_->visit([](auto& parser) -> const HttpHead& { return parser.head; });
}

HttpHead HttpReader::takeHead() {
  return parser_->visit([](auto& parser) { return std::exchange(parser.head, {}); });
}

std::size_t HttpReader::heldBytes() const {
  return parser_->visit([](auto& parser) {
    return (parser.is_header_done() ? parser.head.heldBytes() : 0) + parser.body.size();
  });
}

std::string HttpReader::takeBody() {
  return parser_->visit([](auto& parser) { return std::exchange(parser.body, {}); });
}

std::size_t HttpHead::heldBytes() const {
  std::size_t sum = method.size() + target.size();
  for (const HttpField& field : fields.all()) {
    sum += sizeof(HttpField) + field.name.size() + field.value.size();
  }
  return sum;
}

bool HttpHead::holdsEvents() const {
  return fields.get("Content-Type").starts_with("text/event-stream");
}

}  // namespace Hallchute
