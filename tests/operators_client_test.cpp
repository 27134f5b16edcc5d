/** @file operators_client_test.cpp Operators' client against fake hosts. */

#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>

#include "config/batch_cmd.h"
#include "config/state_func.h"
#include "config_test_helpers.h"
#include "net/fiber_scheduler.h"
#include "net/http_server.h"
#include "operators/client_type.h"
#include "operators/protocol_func.h"

namespace wasabiwind::operators {
namespace {

using std::chrono::milliseconds;

/** Fake control leader with injected failures. */
struct FakeControl {
  config::ConfigState m_state;
  int m_answers_to_lose = 0;    ///< executes, then closes the connection
  int m_answers_to_refuse = 0;  ///< with status 503
  int m_executions = 0;         ///< accepted batches that weren't resends
  std::uint64_t m_in_force = 0;
};

void RespondError(const base::Error &error, net::HttpExchange *exchange) {
  (void)exchange->Respond(net::MakeJsonResponse(
      GetHttpStatus(error.m_kind), ToJson(MakeOperatorsError(error))));
}

void HandleApply(FakeControl *control, const net::HttpRequest &request,
                 net::HttpExchange *exchange) {
  gen::ApplyRequest body;
  ASSERT_TRUE(FromJson(request.m_body, &body));
  gen::ConfigCommand command;
  *command.mutable_batch() = body.batch();
  config::BatchResult result = config::ExecuteBatch(&control->m_state, command);
  if (result && !result->m_is_resend) ++control->m_executions;
  if (control->m_answers_to_lose > 0) {
    --control->m_answers_to_lose;
    exchange->Abort();
    return;
  }
  if (!result) return RespondError(result.error().m_error, exchange);
  (void)exchange->Respond(
      net::MakeJsonResponse(200, ToJson(MakeApplyReply(*result))));
}

void HandleStatus(FakeControl *control, net::HttpExchange *exchange) {
  gen::StatusReply reply;
  reply.set_revision(control->m_state.m_revision.Value());
  reply.set_in_force_revision(control->m_in_force);
  reply.set_nodes(2);
  reply.set_nodes_behind(1);
  reply.add_behind()->set_node("entry-7");
  (void)exchange->Respond(net::MakeJsonResponse(200, ToJson(reply)));
}

void HandleRequest(FakeControl *control, const net::HttpRequest &request,
                   net::HttpExchange *exchange) {
  if (request.m_headers.Get("Authorization") != "Bearer secret") {
    return RespondError({base::ErrorKind::kPermission, "no", "yes"}, exchange);
  }
  if (control->m_answers_to_refuse > 0) {
    --control->m_answers_to_refuse;
    return RespondError({base::ErrorKind::kUnavailable, "no leader", "wait"},
                        exchange);
  }
  if (request.Path() == kApplyPath) {
    return HandleApply(control, request, exchange);
  }
  if (request.Path() == kStatusPath) return HandleStatus(control, exchange);
  auto reply = MakeConfigReply(control->m_state, control->m_state.m_revision);
  (void)exchange->Respond(net::MakeJsonResponse(200, ToJson(*reply)));
}

class ClientTest : public testing::Test {
 protected:
  /** Runs `body` while a leader and a follower that redirects to it serve. */
  void WithControl(const std::function<void()> &body) {
    net::HttpServerOptions options;
    options.m_listen = net::Endpoint{"127.0.0.1", 0};
    net::HttpServer leader(options, [this](const net::HttpRequest &request,
                                           net::HttpExchange &exchange) {
      HandleRequest(&m_control, request, &exchange);
    });
    net::HttpServer follower(options, [this](const net::HttpRequest &request,
                                             net::HttpExchange &exchange) {
      net::HttpResponse response;
      response.m_status = 307;
      response.m_headers.Add(
          "Location", "http://" + m_leader.ToString() + request.m_target);
      (void)exchange.Respond(response);
    });
    ASSERT_TRUE(leader.Listen());
    ASSERT_TRUE(follower.Listen());
    m_leader = {"127.0.0.1", leader.Port()};
    m_follower = {"127.0.0.1", follower.Port()};
    net::RunFiberThread([&] {
      boost::fibers::fiber leader_fiber([&] { leader.Serve(); });
      boost::fibers::fiber follower_fiber([&] { follower.Serve(); });
      body();
      leader.Stop();
      follower.Stop();
      leader_fiber.join();
      follower_fiber.join();
    });
  }

  ClientOptions MakeOptions(std::vector<net::Endpoint> control) {
    ClientOptions options;
    options.m_control = std::move(control);
    options.m_token = "secret";
    options.m_timeout = milliseconds(5'000);
    return options;
  }

  gen::ChangeBatch MakeBatch() {
    gen::ChangeBatch batch;
    batch.set_operation_id("op-1");
    *batch.add_changes() = config::PutModel("m0", 5);
    return batch;
  }

  FakeControl m_control;
  net::Endpoint m_leader;
  net::Endpoint m_follower;
};

TEST_F(ClientTest, FollowsRedirectToLeader) {
  WithControl([&] {
    OperatorsClient client(MakeOptions({m_follower}));
    auto reply = client.Apply(MakeBatch());
    ASSERT_TRUE(reply) << reply.error().ToString();
    EXPECT_EQ(reply->revision(), 1U);
    auto config = client.GetConfig();
    ASSERT_TRUE(config);
    EXPECT_EQ(config->content_hash(), reply->content_hash());
  });
}

/** Guards against a second execution, or a wrong error, after a lost answer. */
TEST_F(ClientTest, LostAnswerIsResentAndExecutedOnce) {
  m_control.m_answers_to_lose = 2;
  WithControl([&] {
    OperatorsClient client(MakeOptions({m_leader, m_follower}));
    auto reply = client.Apply(MakeBatch());
    ASSERT_TRUE(reply) << reply.error().ToString();
    EXPECT_TRUE(reply->is_resend());
    EXPECT_EQ(reply->revision(), 1U);
    EXPECT_EQ(m_control.m_executions, 1);
  });
}

/** Guards against giving up while a leader is being elected. */
TEST_F(ClientTest, WaitsForLeaderAndSkipsUnreachableHost) {
  m_control.m_answers_to_refuse = 3;
  WithControl([&] {
    net::Endpoint unreachable{"127.0.0.1", 1};
    OperatorsClient client(MakeOptions({unreachable, m_leader}));
    EXPECT_TRUE(client.GetStatus());
  });
}

TEST_F(ClientTest, ReturnsErrorOfControlHost) {
  WithControl([&] {
    OperatorsClient client(MakeOptions({m_leader}));
    ASSERT_TRUE(client.Apply(MakeBatch()));
    gen::ChangeBatch conflicting = MakeBatch();
    conflicting.set_operation_id("op-2");
    auto reply = client.Apply(conflicting);
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.error().m_kind, base::ErrorKind::kConflict);
    EXPECT_NE(reply.error().m_message.find("op-1"), std::string::npos);
    ClientOptions options = MakeOptions({m_leader});
    options.m_token = "wrong";
    OperatorsClient unauthorized_client(options);
    EXPECT_EQ(unauthorized_client.GetStatus().error().m_kind,
              base::ErrorKind::kPermission);
  });
}

/** Guards against an error that hides that the batch may have been applied. */
TEST_F(ClientTest, ErrorSaysThatOutcomeIsUnknown) {
  m_control.m_answers_to_lose = 1'000;
  WithControl([&] {
    ClientOptions options = MakeOptions({m_leader});
    options.m_timeout = milliseconds(400);
    OperatorsClient client(options);
    auto reply = client.Apply(MakeBatch());
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.error().m_kind, base::ErrorKind::kUnavailable);
    EXPECT_NE(reply.error().m_remedy.find("same operation ID"),
              std::string::npos);
  });
}

TEST_F(ClientTest, WaitTimeoutNamesNodesWhereChangeIsNotInForce) {
  WithControl([&] {
    OperatorsClient client(MakeOptions({m_leader}));
    ASSERT_TRUE(client.Apply(MakeBatch()));
    auto status = client.WaitUntilInForce(base::Revision(1), milliseconds(300));
    ASSERT_FALSE(status);
    EXPECT_EQ(status.error().m_kind, base::ErrorKind::kTimeout);
    EXPECT_NE(status.error().m_message.find("entry-7"), std::string::npos);
    m_control.m_in_force = 1;
    EXPECT_TRUE(client.WaitUntilInForce(base::Revision(1), milliseconds(300)));
  });
}

}  // namespace
}  // namespace wasabiwind::operators
