// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/AnswerWriter.h"

#include <Poco/Net/HTTPServerResponse.h>

#include <ostream>

#include "Hallchute/src/Daemon/Problem.h"

namespace Hallchute {
namespace {

/// How long a reader waits at a time; only a bound on how late it sees that its caller is gone.
constexpr Millis kWait{1'000};
constexpr int kReconnectMs = 100;

bool hasEnded(JobStage stage) {
  return stage == JobStage::finished || stage == JobStage::refused || stage == JobStage::handedOver;
}

std::string location(const Job& job) {
  return "/v1/requests/" + job.spec().request.str();
}

}  // namespace

AnswerWriter::AnswerWriter(Poco::Net::HTTPServerResponse& response, JobPtr job)
    : response_(response), job_(std::move(job)) {
  response_.set("Hallchute-Request", job_->spec().request.str());
}

JsonObject AnswerWriter::frame(const char* chatKind) const {
  JsonObject json = new Poco::JSON::Object;
  json->set("id", job_->spec().request.str());
  json->set("object", job_->spec().chat ? std::string(chatKind) : std::string("text_completion"));
  json->set("model", job_->spec().service.str());
  return json;
}

std::string AnswerWriter::chunk(const std::string& token) const {
  JsonObject choice = new Poco::JSON::Object;
  choice->set("index", 0);
  if (job_->spec().chat) {
    JsonObject delta = new Poco::JSON::Object;
    delta->set("content", token);
    choice->set("delta", delta);
  } else {
    choice->set("text", token);
  }
  Poco::JSON::Array::Ptr choices = new Poco::JSON::Array;
  choices->add(choice);
  JsonObject json = frame("chat.completion.chunk");
  json->set("choices", choices);
  return jsonText(json);
}

std::string AnswerWriter::lastChunk() const {
  JsonObject choice = new Poco::JSON::Object;
  choice->set("index", 0);
  if (job_->spec().chat) choice->set("delta", JsonObject(new Poco::JSON::Object));
  choice->set("finish_reason", "stop");
  Poco::JSON::Array::Ptr choices = new Poco::JSON::Array;
  choices->add(choice);
  JsonObject json = frame("chat.completion.chunk");
  json->set("choices", choices);
  return jsonText(json);
}

std::string AnswerWriter::document() const {
  const JobView view = job_->view(0, Millis(0));
  std::string text;
  for (const std::string& token : view.tokens) text += token;
  JsonObject choice = new Poco::JSON::Object;
  choice->set("index", 0);
  choice->set("finish_reason", "stop");
  if (job_->spec().chat) {
    JsonObject message = new Poco::JSON::Object;
    message->set("role", "assistant");
    message->set("content", text);
    choice->set("message", message);
  } else {
    choice->set("text", text);
  }
  Poco::JSON::Array::Ptr choices = new Poco::JSON::Array;
  choices->add(choice);
  JsonObject usage = new Poco::JSON::Object;
  usage->set("prompt_tokens", job_->spec().promptTokens);
  usage->set("completion_tokens", view.tokens.size());
  JsonObject json = frame("chat.completion");
  json->set("choices", choices);
  json->set("usage", usage);
  return jsonText(json);
}

/// Waits for the first thing to say, so that a refusal still gets its own status.
bool AnswerWriter::waitForStart(std::size_t offset, JobView& view) {
  do {
    view = job_->view(offset, kWait);
  } while (view.tokens.empty() && !hasEnded(view.stage));
  if (view.stage != JobStage::refused || !view.tokens.empty() || offset > 0) return true;
  sendProblem(response_, *view.refusal, job_->spec().request.str());
  return false;
}

void AnswerWriter::sendMoved() {
  response_.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_SEE_OTHER);
  response_.set("Location", location(*job_));
  response_.setContentLength(0);
  response_.send();
}

void AnswerWriter::stream(std::size_t offset) {
  JobView view;
  if (!waitForStart(offset, view)) return;
  response_.setContentType("text/event-stream");
  response_.set("Cache-Control", "no-store");
  response_.setChunkedTransferEncoding(true);
  std::ostream& out = response_.send();
  for (;;) {
    for (const std::string& token : view.tokens) {
      out << "id: " << ++offset << "\ndata: " << chunk(token) << "\n\n";
    }
    out.flush();
    if (!out.good()) return;
    if (hasEnded(view.stage) && view.tokens.empty()) break;
    view = job_->view(offset, kWait);
  }
  const std::string request = job_->spec().request.str();
  switch (view.stage) {
    case JobStage::finished:
      out << "data: " << lastChunk() << "\n\ndata: [DONE]\n\n";
      break;
    case JobStage::handedOver:
      out << "retry: " << kReconnectMs << "\nevent: moved\ndata: {\"location\":\""
          << location(*job_) << "\"}\n\n";
      break;
    default:
      out << "event: error\ndata: " << problemDocument(*view.refusal, request) << "\n\n";
      break;
  }
  out.flush();
}

void AnswerWriter::writeDocument() {
  JobView view;
  do {
    view = job_->view(SIZE_MAX, kWait);
  } while (!hasEnded(view.stage));
  if (view.stage == JobStage::handedOver) {
    sendMoved();
  } else if (view.stage == JobStage::refused) {
    sendProblem(response_, *view.refusal, job_->spec().request.str());
  } else {
    const std::string body = document();
    response_.setContentType("application/json");
    response_.sendBuffer(body.data(), body.size());
  }
}

}  // namespace Hallchute
