// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Settings/SettingsTree.h"

#include <array>

#include "Hallchute/src/Core/SecretHash.h"
#include "Hallchute/src/Settings/JsonReader.h"

namespace Hallchute {
namespace {

constexpr std::array<std::string_view, 2> kKinds{"model", "plain"};
constexpr std::array<std::string_view, 2> kModes{"observe", "manage"};
constexpr std::int64_t kMaxPriority = 9;
constexpr std::int64_t kMaxWeight = 1'000;
constexpr std::int64_t kMaxTargetMs = 86'400'000;
constexpr std::size_t kHashLength = 64;

PolicyValues readPolicy(JsonReader& owner) {
  PolicyValues values;
  owner.object("policy", [&](JsonReader& reader) {
    for (const PolicySpec& spec : policySpecs()) {
      const std::string name(spec.name);
      if (!reader.has(name)) continue;
      values.set(spec.key, reader.integer(name, spec.least, spec.most, spec.fallback));
    }
  });
  return values;
}

ServiceSettings readService(const std::string& name, JsonReader& reader) {
  ServiceSettings service;
  service.name = ServiceName(name);
  service.kind = reader.oneOf("kind", kKinds) == "model" ? ServiceKind::model : ServiceKind::plain;
  service.mode =
      reader.oneOf("mode", kModes) == "manage" ? ServiceMode::manage : ServiceMode::observe;
  service.defaultClass = ClassName(reader.text("defaultClass", true));
  service.checksOrders = reader.boolean("checksOrders", false);
  service.policy = readPolicy(reader);
  return service;
}

WorkClass readWorkClass(const std::string& name, JsonReader& reader) {
  WorkClass work;
  work.name = ClassName(name);
  work.priority = reader.integer("priority", 0, kMaxPriority, work.priority);
  work.firstTokenMs = reader.integer("firstTokenMs", 1, kMaxTargetMs, work.firstTokenMs);
  work.gapMs = reader.integer("gapMs", 1, kMaxTargetMs, work.gapMs);
  work.repeatable = reader.boolean("repeatable", true);
  work.durable = reader.boolean("durable", false);
  work.serveWithoutRecord = reader.boolean("serveWithoutRecord", false);
  return work;
}

bool isHash(const std::string& text) {
  return text.size() == kHashLength &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

Organisation readOrganisation(const std::string& name, JsonReader& reader) {
  Organisation organisation;
  organisation.name = OrganisationName(name);
  organisation.keySha256 = reader.stringList("keySha256");
  for (std::size_t i = 0; i < organisation.keySha256.size(); ++i) {
    if (isHash(organisation.keySha256[i])) continue;
    reader.report("keySha256/" + std::to_string(i), "must be 64 lower-case hexadecimal digits");
  }
  for (std::string& service : reader.stringList("services")) {
    organisation.services.insert(ServiceName(std::move(service)));
  }
  organisation.weight = reader.integer("weight", 1, kMaxWeight, 1);
  organisation.policy = readPolicy(reader);
  return organisation;
}

void checkReferences(const SettingsTree& tree, Findings& findings) {
  for (const auto& [name, service] : tree.services) {
    if (service.defaultClass.empty() || tree.workClasses.contains(service.defaultClass)) continue;
    findings.push_back({"/services/" + name.str() + "/defaultClass",
                        "names no work class: " + service.defaultClass.str()});
  }
  for (const auto& [name, organisation] : tree.organisations) {
    for (const ServiceName& service : organisation.services) {
      if (tree.services.contains(service)) continue;
      findings.push_back(
          {"/organisations/" + name.str() + "/services", "names no service: " + service.str()});
    }
  }
}

std::string memberRow(std::string_view place, std::string_view type, std::string_view meaning) {
  return "| `" + std::string(place) + "` | " + std::string(type) + " | " + std::string(meaning) +
         " |\n";
}

}  // namespace

ResolvedPolicy SettingsTree::explain(PolicyKey key, const PolicyScope& scope) const {
  const PolicySpec& spec = policySpecs()[static_cast<std::size_t>(key)];
  ResolvedPolicy answer{spec.fallback, "default"};
  const auto consider = [&](const PolicyValues& values, const std::string& level) {
    if (const auto value = values.get(key)) answer = {*value, level};
  };
  consider(fleet, "fleet");
  if (const auto it = failureDomains.find(scope.domain); it != failureDomains.end()) {
    consider(it->second, "failureDomains/" + it->first.str());
  }
  if (const auto it = services.find(scope.service); it != services.end()) {
    consider(it->second.policy, "services/" + it->first.str());
  }
  if (const auto it = organisations.find(scope.organisation); it != organisations.end()) {
    consider(it->second.policy, "organisations/" + it->first.str());
  }
  return answer;
}

std::int64_t SettingsTree::policy(PolicyKey key, const PolicyScope& scope) const {
  return explain(key, scope).value;
}

const Organisation* SettingsTree::organisationOf(std::string_view token) const {
  const std::string hash = secretHash(token);
  const Organisation* found = nullptr;
  for (const auto& [name, organisation] : organisations) {
    for (const std::string& known : organisation.keySha256) {
      if (equalInConstantTime(hash, known)) found = &organisation;
    }
  }
  return found;
}

SettingsTree readSettings(const JsonObject& json, Findings& findings) {
  SettingsTree tree;
  JsonReader root(json, "", findings);
  root.object("fleet", [&](JsonReader& reader) { tree.fleet = readPolicy(reader); });
  root.each("failureDomains", [&](const std::string& name, JsonReader& reader) {
    tree.failureDomains[DomainName(name)] = readPolicy(reader);
  });
  root.each("services", [&](const std::string& name, JsonReader& reader) {
    tree.services[ServiceName(name)] = readService(name, reader);
  });
  root.each("workClasses", [&](const std::string& name, JsonReader& reader) {
    tree.workClasses[ClassName(name)] = readWorkClass(name, reader);
  });
  root.each("organisations", [&](const std::string& name, JsonReader& reader) {
    tree.organisations[OrganisationName(name)] = readOrganisation(name, reader);
  });
  root.finish();
  checkReferences(tree, findings);
  return tree;
}

std::string settingsReference() {
  std::string page = "## Members of the tree\n\n| place | type | meaning |\n|---|---|---|\n";
  page += memberRow("/fleet/policy", "object", "policy numbers for everything");
  page += memberRow("/failureDomains/NAME/policy", "object", "overrides in one failure domain");
  page += memberRow("/services/NAME/kind", "model, plain", "a model engine or a plain service");
  page += memberRow("/services/NAME/mode", "observe, manage",
                    "observe: hallchute routes to it but orders nothing");
  page += memberRow("/services/NAME/defaultClass", "work class, required",
                    "class of a request that names none");
  page += memberRow("/services/NAME/checksOrders", "boolean, false",
                    "its upstreams reject orders with an old fencing token");
  page += memberRow("/services/NAME/policy", "object", "overrides for one service");
  page += memberRow("/workClasses/NAME/priority", "0..9, 5", "9 is the most urgent");
  page += memberRow("/workClasses/NAME/firstTokenMs", "ms, 1900", "target to the first token");
  page += memberRow("/workClasses/NAME/gapMs", "ms, 32", "target between tokens");
  page += memberRow("/workClasses/NAME/repeatable", "boolean, true",
                    "false: runs at most once and needs an Idempotency-Key");
  page += memberRow("/workClasses/NAME/durable", "boolean, false",
                    "a record on the platform lets the work outlive every host");
  page += memberRow("/workClasses/NAME/serveWithoutRecord", "boolean, false",
                    "durable work is served attached while the platform is out, else refused");
  page += memberRow("/organisations/NAME/keySha256", "strings", "SHA-256 of each bearer token");
  page += memberRow("/organisations/NAME/services", "strings", "services it may use");
  page += memberRow("/organisations/NAME/weight", "1..1000, 1", "share under contention");
  page += memberRow("/organisations/NAME/policy", "object", "overrides for one organisation");
  page +=
      "\n## Policy numbers\n\n| name | range | default | unit | meaning |\n|---|---|---|---|---|\n";
  for (const PolicySpec& spec : policySpecs()) {
    page += "| `" + std::string(spec.name) + "` | " + std::to_string(spec.least) + ".." +
            std::to_string(spec.most) + " | " + std::to_string(spec.fallback) + " | " +
            std::string(spec.unit) + " | " + std::string(spec.meaning) + " |\n";
  }
  return page;
}

}  // namespace Hallchute
