/** @file operators_http.h Operators' HTTP interface of a control host. */

#ifndef WASABIWIND_CONTROL_OPERATORS_HTTP_H_
#define WASABIWIND_CONTROL_OPERATORS_HTTP_H_

#include <google/protobuf/message.h>

#include <string>
#include <vector>

#include "control/replica_node.h"
#include "net/http_server.h"

namespace wasabiwind::control {

/**
 * Reads bearer tokens, one a line; empty lines and lines that begin with # are
 * skipped.
 * @return kInvalidSettings if the file can't be read or holds no token
 */
base::Result<std::vector<std::string>> LoadCredentials(const std::string &path);

/** @return whether a request carries one of the tokens as its bearer token. */
bool IsAuthorized(const net::HttpRequest &request,
                  const std::vector<std::string> &tokens);

/** @return the response for an error: its HTTP status and a JSON body. */
net::HttpResponse MakeErrorResponse(const base::Error &error);

/** Answers operators' requests on the fiber thread of the replica node. */
class OperatorsHttp {
 public:
  /**
   * @param node outlives this object
   * @param machine outlives this object
   * @param timeout longest wait for the replicated log
   */
  OperatorsHttp(ReplicaNode *node, ControlStateMachine *machine,
                std::vector<std::string> tokens, base::milliseconds timeout)
      : m_node(node),
        m_machine(machine),
        m_tokens(std::move(tokens)),
        m_timeout(timeout) {}

  void Handle(const net::HttpRequest &request, net::HttpExchange &exchange);

 private:
  net::HttpResponse Answer(const net::HttpRequest &request);
  net::HttpResponse AnswerOnLeader(const net::HttpRequest &request);
  net::HttpResponse Redirect(const net::HttpRequest &request) const;
  net::HttpResponse Apply(const net::HttpRequest &request, bool is_test);
  net::HttpResponse Config(const std::string &query) const;
  net::HttpResponse Status() const;

  ReplicaNode *m_node;
  ControlStateMachine *m_machine;
  std::vector<std::string> m_tokens;
  base::milliseconds m_timeout;
};

}  // namespace wasabiwind::control

#endif  // WASABIWIND_CONTROL_OPERATORS_HTTP_H_
