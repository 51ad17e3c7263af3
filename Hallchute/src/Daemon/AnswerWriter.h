// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_ANSWERWRITER_H
#define HALLCHUTE_DAEMON_ANSWERWRITER_H

#include <cstddef>
#include <memory>
#include <string>

#include "Hallchute/src/Daemon/Job.h"
#include "Hallchute/src/Settings/JsonTree.h"

namespace Poco::Net {
class HTTPServerResponse;
}  // namespace Poco::Net

namespace Hallchute {

using JobPtr = std::shared_ptr<Job>;

/// \brief Writes the answer of a job to a caller, either as a stream or as one document.
/// \ingroup Daemon
///
/// The event ids of a stream are token counts, so that any daemon can resume it from
/// `Last-Event-ID`. Only a complete answer ends with `[DONE]`.
class AnswerWriter {
 public:
  AnswerWriter(Poco::Net::HTTPServerResponse& response, JobPtr job);
  /// \brief Writes server-sent events from token \p offset on. Returns when the answer has ended or
  /// the caller has disconnected.
  void stream(std::size_t offset);
  /// \brief Waits until the answer is complete and writes it as one JSON document.
  void writeDocument();

 private:
  bool waitForStart(std::size_t offset, JobView& view);
  void sendRedirect();
  std::string tokenChunk(const std::string& token) const;
  std::string finalChunk() const;
  std::string responseDocument() const;
  JsonObject responseObject(const char* chatObjectType) const;

  Poco::Net::HTTPServerResponse& response_;
  JobPtr job_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_ANSWERWRITER_H
