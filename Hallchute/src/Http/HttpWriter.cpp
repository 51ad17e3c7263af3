// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Http/HttpWriter.h"

#include <Poco/Net/HTTPResponse.h>
#include <absl/strings/str_cat.h>

namespace Hallchute {
namespace {

absl::string_view abslView(std::string_view text) {
  return {text.data(), text.size()};
}

void appendFields(const HttpFields& fields, std::string& out) {
  for (const HttpField& field : fields.all()) {
    absl::StrAppend(&out, field.name, ": ", field.value, "\r\n");
  }
}

std::string responseHead(int status, const HttpFields& fields, ConnectionPersistence persistence) {
  const auto httpStatus = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status);
  const std::string& reason = Poco::Net::HTTPResponse::getReasonForStatus(httpStatus);
  std::string out = absl::StrCat("HTTP/1.1 ", status, " ", reason, "\r\n");
  appendFields(fields, out);
  if (persistence == ConnectionPersistence::close) out += "Connection: close\r\n";
  return out;
}

}  // namespace

std::string requestHeadBytes(std::string_view method, std::string_view target,
                             const HttpFields& fields, std::size_t bodyBytes) {
  std::string out = absl::StrCat(abslView(method), " ", abslView(target), " HTTP/1.1\r\n");
  appendFields(fields, out);
  const bool bodyless = bodyBytes == 0 && (method == "GET" || method == "HEAD");
  if (!bodyless) absl::StrAppend(&out, "Content-Length: ", bodyBytes, "\r\n");
  return out + "\r\n";
}

std::string responseBytes(int status, const HttpFields& fields, std::string_view body,
                          ConnectionPersistence persistence, bool withBody) {
  std::string out = responseHead(status, fields, persistence);
  const bool bodyless = status == 204 || status == 304;
  if (!bodyless) absl::StrAppend(&out, "Content-Length: ", body.size(), "\r\n");
  out += "\r\n";
  if (withBody && !bodyless) out += body;
  return out;
}

std::string chunkedHeadBytes(int status, const HttpFields& fields,
                             ConnectionPersistence persistence) {
  return responseHead(status, fields, persistence) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunkBytes(std::string_view bytes) {
  return absl::StrCat(absl::Hex(bytes.size()), "\r\n", abslView(bytes), "\r\n");
}

}  // namespace Hallchute
