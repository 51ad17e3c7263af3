// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <signal.h>

#include <iostream>

/// Runs all tests. Closes with `N passed, N failed`; running none is a failure.
int main() {
  signal(SIGPIPE, SIG_IGN);
  CppUnit::TestResult events;
  CppUnit::TestResultCollector results;
  CppUnit::BriefTestProgressListener progress;
  events.addListener(&results);
  events.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(events);
  CppUnit::CompilerOutputter(&results, std::cerr).write();
  const int failed = results.testFailuresTotal();
  const int passed = results.runTests() - failed;
  std::cout << passed << " passed, " << failed << " failed" << std::endl;
  return failed == 0 && passed > 0 ? 0 : 1;
}
