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

/// \brief Writes the answer of a job to a caller, as it grows or whole.
/// \ingroup Daemon
///
/// A stream's event ids count tokens, so that `Last-Event-ID` resumes it at any daemon. Only a
/// whole answer ends in `[DONE]`.
class AnswerWriter {
 public:
  AnswerWriter(Poco::Net::HTTPServerResponse& response, JobPtr job);
  /// \brief Server-sent events from token \p offset on. Returns when all is written or the caller
  /// is gone.
  void stream(std::size_t offset);
  /// \brief One JSON document once the answer is whole.
  void writeDocument();

 private:
  bool waitForStart(std::size_t offset, JobView& view);
  void sendMoved();
  std::string chunk(const std::string& token) const;
  std::string lastChunk() const;
  std::string document() const;
  JsonObject frame(const char* chatKind) const;

  Poco::Net::HTTPServerResponse& response_;
  JobPtr job_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_ANSWERWRITER_H
