/** @file protocol.cpp Operators' HTTP interface, for client and server. */

#include <google/protobuf/util/json_util.h>

#include <cassert>

#include "config/declarations_func.h"
#include "config/state_func.h"
#include "operators/protocol_func.h"

namespace wasabiwind::operators {

using base::ErrorKind;

std::string ToJson(const google::protobuf::Message &message) {
  google::protobuf::util::JsonPrintOptions options;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string json;
  auto status =
      google::protobuf::util::MessageToJsonString(message, &json, options);
  assert(status.ok());
  (void)status;
  return json;
}

base::Result<void> FromJson(const std::string &json,
                            google::protobuf::Message *message) {
  google::protobuf::util::JsonParseOptions options;
  // A newer peer may send fields that this version doesn't know.
  options.ignore_unknown_fields = true;
  auto status =
      google::protobuf::util::JsonStringToMessage(json, message, options);
  if (status.ok()) return {};
  return base::MakeError(ErrorKind::kProtocol,
                         "the body is no valid JSON of " +
                             message->GetDescriptor()->name() + ": " +
                             status.message().as_string(),
                         "send the body that proto/operators.proto defines");
}

int GetHttpStatus(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kProtocol:
      return 400;
    case ErrorKind::kPermission:
      return 401;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kConflict:
      return 409;
    case ErrorKind::kInvalidArgument:
    case ErrorKind::kInvalidSettings:
      return 422;
    case ErrorKind::kOverloaded:
      return 413;
    case ErrorKind::kUnavailable:
    case ErrorKind::kTimeout:
      return 503;
    default:
      return 500;
  }
}

ErrorKind FindErrorKind(const std::string &name) {
  for (int i = 0; i < static_cast<int>(ErrorKind::kEnd); ++i) {
    auto kind = static_cast<ErrorKind>(i);
    if (name == base::GetErrorKindName(kind)) return kind;
  }
  return ErrorKind::kInternal;
}

gen::OperatorsError MakeOperatorsError(const base::Error &error) {
  gen::OperatorsError body;
  body.set_kind(base::GetErrorKindName(error.m_kind));
  body.set_message(error.m_message);
  body.set_remedy(error.m_remedy);
  return body;
}

gen::OperatorsError MakeOperatorsError(const config::BatchRefusal &refusal) {
  gen::OperatorsError body = MakeOperatorsError(refusal.m_error);
  body.set_winning_operation(refusal.m_winning_operation);
  body.set_winning_revision(refusal.m_winning_revision);
  body.set_is_resend(refusal.m_is_resend);
  return body;
}

gen::ChangeEffect MakeChangeEffect(const config::EntityEffect &effect) {
  gen::ChangeEffect body;
  body.set_kind(config::GetEntityKindName(effect.m_kind));
  body.set_name(effect.m_name);
  body.set_action(config::GetEntityActionName(effect.m_action));
  return body;
}

gen::ApplyReply MakeApplyReply(const config::BatchOutcome &outcome) {
  gen::ApplyReply body;
  body.set_revision(outcome.m_revision.Value());
  if (!outcome.m_is_resend) body.set_content_hash(outcome.m_hash.ToString());
  body.set_is_resend(outcome.m_is_resend);
  for (const config::EntityEffect &effect : outcome.m_effects) {
    *body.add_effects() = MakeChangeEffect(effect);
  }
  return body;
}

base::Result<gen::ConfigReply> MakeConfigReply(const config::ConfigState &state,
                                               base::Revision revision) {
  base::Result<gen::Declarations> declarations =
      config::GetDeclarationsAt(state, revision);
  if (!declarations) return tl::unexpected(declarations.error());
  gen::ConfigReply body;
  body.set_revision(revision.Value());
  body.set_current_revision(state.m_revision.Value());
  body.set_content_hash(config::HashDeclarations(*declarations).ToString());
  body.set_text(config::PrintDeclarations(*declarations));
  return body;
}

gen::HistoryReply MakeHistoryReply(const config::ConfigState &state,
                                   std::size_t limit) {
  gen::HistoryReply body;
  body.set_current_revision(state.m_revision.Value());
  body.set_oldest_revision(config::GetOldestRevision(state).Value());
  for (std::size_t i = state.m_history.size(); i-- > 0;) {
    if (static_cast<std::size_t>(body.items_size()) >= limit) break;
    const gen::HistoryEntry &entry = state.m_history[i];
    gen::HistoryItem *item = body.add_items();
    item->set_revision(entry.revision());
    item->set_operation_id(entry.operation_id());
    item->set_operator_name(entry.operator_name());
    item->set_accepted_at_ms(entry.accepted_at_ms());
    for (const config::EntityEffect &effect : config::GetEffects(entry)) {
      *item->add_effects() = MakeChangeEffect(effect);
    }
  }
  return body;
}

}  // namespace wasabiwind::operators
