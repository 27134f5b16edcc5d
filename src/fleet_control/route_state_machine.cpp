/** @file route_state_machine.cpp Replicated state: the route table in force. */

#include "fleet_control/route_state_machine.h"

#include <zlib.h>

#include "base/log_func.h"

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

control::CommandOutcome RouteStateMachine::Apply(const std::string &command) {
  gen::PutRouteTableCommand put;
  gen::ApplyReply reply;
  if (!put.ParseFromString(command)) {
    base::LogEvent(base::LogLevel::kError, "command_unreadable",
                   {{"bytes", command.size()}});
    reply.set_revision(GetVersion());
    return reply;
  }
  if (put.stored().table().version() > GetVersion()) {
    m_stored = std::move(*put.mutable_stored());
    if (m_on_change) m_on_change();
  }
  reply.set_revision(GetVersion());
  return reply;
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
  bool is_newer = stored.table().version() > GetVersion();
  m_stored = std::move(stored);
  if (is_newer && m_on_change) m_on_change();
  return {};
}

}  // namespace wasabiwind::fleet_control
