// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "StoredRecord.h"

#include <cppunit/TestAssert.h>

#include "platform/ObjectStore.h"
#include "platform/PlatformDuties.h"
#include "standin/ObjectStoreStandin.h"
#include "standin/StandinServer.h"

namespace Hallchute {

DutyRecord storeAndRead(const DutyRecord& record) {
  Standin::ObjectStoreStandin standin;
  Standin::StandinServer server(
      "127.0.0.1:0", [&](const Standin::Request& request, Poco::Net::HTTPServerResponse& response) {
        standin.handle(request, response);
      });
  const ObjectStore store(server.address(), "127.0.0.1");
  PlatformDuties duties(store, server.address(), "127.0.0.1");
  CPPUNIT_ASSERT(duties.create(record).ok());
  const auto stored = duties.read(ReadConsistency::latest);
  CPPUNIT_ASSERT(stored.ok());
  return stored->record;
}

}  // namespace Hallchute
