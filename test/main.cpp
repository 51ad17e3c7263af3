// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <signal.h>

#include <iostream>
#include <memory>
#include <span>
#include <string>

/// Runs all suites, or those that the arguments name (`hallchute-tests DutyTest`). Closes with
/// `N passed, N failed`; running none is a failure.
int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  CppUnit::TestResult events;
  CppUnit::TestResultCollector results;
  CppUnit::BriefTestProgressListener progress;
  events.addListener(&results);
  events.addListener(&progress);
  const std::unique_ptr<CppUnit::Test> all(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  const std::span<char*> names(argv + 1, static_cast<std::size_t>(argc - 1));
  for (int i = 0; i < all->getChildTestCount(); ++i) {
    CppUnit::Test* const suite = all->getChildTestAt(i);
    bool chosen = names.empty();
    // A suite's name starts with its namespace.
    for (const std::string name : names) chosen = chosen || suite->getName().ends_with(name);
    if (chosen) suite->run(&events);
  }
  CppUnit::CompilerOutputter(&results, std::cerr).write();
  const int failed = results.testFailuresTotal();
  const int passed = results.runTests() - failed;
  std::cout << passed << " passed, " << failed << " failed" << std::endl;
  return failed == 0 && passed > 0 ? 0 : 1;
}
