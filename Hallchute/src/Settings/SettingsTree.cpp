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
constexpr std::size_t kSha256HexDigits = 64;

PolicyValues readPolicy(JsonReader& owner) {
  PolicyValues values;
  owner.object("policy", [&](JsonReader& reader) {
    for (const PolicySpec& spec : policySpecs()) {
      const std::string name(spec.name);
      if (!reader.has(name)) continue;
      values.set(spec.key, reader.integer(name, spec.minimum, spec.maximum, spec.defaultValue));
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
  service.defaultClass = WorkClassName(reader.text("defaultClass", true));
  service.checksOrders = reader.boolean("checksOrders", false);
  service.policy = readPolicy(reader);
  return service;
}

WorkClass readWorkClass(const std::string& name, JsonReader& reader) {
  WorkClass work;
  work.name = WorkClassName(name);
  work.priority = reader.integer("priority", 0, kMaxPriority, work.priority);
  work.firstTokenMs = reader.integer("firstTokenMs", 1, kMaxTargetMs, work.firstTokenMs);
  work.gapMs = reader.integer("gapMs", 1, kMaxTargetMs, work.gapMs);
  work.repeatable = reader.boolean("repeatable", true);
  work.durable = reader.boolean("durable", false);
  work.serveWithoutRecord = reader.boolean("serveWithoutRecord", false);
  return work;
}

bool isSha256Hex(const std::string& text) {
  return text.size() == kSha256HexDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

Organisation readOrganisation(const std::string& name, JsonReader& reader) {
  Organisation organisation;
  organisation.name = OrganisationName(name);
  organisation.keySha256 = reader.stringList("keySha256");
  for (std::size_t i = 0; i < organisation.keySha256.size(); ++i) {
    if (isSha256Hex(organisation.keySha256[i])) continue;
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

std::string memberRow(std::string_view path, std::string_view type, std::string_view meaning) {
  return "| `" + std::string(path) + "` | " + std::string(type) + " | " + std::string(meaning) +
         " |\n";
}

}  // namespace

ResolvedPolicy SettingsTree::explain(PolicyKey key, const PolicyScope& scope) const {
  const PolicySpec& spec = policySpecs()[static_cast<std::size_t>(key)];
  ResolvedPolicy resolved{spec.defaultValue, "default"};
  const auto applyLevel = [&](const PolicyValues& values, const std::string& level) {
    if (const auto value = values.get(key)) resolved = {*value, level};
  };
  applyLevel(fleet, "fleet");
  if (const auto it = failureDomains.find(scope.domain); it != failureDomains.end()) {
    applyLevel(it->second, "failureDomains/" + it->first.str());
  }
  if (const auto it = services.find(scope.service); it != services.end()) {
    applyLevel(it->second.policy, "services/" + it->first.str());
  }
  if (const auto it = organisations.find(scope.organisation); it != organisations.end()) {
    applyLevel(it->second.policy, "organisations/" + it->first.str());
  }
  return resolved;
}

std::int64_t SettingsTree::policy(PolicyKey key, const PolicyScope& scope) const {
  return explain(key, scope).value;
}

const Organisation* SettingsTree::organisationOf(std::string_view token) const {
  const std::string hash = secretHash(token);
  const Organisation* found = nullptr;
  for (const auto& [name, organisation] : organisations) {
    for (const std::string& keyHash : organisation.keySha256) {
      if (equalInConstantTime(hash, keyHash)) found = &organisation;
    }
  }
  return found;
}

SettingsTree readSettings(const JsonObject& json, Findings& findings) {
  SettingsTree tree;
  JsonReader root(json, "", findings);
  root.object("fleet", [&](JsonReader& reader) { tree.fleet = readPolicy(reader); });
  root.forEachObject("failureDomains", [&](const std::string& name, JsonReader& reader) {
    tree.failureDomains[FailureDomainName(name)] = readPolicy(reader);
  });
  root.forEachObject("services", [&](const std::string& name, JsonReader& reader) {
    tree.services[ServiceName(name)] = readService(name, reader);
  });
  root.forEachObject("workClasses", [&](const std::string& name, JsonReader& reader) {
    tree.workClasses[WorkClassName(name)] = readWorkClass(name, reader);
  });
  root.forEachObject("organisations", [&](const std::string& name, JsonReader& reader) {
    tree.organisations[OrganisationName(name)] = readOrganisation(name, reader);
  });
  root.finish();
  checkReferences(tree, findings);
  return tree;
}

std::string settingsReference() {
  std::string page = "## Members of the tree\n\n| place | type | meaning |\n|---|---|---|\n";
  page += memberRow("/fleet/policy", "object", "policy values for the whole fleet");
  page += memberRow("/failureDomains/NAME/policy", "object", "overrides in one failure domain");
  page += memberRow("/services/NAME/kind", "model, plain", "a model engine or a plain service");
  page += memberRow("/services/NAME/mode", "observe, manage",
                    "observe: hallchute routes requests to it but sends no orders");
  page += memberRow("/services/NAME/defaultClass", "work class, required",
                    "class of a request that specifies none");
  page += memberRow("/services/NAME/checksOrders", "boolean, false",
                    "its upstreams reject orders with an outdated fencing token");
  page += memberRow("/services/NAME/policy", "object", "overrides for one service");
  page += memberRow("/workClasses/NAME/priority", "0..9, 5", "9 is the most urgent");
  page += memberRow("/workClasses/NAME/firstTokenMs", "ms, 1900", "target time to first token");
  page += memberRow("/workClasses/NAME/gapMs", "ms, 32", "target time between tokens");
  page += memberRow("/workClasses/NAME/repeatable", "boolean, true",
                    "false: runs at most once and needs an Idempotency-Key");
  page += memberRow("/workClasses/NAME/durable", "boolean, false",
                    "the work is recorded on the platform and survives the loss of any host");
  page += memberRow(
      "/workClasses/NAME/serveWithoutRecord", "boolean, false",
      "durable work is served attached while the platform is out of service, else refused");
  page += memberRow("/organisations/NAME/keySha256", "strings", "SHA-256 of each bearer token");
  page += memberRow("/organisations/NAME/services", "strings", "services that it may use");
  page += memberRow("/organisations/NAME/weight", "1..1000, 1", "relative share under contention");
  page += memberRow("/organisations/NAME/policy", "object", "overrides for one organisation");
  page +=
      "\n## Policy values\n\n| name | range | default | unit | meaning |\n|---|---|---|---|---|\n";
  for (const PolicySpec& spec : policySpecs()) {
    page += "| `" + std::string(spec.name) + "` | " + std::to_string(spec.minimum) + ".." +
            std::to_string(spec.maximum) + " | " + std::to_string(spec.defaultValue) + " | " +
            std::string(spec.unit) + " | " + std::string(spec.meaning) + " |\n";
  }
  return page;
}

}  // namespace Hallchute
