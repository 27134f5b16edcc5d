/** @file route_state_machine.cpp Replicated state: route table and quarantine.
 */

#include "fleet_control/route_state_machine.h"

#include <zlib.h>

#include "base/log_func.h"
#include "fleet/quarantine_func.h"

namespace wasabiwind::fleet_control {

base::Result<std::string> CompressDocument(const std::string &document) {
  uLongf size = compressBound(document.size());
  std::string compressed(size, '\0');
  int code = compress2(reinterpret_cast<Bytef *>(compressed.data()), &size,
                       reinterpret_cast<const Bytef *>(document.data()),
                       document.size(), Z_DEFAULT_COMPRESSION);
  if (code != Z_OK) {
    return base::MakeError(base::ErrorKind::kInternal,
                           "compressing the document failed",
                           "check the memory of the host");
  }
  compressed.resize(size);
  return compressed;
}

base::Result<std::string> ExpandDocument(const gen::StoredRouteTable &stored) {
  std::string document(stored.source_bytes(), '\0');
  uLongf size = document.size();
  int code = uncompress(reinterpret_cast<Bytef *>(document.data()), &size,
                        reinterpret_cast<const Bytef *>(stored.source().data()),
                        stored.source().size());
  if (code != Z_OK || size != document.size()) {
    return base::MakeError(base::ErrorKind::kCorrupt,
                           "the stored document can't be expanded",
                           "put the document again under a higher version");
  }
  return document;
}

control::CommandOutcome RouteStateMachine::Apply(const std::string &bytes) {
  gen::RouteCommand command;
  gen::ApplyReply reply;
  if (!command.ParseFromString(bytes)) {
    base::LogEvent(base::LogLevel::kError, "command_unreadable",
                   {{"bytes", bytes.size()}});
  } else if (command.has_quarantine_change()) {
    fleet::ApplyQuarantineChange(command.quarantine_change(),
                                 m_stored.mutable_quarantine());
    if (m_hooks.m_on_quarantine) m_hooks.m_on_quarantine();
  } else {
    PutTable(std::move(*command.mutable_stored()));
  }
  reply.set_revision(GetVersion());
  return reply;
}

void RouteStateMachine::PutTable(gen::StoredRouteTable stored) {
  if (stored.table().version() <= GetVersion()) return;
  *stored.mutable_quarantine() = std::move(*m_stored.mutable_quarantine());
  m_stored = std::move(stored);
  if (m_hooks.m_on_table) m_hooks.m_on_table();
}

std::function<std::string()> RouteStateMachine::PrepareSnapshot() const {
  return [stored = m_stored] { return stored.SerializeAsString(); };
}

base::Result<void> RouteStateMachine::Restore(const std::string &bytes) {
  gen::StoredRouteTable stored;
  if (!stored.ParseFromString(bytes)) {
    return base::MakeError(base::ErrorKind::kCorrupt,
                           "the snapshot can't be parsed as a route table",
                           "replace this host's data folder");
  }
  bool has_newer_table = stored.table().version() > GetVersion();
  bool has_newer_quarantine =
      stored.quarantine().version() > m_stored.quarantine().version();
  m_stored = std::move(stored);
  if (has_newer_table && m_hooks.m_on_table) m_hooks.m_on_table();
  if (has_newer_quarantine && m_hooks.m_on_quarantine) {
    m_hooks.m_on_quarantine();
  }
  return {};
}

}  // namespace wasabiwind::fleet_control
