/** @file control_link.h The entry program's view of control. */

#ifndef WASABIWIND_ENTRY_CONTROL_LINK_H_
#define WASABIWIND_ENTRY_CONTROL_LINK_H_

#include <member.pb.h>

#include <functional>
#include <vector>

#include "base/time_type.h"
#include "config/catalog_type.h"

namespace wasabiwind::entry {

/** Called by a link on its own thread; must not wait. */
struct ControlLinkEvents {
  std::function<void(config::CatalogPtr)> m_on_catalog;
  std::function<void(const gen::UpstreamRecord &)> m_on_upstream;
  std::function<void(const gen::ActivationReply &)> m_on_activation_reply;
};

/**
 * What the request path asks of control. All methods are thread-safe and
 * return at once.
 */
class ControlLink {
 public:
  virtual ~ControlLink() = default;

  /** @return the configuration in force here; nullptr before the first one. */
  virtual config::CatalogPtr GetCatalog() const = 0;

  /** @return whether the configuration is confirmed within the lease. */
  virtual bool IsFresh(base::TimePoint now) const = 0;

  /** Reports an upstream that announced itself here, or that changed. */
  virtual void ReportUpstream(const gen::UpstreamRecord &record) = 0;

  /** Tells control that requests wait for a target. */
  virtual void RequestActivation(const gen::ActivationRequest &request) = 0;

  /** @return nodes that callers may use, without leaving ones. */
  virtual std::vector<gen::NodeRecord> GetNodes() const = 0;

  /** Marks this node as leaving, so that callers aren't sent here. */
  virtual void BeginLeaving() = 0;
};

}  // namespace wasabiwind::entry

#endif  // WASABIWIND_ENTRY_CONTROL_LINK_H_
