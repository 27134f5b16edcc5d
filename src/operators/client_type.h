/** @file client_type.h Client of the operators' HTTP interface. */

#ifndef WASABIWIND_OPERATORS_CLIENT_TYPE_H_
#define WASABIWIND_OPERATORS_CLIENT_TYPE_H_

#include <operators.pb.h>

#include <string>
#include <vector>

#include "base/error_type.h"
#include "base/id_type.h"
#include "base/time_type.h"
#include "net/http_client.h"

namespace wasabiwind::operators {

struct ClientOptions {
  std::vector<net::Endpoint> m_control;  ///< operators' addresses, any order
  std::string m_token;                   ///< bearer token
  base::milliseconds m_attempt_timeout{5'000};  ///< of one request
  base::milliseconds m_timeout{30'000};         ///< of a call with all attempts
};

/**
 * Calls control hosts until one answers as the leader: follows redirects, and
 * tries the next address after a lost response or while there is no leader.
 * Every request is safe to send again: a batch carries its operation ID, so a
 * resend returns the first outcome. Not thread-safe; its methods
 * must be called inside net::RunFiberThread.
 *
 * Errors: kUnavailable if no leader answered in time, where the outcome of a
 * batch is unknown until it is sent again with the same operation ID;
 * kPermission for wrong credentials; otherwise the error that the control host
 * returned.
 */
class OperatorsClient {
 public:
  /** @pre options.m_control isn't empty */
  explicit OperatorsClient(ClientOptions options);

  base::Result<gen::ApplyReply> Apply(const gen::ChangeBatch &batch);
  base::Result<gen::ApplyReply> Test(const gen::ChangeBatch &batch);

  /** @param revision Revision::Invalid() for the current one */
  base::Result<gen::ConfigReply> GetConfig(
      base::Revision revision = base::Revision::Invalid());

  base::Result<gen::HistoryReply> GetHistory(std::size_t limit);
  base::Result<gen::StatusReply> GetStatus();

  /**
   * Waits until a revision is in effect at every node.
   * @return kTimeout with the nodes where it isn't
   */
  base::Result<gen::StatusReply> WaitUntilInForce(base::Revision revision,
                                                  base::milliseconds timeout);

 private:
  base::Result<std::string> Call(const std::string &method,
                                 const std::string &target,
                                 const std::string &body);
  base::Result<net::HttpResponse> CallOnce(const net::HttpRequest &request,
                                           base::TimePoint deadline);
  void UseNextAddress();
  bool FollowRedirect(const net::HttpResponse &response);

  ClientOptions m_options;
  net::HttpClientPool m_pool;
  std::size_t m_address_index = 0;  ///< in m_control
  net::Endpoint m_address;          ///< address of the next attempt
};

}  // namespace wasabiwind::operators

#endif  // WASABIWIND_OPERATORS_CLIENT_TYPE_H_
