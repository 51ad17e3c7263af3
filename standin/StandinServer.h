// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_STANDIN_STANDINSERVER_H
#define HALLCHUTE_STANDIN_STANDINSERVER_H

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>
#include <string>

namespace Poco::Net {
class HTTPServer;
}  // namespace Poco::Net

namespace Standin {

/// \brief A request with its body read.
struct Request {
  std::string method;
  std::string path;
  /// Query members as sent, decoded.
  std::function<std::string(const std::string& name, const std::string& fallback)> query;
  std::string body;
  Poco::Net::HTTPServerRequest& raw;
};

/// \brief Answers one request.
using Handler =
    std::function<void(const Request& request, Poco::Net::HTTPServerResponse& response)>;

/// \brief Serves HTTP until it is destroyed.
class StandinServer {
 public:
  /// \param listen `ip:port`; port 0 takes one from the operating system.
  StandinServer(const std::string& listen, Handler handler);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;
  std::string address() const;

 private:
  Handler handler_;
  Poco::ThreadPool threads_;
  Poco::Net::ServerSocket socket_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

/// \brief Serves HTTP at \p listen until SIGTERM.
void serveHttp(const std::string& listen, const Handler& handler);

void sendJson(Poco::Net::HTTPServerResponse& response, int status,
              const Poco::JSON::Object::Ptr& json);

/// \brief Closes the connection without an answer.
void hangUp(const Request& request);

}  // namespace Standin

#endif  // HALLCHUTE_STANDIN_STANDINSERVER_H
