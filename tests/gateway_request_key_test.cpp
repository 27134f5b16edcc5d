/** @file gateway_request_key_test.cpp Recognition of requests that come again.
 */

#include <gtest/gtest.h>

#include <set>
#include <vector>

#include "gateway/request_key_func.h"
#include "platform/gateway_protocol_func.h"

namespace wasabiwind::gateway {
namespace {

net::HttpRequest MakeRequest() {
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/a/b?c=d";
  request.m_headers.Add("Host", "a.example");
  request.m_headers.Add("Authorization", "Bearer key");
  request.m_body = "text";
  return request;
}

std::uint64_t GetKey(const net::HttpRequest &request) {
  static const GatewayProtocol protocol = platform::MakeGatewayProtocol();
  return MakeRequestKey(request, protocol.m_decode_request(request));
}

// A request that came again under another ID counted as another request.
TEST(RequestKeyTest, IsTheSameWhenTheRequestComesAgain) {
  net::HttpRequest again = MakeRequest();
  again.m_headers.Add("X-Wasabiwind-Request-Id", "other");
  again.m_headers.Add("X-Wasabiwind-Deadline-Ms", "17");
  EXPECT_EQ(GetKey(again), GetKey(MakeRequest()));
}

// Two callers must not share a key, whatever one of them sends.
TEST(RequestKeyTest, DiffersWithEachPropertyOfTheRequest) {
  std::vector<net::HttpRequest> requests(7, MakeRequest());
  requests[1].m_method = "PUT";
  requests[2].m_target = "/a/b?c=";
  requests[3].m_body = "texu";
  requests[4].m_headers = net::HttpHeaders();
  requests[4].m_headers.Add("Host", "b.example");
  requests[4].m_headers.Add("Authorization", "Bearer key");
  requests[5].m_headers = net::HttpHeaders();
  requests[5].m_headers.Add("Host", "a.example");
  requests[5].m_headers.Add("Authorization", "Bearer other");
  // The same bytes in other places.
  requests[6].m_target = "/a/b?c=dtext";
  requests[6].m_body = "";
  std::set<std::uint64_t> keys;
  for (const net::HttpRequest &request : requests) keys.insert(GetKey(request));
  EXPECT_EQ(keys.size(), requests.size());
}

}  // namespace
}  // namespace wasabiwind::gateway
