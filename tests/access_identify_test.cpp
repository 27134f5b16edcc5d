/** @file access_identify_test.cpp Identification of callers by keys. */

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "access/identify_func.h"

namespace wasabiwind::access {
namespace {

gen::RouteTable MakeTable(bool has_teams) {
  gen::RouteTable table;
  table.set_version(1);
  table.add_services()->set_name("desk");
  for (const char *name : {"private", "public"}) {
    gen::Route *route = table.add_routes();
    route->set_name(name);
    route->set_is_public(std::string(name) == "public");
  }
  if (!has_teams) return table;
  for (const char *name : {"red", "blue"}) {
    gen::Team *team = table.add_teams();
    team->set_name(name);
    team->add_keys(std::string(name) + "-1");
    team->add_keys(std::string(name) + "-2");
  }
  return table;
}

struct Case {
  const char *m_route;
  const char *m_key;
  bool m_is_confirmed;
  IdentityOutcome m_outcome;
  const char *m_team;  ///< "" if none
};

void CheckCases(const routes::RouteIndex &index,
                const std::vector<Case> &cases) {
  for (const Case &item : cases) {
    bool is_public = std::string(item.m_route) == "public";
    CallerIdentity identity =
        IdentifyCaller(index, index.m_table.routes(is_public ? 1 : 0),
                       item.m_key, item.m_is_confirmed);
    std::string what = std::string(item.m_route) + " \"" + item.m_key + "\" " +
                       (item.m_is_confirmed ? "confirmed" : "unconfirmed");
    EXPECT_EQ(identity.m_outcome, item.m_outcome) << what;
    EXPECT_EQ(identity.m_team == nullptr ? "" : identity.m_team->name(),
              item.m_team)
        << what;
  }
}

// Deployments without teams must be served as before, whatever callers send.
TEST(IdentifyTest, WithoutTeamsEveryCallerIsAccepted) {
  routes::RouteIndexPtr index = routes::MakeRouteIndex(MakeTable(false));
  EXPECT_FALSE(HasTeams(*index));
  for (bool is_confirmed : {false, true}) {
    for (const char *route : {"private", "public"}) {
      for (const char *key : {"", "red-1"}) {
        CheckCases(*index, {{route, key, is_confirmed,
                             IdentityOutcome::kAccepted, ""}});
      }
    }
  }
}

// A public route that asked for a key, or charged the team of one, would refuse
// callers that need none.
TEST(IdentifyTest, PublicRoutesNeedNoKeyAndHaveNoTeam) {
  routes::RouteIndexPtr index = routes::MakeRouteIndex(MakeTable(true));
  EXPECT_TRUE(HasTeams(*index));
  for (bool is_confirmed : {false, true}) {
    for (const char *key : {"", "unknown", "red-1"}) {
      CheckCases(*index, {{"public", key, is_confirmed,
                           IdentityOutcome::kAccepted, ""}});
    }
  }
}

// Each key must lead to its own team; a part or another case of a key to none.
TEST(IdentifyTest, ConfirmedTablesAcceptTheKeysOfTeamsOnly) {
  routes::RouteIndexPtr index = routes::MakeRouteIndex(MakeTable(true));
  constexpr auto kAccepted = IdentityOutcome::kAccepted;
  constexpr auto kUnknown = IdentityOutcome::kUnknownKey;
  CheckCases(*index, {{"private", "red-1", true, kAccepted, "red"},
                      {"private", "red-2", true, kAccepted, "red"},
                      {"private", "blue-1", true, kAccepted, "blue"},
                      {"private", "blue-2", true, kAccepted, "blue"},
                      {"private", "", true, kUnknown, ""},
                      {"private", "red", true, kUnknown, ""},
                      {"private", "RED-1", true, kUnknown, ""},
                      {"private", "red-1 ", true, kUnknown, ""},
                      {"private", "red-11", true, kUnknown, ""}});
}

// A table that may be outdated can neither accept a key, which may have been
// revoked, nor refuse one as unknown, which may have been added.
TEST(IdentifyTest, UnconfirmedTablesDecideOnNoKey) {
  routes::RouteIndexPtr index = routes::MakeRouteIndex(MakeTable(true));
  for (const char *key : {"red-1", "unknown", ""}) {
    CheckCases(*index, {{"private", key, false,
                         IdentityOutcome::kTableNotConfirmed, ""}});
  }
}

}  // namespace
}  // namespace wasabiwind::access
