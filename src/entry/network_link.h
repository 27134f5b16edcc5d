/** @file network_link.h Control link over the network. */

#ifndef WASABIWIND_ENTRY_NETWORK_LINK_H_
#define WASABIWIND_ENTRY_NETWORK_LINK_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/error_type.h"
#include "entry/control_link.h"
#include "member/member_type.h"
#include "net/endpoint_type.h"

namespace wasabiwind::entry {

struct NetworkLinkOptions {
  net::Endpoint m_listen;  ///< messages of other nodes
  std::vector<net::Endpoint>
      m_control_endpoints;  ///< message addresses of control
  /** Address under which other nodes reach m_listen; port 0 is replaced by the
   * bound port. */
  net::Endpoint m_advertise;
  gen::NodeRecord m_node;  ///< without message address
  member::MemberOptions m_member;
};

/**
 * Keeps up with the configuration and the members that control decides on, and
 * serves as a relay for other nodes when control names this one. The events are
 * called on the thread of Run.
 */
class NetworkLink : public ControlLink {
 public:
  NetworkLink(NetworkLinkOptions options, ControlLinkEvents events);
  ~NetworkLink() override;

  /** Binds the message endpoint. */
  base::Result<void> Listen();

  /** @return where other nodes send messages. @pre Listen succeeded */
  net::Endpoint MessageEndpoint() const;

  /**
   * Exchanges messages until Stop.
   * @pre called inside RunFiberThread, once; Listen succeeded
   */
  void Run();

  /** Ends Run. Thread-safe. */
  void Stop();

  /**
   * Test hook: drops messages to and from these message addresses.
   * Thread-safe.
   */
  void SetPartition(const std::set<std::string> &addresses);

  config::CatalogPtr GetCatalog() const override;
  bool IsFresh(base::TimePoint now) const override;
  void ReportUpstream(const gen::UpstreamRecord &record) override;
  void RequestActivation(const gen::ActivationRequest &request) override;
  std::vector<gen::NodeRecord> GetNodes() const override;
  void BeginLeaving() override;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace wasabiwind::entry

#endif  // WASABIWIND_ENTRY_NETWORK_LINK_H_
