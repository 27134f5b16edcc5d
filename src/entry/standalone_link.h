/** @file standalone_link.h Control link of a node without control hosts. */

#ifndef WASABIWIND_ENTRY_STANDALONE_LINK_H_
#define WASABIWIND_ENTRY_STANDALONE_LINK_H_

#include <atomic>
#include <memory>
#include <string>

#include "base/error_type.h"
#include "entry/control_link.h"

namespace wasabiwind::entry {

/**
 * Serves the configuration of a declarations file, which is always fresh. No
 * model is ever loaded on request, so each activation request is refused.
 * Thread-safe.
 */
class StandaloneLink : public ControlLink {
 public:
  StandaloneLink(config::CatalogPtr catalog, gen::NodeRecord node,
                 ControlLinkEvents events);

  config::CatalogPtr GetCatalog() const override;
  bool IsFresh(base::TimePoint now) const override;
  void ReportUpstream(const gen::UpstreamRecord &record) override;
  void RequestActivation(const gen::ActivationRequest &request) override;
  std::vector<gen::NodeRecord> GetNodes() const override;
  void BeginLeaving() override;

 private:
  config::CatalogPtr m_catalog;
  gen::NodeRecord m_node;
  ControlLinkEvents m_events;
  std::atomic<bool> m_leaving = false;
};

/**
 * Reads a declarations file.
 * @return kIo or kInvalidSettings with file, line and remedy
 */
base::Result<config::CatalogPtr> LoadDeclarations(const std::string &path);

}  // namespace wasabiwind::entry

#endif  // WASABIWIND_ENTRY_STANDALONE_LINK_H_
