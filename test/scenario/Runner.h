// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SCENARIO_RUNNER_H
#define HALLCHUTE_TEST_SCENARIO_RUNNER_H

#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "test/ClientCrowd.h"
#include "test/MemoryWatch.h"
#include "test/scenario/Caller.h"
#include "test/scenario/Fleet.h"
#include "test/scenario/Script.h"

namespace Scenario {

/// \brief Runs the steps of one script. A step that fails throws, with its file and line.
///
/// The verbs are listed in docs/PROOFS.md.
class Runner {
 public:
  Runner(std::string binaries, std::string work);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  void run(const std::vector<Step>& steps);

 private:
  using Verb = void (Runner::*)(const Step&);

  static const std::map<std::string, Verb>& verbs();

  // The fleet.
  void domains(const Step& step);
  void daemons(const Step& step);
  void engines(const Step& step);
  void plain(const Step& step);
  void links(const Step& step);
  void startVerb(const Step& step);
  // Faults.
  void kill(const Step& step);
  void stop(const Step& step);
  void freeze(const Step& step);
  void thaw(const Step& step);
  void cut(const Step& step);
  void heal(const Step& step);
  void platformFault(const Step& step);
  void fault(const Step& step);
  void notice(const Step& step);
  void ownWord(const Step& step);
  void hostList(const Step& step);
  void operatorLeave(const Step& step);
  void drain(const Step& step);
  // Requests.
  void send(const Step& step);
  void apply(const Step& step);
  void cli(const Step& step);
  void runProgram(const Step& step);
  std::string withAddresses(std::string text);
  void raw(const Step& step);
  void crowd(const Step& step);
  void mark(const Step& step);
  void storm(const Step& step);
  // Expectations.
  void expect(const Step& step);
  void show(const Step& step);
  void eventually(const Step& step);
  void started(const Step& step);
  void noNewWork(const Step& step);
  void neverLower(const Step& step);

  CallPlan planCall(const Step& step, int number);
  void awaitCallers(const std::string& id, int limitMs);
  void checkCaller(const Caller& caller, const Step& step);
  std::vector<Caller*> callersOf(const std::string& id);
  double value(const Step& step, std::size_t from);
  double metric(const std::string& daemon, const std::string& name);
  double sumOver(Kind kind, const std::string& member, bool most);
  void leaveAt(const std::string& name, int inMs);
  void watchRevisions();

  Fleet fleet_;
  std::map<std::string, std::vector<std::unique_ptr<Caller>>> callers_;
  std::map<std::string, std::pair<int, std::string>> applied_;
  std::map<std::string, double> marks_;
  /// Clients that send what doesn't end, and what they cost their daemon.
  std::vector<std::unique_ptr<TestSupport::ClientCrowd>> crowds_;
  std::unique_ptr<TestSupport::MemoryWatch> memory_;
  /// Connections that were opened and left idle.
  std::vector<Poco::Net::StreamSocket> silent_;
  std::vector<std::thread> later_;
  std::vector<std::thread> applying_;
  std::mutex mutex_;
  std::thread revisionWatch_;
  std::atomic<bool> watching_{false};
  std::string revisionFell_;
};

}  // namespace Scenario

#endif  // HALLCHUTE_TEST_SCENARIO_RUNNER_H
