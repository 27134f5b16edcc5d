/** @file control_link.h Interface of an entry host to control. */

#ifndef WASABIWIND_ENTRY_CONTROL_LINK_H_
#define WASABIWIND_ENTRY_CONTROL_LINK_H_

#include <member.pb.h>

#include <functional>
#include <vector>

#include "base/time_type.h"
#include "config/catalog_type.h"

namespace wasabiwind::entry {

/** Callbacks of a control link, called on its thread; they must not block. */
struct ControlLinkEvents {
  std::function<void(config::CatalogPtr)> m_on_catalog;
  std::function<void(const gen::UpstreamRecord &)> m_on_upstream;
  std::function<void(const gen::ActivationReply &)> m_on_activation_reply;
};

/**
 * Access of the request path to control. All methods are thread-safe and don't
 * block.
 */
class ControlLink {
 public:
  virtual ~ControlLink() = default;

  /** @return the configuration in force here; nullptr before the first one. */
  virtual config::CatalogPtr GetCatalog() const = 0;

  /** @return whether the configuration was confirmed within the lease. */
  virtual bool IsFresh(base::TimePoint now) const = 0;

  /** Reports an upstream that announced itself here, or that changed. */
  virtual void ReportUpstream(const gen::UpstreamRecord &record) = 0;

  /** Asks control to load a target that requests wait for, or, if none wait,
   * reports that the target is in use. */
  virtual void RequestActivation(const gen::ActivationRequest &request) = 0;

  /** @return nodes that callers may use; leaving ones are omitted. */
  virtual std::vector<gen::NodeRecord> GetNodes() const = 0;

  /** Marks this node as leaving, so that callers aren't sent here. */
  virtual void BeginLeaving() = 0;
};

}  // namespace wasabiwind::entry

#endif  // WASABIWIND_ENTRY_CONTROL_LINK_H_
