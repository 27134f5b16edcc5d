/** @file standalone_link.cpp Control link of a node without control hosts. */

#include "entry/standalone_link.h"

#include "base/settings_func.h"
#include "route/refusal_type.h"

namespace wasabiwind::entry {

StandaloneLink::StandaloneLink(config::CatalogPtr catalog, gen::NodeRecord node,
                               ControlLinkEvents events)
    : m_catalog(std::move(catalog)),
      m_node(std::move(node)),
      m_events(std::move(events)) {}

config::CatalogPtr StandaloneLink::GetCatalog() const { return m_catalog; }

bool StandaloneLink::IsFresh(base::TimePoint) const { return true; }

void StandaloneLink::ReportUpstream(const gen::UpstreamRecord &) {}

void StandaloneLink::RequestActivation(const gen::ActivationRequest &request) {
  if (request.waiting() == 0) return;  // reports a use, needs no answer
  if (!m_events.m_on_activation_reply) return;
  gen::ActivationReply reply;
  reply.set_deployment(request.deployment());
  reply.set_adapter(request.adapter());
  reply.set_is_refused(true);
  reply.set_reason(
      route::GetRefusalRow(route::RefusalReason::kNoUpstream).m_name);
  m_events.m_on_activation_reply(reply);
}

std::vector<gen::NodeRecord> StandaloneLink::GetNodes() const {
  if (m_leaving) return {};
  return {m_node};
}

void StandaloneLink::BeginLeaving() { m_leaving = true; }

base::Result<config::CatalogPtr> LoadDeclarations(const std::string &path) {
  gen::Declarations declarations;
  base::Result<void> loaded = base::LoadSettings(path, &declarations);
  if (!loaded) return tl::unexpected(loaded.error());
  return config::BuildCatalog(std::move(declarations), base::Revision(1));
}

}  // namespace wasabiwind::entry
