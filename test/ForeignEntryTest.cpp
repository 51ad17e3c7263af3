// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

// Any program may write into the platform's store. An entry that no upstream wrote has members
// missing or of another type, unknown values, or no readable content. It names no upstream,
// and must not hide the valid ones. Before, a list with an item that is not an object ended the
// thread that had requested it, and with it the daemon and every request it served; a number in
// place of a string was accepted as one.

#include <Poco/Net/HTTPServerResponse.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "platform/ObjectStore.h"
#include "platform/SettingsDecoder.h"
#include "standin/StandinServer.h"

namespace {

using namespace Hallchute;

const std::string kGoodSpec =
    R"({"service":"s","address":"10.0.0.9:80","zone":"d","version":"v1","slots":48,)"
    R"("state":"ready","cold-remaining-ms":0,"sequence":4})";

std::string item(const std::string& name, const std::string& spec) {
  return R"({"metadata":{"name":")" + name + R"(","rev":3,"created-rev":1},"spec":)" + spec + "}";
}

/// A store that answers each call with the same text.
class CannedStore {
 public:
  explicit CannedStore(std::string body)
      : body_(std::move(body)),
        server_("127.0.0.1:0",
                [this](const Standin::Request&, Poco::Net::HTTPServerResponse& response) {
                  response.setContentType("application/json");
                  response.setContentLength64(static_cast<Poco::Int64>(body_.size()));
                  response.send() << body_;
                }),
        store_(server_.address(), "127.0.0.1") {}
  const ObjectStore& store() const { return store_; }

 private:
  std::string body_;
  Standin::StandinServer server_;
  ObjectStore store_;
};

/// The upstreams that a batch names, by commas.
std::string upstreamsOf(const absl::StatusOr<SourceBatch>& batch) {
  if (!batch.ok()) return "unanswered: " + std::string(batch.status().message());
  std::string names;
  for (const SourceObject& object : batch->objects) {
    Findings findings;
    const auto record = decodeUpstream(object, findings);
    CPPUNIT_ASSERT_MESSAGE(object.name, record.has_value() == findings.empty());
    if (record) names += (names.empty() ? "" : ",") + record->id.str();
  }
  return names;
}

class ForeignEntryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForeignEntryTest);
  CPPUNIT_TEST(entriesOfOthersNameNoUpstream);
  CPPUNIT_TEST(listsHoldInSpiteOfThem);
  CPPUNIT_TEST(watchesHoldInSpiteOfThem);
  CPPUNIT_TEST(oddEntriesAreLeftOutOneByOne);
  CPPUNIT_TEST(anyNameMayEndAPage);
  CPPUNIT_TEST_SUITE_END();

  /// The good entry with the text \p from in place of \p to.
  static std::string changed(const std::string& from, const std::string& to) {
    std::string spec = kGoodSpec;
    spec.replace(spec.find(from), from.size(), to);
    return spec;
  }
  static std::vector<std::string> foreignItems() {
    std::vector<std::string> items{
        "null",
        "17",
        R"("text")",
        "[]",
        "{}",
        R"({"metadata":null,"spec":)" + kGoodSpec + "}",
        R"({"metadata":{"name":5},"spec":)" + kGoodSpec + "}",
        R"({"metadata":{"name":""},"spec":)" + kGoodSpec + "}",
        R"({"metadata":{"name":"i-x","rev":"many"},"spec":null})",
    };
    for (const char* name : {"i x", "i\\r\\nX-Other: 1", "i\\u0000"}) {
      items.push_back(item(name, kGoodSpec));
    }
    for (const std::string& spec : foreignSpecs()) items.push_back(item("i-x", spec));
    return items;
  }
  /// Values that a reader may hold in no type, or not on its stack; each in a member that is read
  /// and in one that isn't.
  static std::vector<std::string> oddItems() {
    std::vector<std::string> values;
    for (const std::size_t depth : {200, 5'000, 100'000}) {
      values.push_back(std::string(depth, '[') + std::string(depth, ']'));
      std::string objects;
      for (std::size_t i = 0; i < depth; ++i) objects += R"({"a":)";
      values.push_back(objects + "1" + std::string(depth, '}'));
    }
    for (const char* number : {"99999999999999999999999999", "-99999999999999999999999999", "1e400",
                               "-1e400", "1e99999999999"}) {
      values.emplace_back(number);
    }
    std::vector<std::string> items;
    for (const std::string& value : values) {
      items.push_back(value);
      items.push_back(item("i-x", value));
      items.push_back(item("i-x", changed("48", value)));
      items.push_back(item("i-x", changed(R"("sequence":4)", R"("sequence":4,"other":)" + value)));
      std::string revised = item("i-x", kGoodSpec);
      revised.replace(revised.find('3'), 1, value);
      items.push_back(revised);
    }
    return items;
  }
  static std::vector<std::string> foreignSpecs() {
    return {
        "null",
        "7",
        R"("\ufffd\ufffd")",
        "[1,2]",
        "{}",
        changed(R"("service":"s",)", ""),
        changed(R"("s")", "5"),
        changed(R"("s")", "\"\""),
        changed(R"("address":"10.0.0.9:80",)", ""),
        changed("10.0.0.9:80", "nowhere"),
        changed("10.0.0.9:80", "10.0.0.9"),
        changed("10.0.0.9:80", "10.0.0.9:0"),
        changed("10.0.0.9:80", "10.0.0.9:99999"),
        changed("10.0.0.9:80", "10.0.0.900:80"),
        changed(R"("10.0.0.9:80")", "[10,0]"),
        changed(R"("zone":"d",)", ""),
        changed(R"("d")", "{}"),
        changed(R"("slots":48,)", ""),
        changed("48", R"("48")"),
        changed("48", "-1"),
        changed("48", "0"),
        changed("48", "true"),
        changed("48", "1e300"),
        changed(R"("state":"ready",)", ""),
        changed(R"("ready")", R"("asleep")"),
        changed(R"("ready")", "1"),
        changed(R"("version":"v1",)", ""),
        changed(R"("v1")", "[]"),
        changed(R"("cold-remaining-ms":0,)", ""),
        changed(R"("cold-remaining-ms":0)", R"("cold-remaining-ms":"soon")"),
        changed(R"(,"sequence":4)", ""),
        changed(R"("sequence":4)", R"("sequence":"four")"),
        changed(R"("sequence":4)", R"("sequence":4,"spot":"yes")"),
        changed(R"("sequence":4)", R"("sequence":4,"born":"today")"),
        changed(R"("sequence":4)", R"("sequence":4,"born":1.5)"),
        changed(R"("sequence":4)", R"("sequence":4,"born":null)"),
    };
  }

 public:
  /// The list went on after a name that was no part of a URI as it stood, and failed each time.
  void anyNameMayEndAPage() {
    for (const std::string name :
         {"i-m", "i m", "i&m=1", "i#m", "i%41", "i\r\nX-Other: 1", "\u00e9"}) {
      std::string after;
      Standin::StandinServer server("127.0.0.1:0", [&](const Standin::Request& request,
                                                       Poco::Net::HTTPServerResponse& response) {
        after = request.query("after", "");
        Poco::JSON::Object::Ptr metadata = new Poco::JSON::Object;
        metadata->set("name", after.empty() ? name : "last");
        Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
        object->set("metadata", metadata);
        Poco::JSON::Array::Ptr items = new Poco::JSON::Array;
        items->add(object);
        Poco::JSON::Object::Ptr page = new Poco::JSON::Object;
        page->set("items", items);
        page->set("as-of", 1);
        page->set("more-pages", after.empty());
        Standin::sendJson(response, 200, page);
      });
      const ObjectStore store(server.address(), "127.0.0.1");
      const absl::StatusOr<SourceBatch> batch = store.list("servers", ReadConsistency::latest);
      CPPUNIT_ASSERT_MESSAGE(name + ": " + batch.status().ToString(), batch.ok());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{2}, batch->objects.size());
      CPPUNIT_ASSERT_EQUAL(name, after);
    }
  }

  void entriesOfOthersNameNoUpstream() {
    Findings findings;
    const JsonObject good = parseJsonObject(kGoodSpec, findings);
    CPPUNIT_ASSERT(decodeUpstream({"i-good", 3, good, false}, findings).has_value());
    CPPUNIT_ASSERT(findings.empty());
    for (const std::string& spec : foreignSpecs()) {
      Findings ignored;
      const JsonObject content = parseJsonObject(spec, ignored);
      Findings found;
      CPPUNIT_ASSERT_MESSAGE(spec, !decodeUpstream({"i-x", 3, content, false}, found).has_value());
      CPPUNIT_ASSERT_MESSAGE(spec, !found.empty());
    }
  }

  void listsHoldInSpiteOfThem() {
    for (const std::string& foreign : foreignItems()) {
      CannedStore canned(R"({"items":[)" + item("i-a", kGoodSpec) + "," + foreign + "," +
                         item("i-b", kGoodSpec) + R"(],"more-pages":false,"as-of":9})");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          foreign, std::string("i-a,i-b"),
          upstreamsOf(canned.store().list("servers", ReadConsistency::latest)));
    }
    // Bytes that are no text, within an entry.
    const std::string bytes = changed(R"("s")", "\"\xff\xfe\"");
    CannedStore canned(R"({"items":[)" + item("i-x", bytes) + "," + item("i-b", kGoodSpec) +
                       R"(],"more-pages":false,"as-of":9})");
    const std::string names = upstreamsOf(canned.store().list("servers", ReadConsistency::latest));
    CPPUNIT_ASSERT_MESSAGE(names, names.find("i-b") != std::string::npos);
  }

  /// One such entry made the whole answer unreadable, and no daemon followed the list any more.
  void oddEntriesAreLeftOutOneByOne() {
    for (const std::string& odd : oddItems()) {
      const std::string shown = odd.substr(0, 200);
      CannedStore list(R"({"items":[)" + item("i-a", kGoodSpec) + "," + odd + "," +
                       item("i-b", kGoodSpec) + R"(],"more-pages":false,"as-of":9})");
      const auto listed = list.store().list("servers", ReadConsistency::latest);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, std::string("i-a,i-b"), upstreamsOf(listed));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, listed->asOf);
      CannedStore watch(R"({"events":[{"deleted":false,"object":)" + odd +
                        R"(},{"deleted":false,"object":)" + item("i-b", kGoodSpec) +
                        R"(}],"as-of":9})");
      const auto watched = watch.store().watch("servers", 3, Millis(10));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, std::string("i-b"), upstreamsOf(watched));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, watched->asOf);
    }
  }

  void watchesHoldInSpiteOfThem() {
    std::vector<std::string> events{"null", "3", "{}", R"({"deleted":false,"object":null})",
                                    R"({"deleted":"no","object":)" + item("i-x", "7") + "}"};
    for (const std::string& foreign : foreignItems()) {
      events.push_back(R"({"deleted":false,"object":)" + foreign + "}");
    }
    for (const std::string& foreign : events) {
      CannedStore canned(R"({"events":[)" + foreign + R"(,{"deleted":false,"object":)" +
                         item("i-b", kGoodSpec) + R"(}],"as-of":9})");
      const auto batch = canned.store().watch("servers", 3, Millis(10));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(foreign, std::string("i-b"), upstreamsOf(batch));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, batch->asOf);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForeignEntryTest);

}  // namespace
