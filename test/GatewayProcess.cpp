// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/GatewayProcess.h"

#include <Poco/Exception.h>
#include <Poco/File.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/TemporaryFile.h>
#include <absl/strings/str_cat.h>
#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

#include "test/UnusedAddress.h"

namespace TestSupport {
namespace {

constexpr std::chrono::milliseconds kPollInterval{10};

bool answersNow(const std::string& address) {
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address), Poco::Timespan(0, 200'000));
    socket.setReceiveTimeout(Poco::Timespan(0, 200'000));
    const std::string request = "GET /ready HTTP/1.1\r\nHost: test\r\n\r\n";
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    char byte = 0;
    return socket.receiveBytes(&byte, 1) == 1;
  } catch (const Poco::Exception&) {
    return false;
  }
}

}  // namespace

GatewayProcess::GatewayProcess(const std::string& address)
    : store(Hallchute::newAddress(address)),
      callers(Hallchute::newAddress(address)),
      readiness(Hallchute::newAddress(address)),
      peers(Hallchute::newAddress(address)),
      metrics(Hallchute::newAddress(address)),
      ip(address),
      folder_(Poco::TemporaryFile::tempName()) {
  Poco::File(folder_).createDirectories();
}

GatewayProcess::~GatewayProcess() {
  process_.reset();
  Poco::File(folder_).remove(true);
}

std::string GatewayProcess::settingsPath() const {
  return folder_ + "/gateway.json";
}

void GatewayProcess::writeSettings() const {
  std::ofstream(settingsPath()) << absl::StrCat(
      R"({"daemon":"gateway","failureDomain":"domain","ip":")", ip, R"(","seeds":[")", peers,
      R"("],"listen":{"callers":")", callers, R"(","readiness":")", readiness, R"(","peers":")",
      peers, R"(","metrics":")", metrics, R"("},"store":{"address":")", store,
      R"("},"descriptors":)", descriptors,
      memoryMb > 0 ? absl::StrCat(R"(,"memoryMb":)", memoryMb) : "", "}");
}

void GatewayProcess::start() {
  start({{"--config=" + settingsPath()}, {}});
}

void GatewayProcess::start(const DescriptorLimits& limits) {
  start({{"--config=" + settingsPath()}, {}, limits});
}

void GatewayProcess::start(const GatewayStart& options) {
  process_.reset();
  writeSettings();
  std::vector<std::string> command;
  if (const auto& limits = options.descriptorLimits) {
    // A shell that replaces itself: the limits are in force from the program's first instruction.
    command = {"/bin/sh", "-c",
               absl::StrCat("ulimit -Sn ", limits->soft, " && ulimit -Hn ", limits->hard,
                            " && exec \"$0\" \"$@\"")};
  }
  command.insert(command.end(), {HALLCHUTE_BINARY, "gateway"});
  command.insert(command.end(), options.arguments.begin(), options.arguments.end());
  process_ =
      std::make_unique<Scenario::ChildProcess>(command, folder_ + "/log", options.environment);
}

bool GatewayProcess::answers(std::chrono::milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < end) {
    if (answersNow(readiness)) return true;
    if (!process_->running()) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

std::chrono::milliseconds GatewayProcess::processorTime() const {
  std::ifstream file(absl::StrCat("/proc/", process_->id(), "/stat"));
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  // The name before the last parenthesis may contain spaces.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  constexpr int kFieldsBefore = 11;
  std::string skipped;
  for (int i = 0; i < kFieldsBefore; ++i) fields >> skipped;
  long user = 0;
  long system = 0;
  fields >> user >> system;
  return std::chrono::milliseconds((user + system) * 1'000 / sysconf(_SC_CLK_TCK));
}

std::string GatewayProcess::output() const {
  std::ostringstream text;
  text << std::ifstream(folder_ + "/log").rdbuf();
  return text.str();
}

}  // namespace TestSupport
