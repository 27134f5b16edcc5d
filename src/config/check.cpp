/** @file check.cpp Checks of single entities and of batches. */

#include <fmt/format.h>
#include <settings_options.pb.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "config/entity_internal.h"

namespace wasabiwind::config {

namespace {

using base::ErrorKind;
using base::MakeError;
using base::Result;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

/** Longest section name of an INI file. */
constexpr std::size_t kMaxSectionLength = 49;
/** An INI line has at most 200 characters, of which the key takes a part. */
constexpr std::size_t kMaxTextLength = 128;
constexpr std::size_t kRecordersPerGroup = 3;
constexpr std::size_t kSha256Digits = 64;

/** A text field that takes one of a few words. */
struct ChoiceRow {
  EntityKind m_kind;
  const char *m_field;
  std::array<const char *, 3> m_choices;  ///< nullptr: unused
};

constexpr std::array<ChoiceRow, 4> kChoices = {{
    {EntityKind::kDeployment, "priority", {"interactive", "standard", "batch"}},
    {EntityKind::kDeployment,
     "engine_fencing",
     {"checked", "ignored", nullptr}},
    {EntityKind::kDeployment, "cut_off", {"refuse", "serve", nullptr}},
    {EntityKind::kService, "repeatable", {"never", "get_only", "always"}},
}};

std::string Describe(const gen::Change &change) {
  return fmt::format("{} {}", GetEntityKindName(GetKind(change)),
                     GetName(change));
}

tl::unexpected<base::Error> Refuse(const gen::Change &change,
                                   const std::string &message,
                                   const std::string &remedy) {
  return MakeError(ErrorKind::kInvalidArgument,
                   fmt::format("{}: {}", Describe(change), message), remedy);
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

/** Names have no '@' or '/', which separate the parts of targets, and no
 * spaces, commas, brackets or semicolons, which separate parts of INI files. */
bool IsValidName(const std::string &text) {
  return !text.empty() && text[0] != '-' && text[0] != '.' &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsValidText(const std::string &text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return IsNameCharacter(c) || c == ':' || c == '[' || c == ']' || c == '+';
  });
}

Result<void> CheckText(const gen::Change &change, const std::string &field,
                       const std::string &text) {
  if (text.size() > kMaxTextLength) {
    return Refuse(change, field + " is too long",
                  fmt::format("keep it within {} characters", kMaxTextLength));
  }
  if (!IsValidText(text)) {
    return Refuse(change, fmt::format("{} \"{}\" is not valid", field, text),
                  "use letters, digits and . _ - +");
  }
  return {};
}

Result<void> CheckNumber(const gen::Change &change,
                         const FieldDescriptor &field, double value) {
  const gen::SettingRule &rule = field.options().GetExtension(gen::setting);
  bool is_bounded = rule.min() != 0.0 || rule.max() != 0.0;
  bool is_in_range = value >= rule.min() && value <= rule.max();
  if (std::isfinite(value) && (!is_bounded || is_in_range)) return {};
  std::string remedy =
      rule.remedy().empty()
          ? fmt::format("give a value from {} to {}", rule.min(), rule.max())
          : rule.remedy();
  return Refuse(change,
                fmt::format("{} {} is out of range [{}, {}]", field.name(),
                            value, rule.min(), rule.max()),
                remedy);
}

double GetNumber(const Message &entity, const FieldDescriptor &field) {
  const google::protobuf::Reflection &reflection = *entity.GetReflection();
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return reflection.GetDouble(entity, &field);
    case FieldDescriptor::CPPTYPE_INT32:
      return reflection.GetInt32(entity, &field);
    default:
      return static_cast<double>(reflection.GetInt64(entity, &field));
  }
}

Result<void> CheckList(const gen::Change &change,
                       const FieldDescriptor &field) {
  const Message &entity = GetEntity(change);
  const google::protobuf::Reflection &reflection = *entity.GetReflection();
  const gen::SettingRule &rule = field.options().GetExtension(gen::setting);
  int size = reflection.FieldSize(entity, &field);
  if (rule.required() && size == 0) {
    return Refuse(change, field.name() + " is required", rule.remedy());
  }
  std::set<std::string> seen;
  for (int i = 0; i < size; ++i) {
    std::string item = reflection.GetRepeatedString(entity, &field, i);
    if (item.empty()) {
      return Refuse(change, field.name() + " has an empty item", "remove it");
    }
    if (Result<void> text = CheckText(change, field.name(), item); !text) {
      return text;
    }
    if (!seen.insert(item).second) {
      return Refuse(change,
                    fmt::format("{} lists {} twice", field.name(), item),
                    "list it once");
    }
  }
  return {};
}

Result<void> CheckField(const gen::Change &change,
                        const FieldDescriptor &field) {
  if (field.is_repeated()) return CheckList(change, field);
  const Message &entity = GetEntity(change);
  if (field.cpp_type() != FieldDescriptor::CPPTYPE_STRING) {
    return CheckNumber(change, field, GetNumber(entity, field));
  }
  const gen::SettingRule &rule = field.options().GetExtension(gen::setting);
  std::string text = entity.GetReflection()->GetString(entity, &field);
  if (rule.required() && text.empty()) {
    return Refuse(change, field.name() + " is required", rule.remedy());
  }
  return CheckText(change, field.name(), text);
}

Result<void> CheckChoice(const gen::Change &change, const ChoiceRow &row) {
  const Message &entity = GetEntity(change);
  const FieldDescriptor *field =
      entity.GetDescriptor()->FindFieldByName(row.m_field);
  std::string text = entity.GetReflection()->GetString(entity, field);
  for (const char *choice : row.m_choices) {
    if (choice != nullptr && text == choice) return {};
  }
  return Refuse(change, fmt::format("{} \"{}\" is unknown", row.m_field, text),
                field->options().GetExtension(gen::setting).remedy());
}

Result<void> CheckName(const gen::Change &change) {
  const std::string &name = GetName(change);
  if (!IsValidName(name)) {
    return MakeError(
        ErrorKind::kInvalidArgument,
        fmt::format("{} name \"{}\" is not valid",
                    GetEntityKindName(GetKind(change)), name),
        "use letters, digits, . _ and -, and begin with a letter or digit");
  }
  std::size_t length = Describe(change).size();
  if (length <= kMaxSectionLength) return {};
  return Refuse(
      change, "the name is too long",
      fmt::format("shorten it by {} characters", length - kMaxSectionLength));
}

/** Memory holds the weights, so it can't be smaller. */
template <typename Entity>
Result<void> CheckMemory(const gen::Change &change, const Entity &entity) {
  if (entity.memory_bytes() >= entity.weight_bytes()) return {};
  return Refuse(change,
                fmt::format("memory_bytes {} is less than weight_bytes {}",
                            entity.memory_bytes(), entity.weight_bytes()),
                "raise memory_bytes to the memory that a loaded replica takes");
}

Result<void> CheckVersion(const gen::Change &change,
                          const std::string &version) {
  if (version.find_first_of(":[]") == std::string::npos) return {};
  return Refuse(change, fmt::format("version \"{}\" is not valid", version),
                "use letters, digits and . _ - +");
}

Result<void> CheckDeployment(const gen::Change &change) {
  const gen::Deployment &deployment = change.deployment();
  if (deployment.min_replicas() <= deployment.max_replicas()) return {};
  return Refuse(
      change,
      fmt::format("min_replicas {} is above max_replicas {}",
                  deployment.min_replicas(), deployment.max_replicas()),
      "raise max_replicas or lower min_replicas");
}

Result<void> CheckService(const gen::Change &change) {
  const gen::Service &service = change.service();
  if (service.home_region().empty() && service.repeatable() != "always") {
    return Refuse(change,
                  "calls that must not be repeated need a home region, whose "
                  "recorders keep their keys",
                  "set home_region, or repeatable = always if every call may "
                  "be repeated");
  }
  return {};
}

Result<void> CheckLimit(const gen::Change &change) {
  const gen::Limit &limit = change.limit();
  bool limits_nothing = limit.requests_per_s() == 0.0 &&
                        limit.tokens_per_s() == 0.0 &&
                        limit.max_in_flight() == 0;
  if (limits_nothing) {
    return Refuse(change, "it limits nothing",
                  "set requests_per_s, tokens_per_s or max_in_flight, or "
                  "delete it");
  }
  if (limit.burst() > 0.0 && limit.requests_per_s() == 0.0) {
    return Refuse(change, "burst has no effect without requests_per_s",
                  "set requests_per_s or remove burst");
  }
  return {};
}

Result<void> CheckCustomer(const gen::Change &change) {
  const std::string &key = change.customer().key_sha256();
  bool is_hex = std::all_of(key.begin(), key.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
  if (key.empty() || (is_hex && key.size() == kSha256Digits)) return {};
  return Refuse(change, "key_sha256 is not a SHA-256 in hexadecimal",
                "write 64 hexadecimal digits, as sha256sum prints them");
}

/** Checks the port and that something precedes it, but not the IP address,
 * because the config module can't use net::ParseEndpoint. */
bool HasValidPort(const std::string &endpoint) {
  std::size_t colon = endpoint.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  std::string port = endpoint.substr(colon + 1);
  return !port.empty() && port.size() <= 5 &&
         port.find_first_not_of("0123456789") == std::string::npos &&
         std::stoi(port) > 0 && std::stoi(port) <= 65535;
}

Result<void> CheckRecorderGroup(const gen::Change &change) {
  const auto &members = change.recorder_group().members();
  if (static_cast<std::size_t>(members.size()) != kRecordersPerGroup) {
    return Refuse(change, fmt::format("it has {} members", members.size()),
                  "list the endpoints of three different recorders");
  }
  for (const std::string &member : members) {
    if (HasValidPort(member)) continue;
    return Refuse(change, fmt::format("member \"{}\" is no endpoint", member),
                  "write an IP address and a port, such as 10.0.0.1:9300");
  }
  return {};
}

Result<void> CheckKindRules(const gen::Change &change) {
  switch (GetKind(change)) {
    case EntityKind::kModel: {
      Result<void> memory = CheckMemory(change, change.model());
      return memory ? CheckVersion(change, change.model().version()) : memory;
    }
    case EntityKind::kAdapter: {
      Result<void> memory = CheckMemory(change, change.adapter());
      return memory ? CheckVersion(change, change.adapter().version()) : memory;
    }
    case EntityKind::kDeployment:
      return CheckDeployment(change);
    case EntityKind::kService:
      return CheckService(change);
    case EntityKind::kLimit:
      return CheckLimit(change);
    case EntityKind::kCustomer:
      return CheckCustomer(change);
    default:
      return CheckRecorderGroup(change);
  }
}

/** Requires that a referenced entity exists after the batch. */
Result<void> CheckReference(const EntityView &after, const gen::Change &change,
                            EntityKind kind, const std::string &name) {
  if (name.empty() || after.Find(kind, name) != nullptr) return {};
  return Refuse(
      change, fmt::format("{} {} doesn't exist", GetEntityKindName(kind), name),
      fmt::format("declare {0} {1} in the same batch, or correct or "
                  "remove the reference to it",
                  GetEntityKindName(kind), name));
}

Result<void> CheckReferences(const EntityView &after,
                             const gen::Change &change) {
  switch (GetKind(change)) {
    case EntityKind::kAdapter:
      return CheckReference(after, change, EntityKind::kModel,
                            change.adapter().model());
    case EntityKind::kDeployment: {
      Result<void> result = CheckReference(after, change, EntityKind::kModel,
                                           change.deployment().model());
      for (const std::string &customer : change.deployment().customers()) {
        if (!result) return result;
        result = CheckReference(after, change, EntityKind::kCustomer, customer);
      }
      return result;
    }
    case EntityKind::kService:
      return CheckReference(after, change, EntityKind::kRecorderGroup,
                            change.service().home_region());
    case EntityKind::kLimit: {
      Result<void> result = CheckReference(after, change, EntityKind::kCustomer,
                                           change.limit().customer());
      if (!result) return result;
      return CheckReference(after, change, EntityKind::kDeployment,
                            change.limit().deployment());
    }
    default:
      return {};
  }
}

/** @return the kinds whose entities refer to entities of this kind. */
std::vector<EntityKind> GetReferrers(EntityKind kind) {
  switch (kind) {
    case EntityKind::kModel:
      return {EntityKind::kDeployment, EntityKind::kAdapter};
    case EntityKind::kDeployment:
      return {EntityKind::kLimit};
    case EntityKind::kCustomer:
      return {EntityKind::kDeployment, EntityKind::kLimit};
    case EntityKind::kRecorderGroup:
      return {EntityKind::kService};
    default:
      return {};
  }
}

/** Requires that nothing refers to a kind's deleted entities. */
Result<void> CheckReferrers(const EntityView &after, EntityKind kind) {
  Result<void> result;
  for (EntityKind referrer : GetReferrers(kind)) {
    after.ForEach(referrer, [&](const gen::Change &change) {
      result = CheckReferences(after, change);
      return result.has_value();
    });
    if (!result) return result;
  }
  return result;
}

/** Requires that something runs in the region of each limit. */
Result<void> CheckLimitRegions(const EntityView &after) {
  std::set<std::string> regions;
  after.ForEach(EntityKind::kDeployment, [&](const gen::Change &change) {
    regions.insert(change.deployment().regions().begin(),
                   change.deployment().regions().end());
    return true;
  });
  after.ForEach(EntityKind::kService, [&](const gen::Change &change) {
    regions.insert(change.service().regions().begin(),
                   change.service().regions().end());
    return true;
  });
  Result<void> result;
  after.ForEach(EntityKind::kLimit, [&](const gen::Change &change) {
    const std::string &region = change.limit().region();
    if (region.empty() || regions.contains(region)) return true;
    result = Refuse(change, fmt::format("nothing runs in region {}", region),
                    "name a region of a deployment or service, or leave the "
                    "region out");
    return false;
  });
  return result;
}

/** Requires a greater epoch if the members change, because claimants tell
 * grants of old and new members apart only by their epoch. */
Result<void> CheckRecorderChange(
    const std::array<EntityMap, kEntityKinds> &before,
    const gen::Change &change) {
  const EntityMap &groups =
      before[static_cast<std::size_t>(EntityKind::kRecorderGroup)];
  auto found = groups.find(GetName(change));
  if (found == groups.end()) return {};
  const gen::RecorderGroup &old_group = found->second->recorder_group();
  const gen::RecorderGroup &new_group = change.recorder_group();
  bool same_members =
      std::equal(old_group.members().begin(), old_group.members().end(),
                 new_group.members().begin(), new_group.members().end());
  if (new_group.epoch() > old_group.epoch()) return {};
  if (new_group.epoch() == old_group.epoch() && same_members) return {};
  return Refuse(change,
                fmt::format("epoch {} doesn't follow epoch {}, under which "
                            "recorders hold grants",
                            new_group.epoch(), old_group.epoch()),
                fmt::format("set epoch to {}", old_group.epoch() + 1));
}

const gen::RegionCapacity *FindCapacity(
    const std::vector<gen::RegionCapacity> &capacities,
    const std::string &region) {
  for (const gen::RegionCapacity &row : capacities) {
    if (row.region() == region) return &row;
  }
  return nullptr;
}

std::string ListRegions(const std::vector<gen::RegionCapacity> &capacities) {
  std::string list;
  for (const gen::RegionCapacity &row : capacities) {
    list += (list.empty() ? "" : ", ") + row.region();
  }
  return list;
}

Result<void> CheckKnownRegions(
    const gen::Change &change,
    const google::protobuf::RepeatedPtrField<std::string> &regions,
    const std::vector<gen::RegionCapacity> &capacities) {
  for (const std::string &region : regions) {
    if (FindCapacity(capacities, region) != nullptr) continue;
    return Refuse(change, fmt::format("region {} is unknown", region),
                  fmt::format("use one of {}, or first announce an upstream "
                              "there",
                              ListRegions(capacities)));
  }
  return {};
}

Result<void> CheckRunnerMemory(
    const gen::Change &change, const gen::Model &model,
    const std::vector<gen::RegionCapacity> &capacities) {
  std::int64_t largest = 0;
  for (const std::string &region : change.deployment().regions()) {
    largest = std::max(
        largest, FindCapacity(capacities, region)->largest_runner_bytes());
  }
  if (model.memory_bytes() <= largest) return {};
  return Refuse(change,
                fmt::format("model {} takes {} bytes, but the largest runner "
                            "of its regions has {}",
                            model.name(), model.memory_bytes(), largest),
                "name a region with larger runners or use a smaller model");
}

/** Checks one deployment against the existing runners. */
Result<void> CheckDeploymentCapacity(
    const EntityView &after, const gen::Change &change,
    const std::vector<gen::RegionCapacity> &capacities) {
  const gen::Deployment &deployment = change.deployment();
  Result<void> known =
      CheckKnownRegions(change, deployment.regions(), capacities);
  if (!known) return known;
  std::int64_t domains = 0;
  for (const std::string &region : deployment.regions()) {
    domains += FindCapacity(capacities, region)->domains();
  }
  if (domains * deployment.max_per_domain() < deployment.min_replicas()) {
    return Refuse(change,
                  fmt::format("min_replicas {} don't fit into {} failure "
                              "domains with max_per_domain {}",
                              deployment.min_replicas(), domains,
                              deployment.max_per_domain()),
                  "raise max_per_domain, add a region or lower min_replicas");
  }
  const gen::Change *model = after.Find(EntityKind::kModel, deployment.model());
  return CheckRunnerMemory(change, model->model(), capacities);
}

/** Checks services and deployments that the batch puts, and deployments of
 * models that it puts, against the existing runners. */
Result<void> CheckRegionCapacities(
    const EntityView &after, const std::vector<gen::Change> &changes,
    const std::vector<gen::RegionCapacity> &capacities) {
  if (capacities.empty()) return {};
  std::set<std::string> models;
  std::set<std::string> deployments;
  for (const gen::Change &change : changes) {
    if (change.is_delete()) continue;
    if (change.has_model()) models.insert(GetName(change));
    if (change.has_deployment()) deployments.insert(GetName(change));
    if (!change.has_service()) continue;
    Result<void> known =
        CheckKnownRegions(change, change.service().regions(), capacities);
    if (!known) return known;
  }
  Result<void> result;
  after.ForEach(EntityKind::kDeployment, [&](const gen::Change &change) {
    bool is_put = deployments.contains(GetName(change));
    bool is_model_put = models.contains(change.deployment().model());
    if (is_put || is_model_put) {
      result = CheckDeploymentCapacity(after, change, capacities);
    }
    return result.has_value();
  });
  return result;
}

}  // namespace

Result<void> CheckEntity(const gen::Change &change) {
  if (Result<void> name = CheckName(change); !name) return name;
  if (change.is_delete()) return {};
  const Message &entity = GetEntity(change);
  if (entity.ByteSizeLong() > kMaxEntityBytes) {
    return Refuse(change, "it is too large",
                  fmt::format("keep it within {} bytes", kMaxEntityBytes));
  }
  const google::protobuf::Descriptor &descriptor = *entity.GetDescriptor();
  for (int i = 0; i < descriptor.field_count(); ++i) {
    Result<void> field = CheckField(change, *descriptor.field(i));
    if (!field) return field;
  }
  for (const ChoiceRow &row : kChoices) {
    if (row.m_kind != GetKind(change)) continue;
    if (Result<void> choice = CheckChoice(change, row); !choice) return choice;
  }
  return CheckKindRules(change);
}

Result<void> CheckBatch(const std::array<EntityMap, kEntityKinds> &before,
                        const EntityView &after,
                        const std::vector<gen::Change> &changes,
                        const std::vector<gen::RegionCapacity> &capacities) {
  std::set<EntityKind> deleted;
  for (const gen::Change &change : changes) {
    if (change.is_delete()) {
      deleted.insert(GetKind(change));
      continue;
    }
    Result<void> result = CheckReferences(after, change);
    if (result && change.has_recorder_group()) {
      result = CheckRecorderChange(before, change);
    }
    if (!result) return result;
  }
  for (EntityKind kind : deleted) {
    Result<void> result = CheckReferrers(after, kind);
    if (!result) return result;
  }
  bool may_change_regions = after.ChangesKind(EntityKind::kDeployment) ||
                            after.ChangesKind(EntityKind::kService) ||
                            after.ChangesKind(EntityKind::kLimit);
  if (may_change_regions) {
    Result<void> regions = CheckLimitRegions(after);
    if (!regions) return regions;
  }
  return CheckRegionCapacities(after, changes, capacities);
}

}  // namespace wasabiwind::config
