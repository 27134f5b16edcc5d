/** @file platform_codec_test.cpp Conversions of the platform's messages. */

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "platform/control_protocol_func.h"
#include "platform/gateway_protocol_func.h"
#include "platform/table_codec_func.h"
#include "routes/table_func.h"

namespace wasabiwind::platform {
namespace {

using fleet_control::ReportCall;

constexpr const char *kTableDocument = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","pathPrefix":"/p/","kind":"stream",
   "timeoutMs":13000,"sloMs":2000,"priority":1,"service":"s1",
   "maxAttempts":2,"sticky":true,"resumable":true,"gapSloMs":400},
  {"name":"r2","host":"a.example","pathPrefix":"/q/","kind":"unsafe",
   "timeoutMs":800,"sloMs":150,"priority":2,
   "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}],
 "services":[{"name":"s1","healthPath":"/h","maxConns":360,"engine":
   {"slots":64,"kvTokens":232000,"weightsMb":200000.0,"adapterSlots":8,
    "loadsPerS":3.1,"models":[{"name":"m","weightsMb":65099.99,"loadS":6.0,
    "adapters":46,"adapterMb":40.0,"warmS":0.38,"diskS":0.76}]}},
  {"name":"s2","healthPath":"/h","maxConns":96}],
 "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000}})";

std::string RemoveText(const std::string &text, const std::string &part) {
  std::string result = text;
  result.erase(result.find(part), part.size());
  return result;
}

TEST(TableCodecTest, DecodesADocument) {
  base::Result<gen::RouteTable> table = DecodeTable(kTableDocument);
  ASSERT_TRUE(table) << table.error().ToString();
  EXPECT_TRUE(routes::CheckRouteTable(*table));
  EXPECT_EQ(table->version(), 7u);
  EXPECT_EQ(table->routes(0).kind(), gen::ROUTE_STREAM);
  EXPECT_TRUE(table->routes(0).is_resumable());
  EXPECT_EQ(table->routes(1).kind(), gen::ROUTE_NON_IDEMPOTENT);
  EXPECT_EQ(table->routes(1).targets(1).weight(), 10u);
  const gen::HostedModel &model = table->services(0).engine().models(0);
  EXPECT_EQ(model.store_load_ms(), 6'000u);
  EXPECT_EQ(model.disk_load_ms(), 760u);
  EXPECT_FALSE(table->services(1).has_engine());
  EXPECT_EQ(table->limits().idle_timeout_ms(), 15'000u);
}

// A truncated document must not be acknowledged, wherever it ends.
TEST(TableCodecTest, RefusesEveryTruncatedDocument) {
  std::string document = kTableDocument;
  for (std::size_t size = 0; size < document.size(); ++size) {
    EXPECT_FALSE(DecodeTable(document.substr(0, size))) << size;
  }
}

TEST(TableCodecTest, RefusesADocumentWithoutVersionOrLists) {
  EXPECT_FALSE(DecodeTable(RemoveText(kTableDocument, R"("version":7,)")));
  EXPECT_FALSE(DecodeTable(R"({"version":7,"routes":[]})"));
  EXPECT_FALSE(DecodeTable(R"({"version":"7","routes":[],"services":[]})"));
}

TEST(TableCodecTest, MissingTimeoutFailsTheTableCheck) {
  auto table = DecodeTable(RemoveText(kTableDocument, R"("timeoutMs":800,)"));
  ASSERT_TRUE(table);
  EXPECT_FALSE(routes::CheckRouteTable(*table));
}

// Numbers beyond their field were cut to 32 bits: a timeout of 2^32 + 1 ms was
// acknowledged and came into force as 1 ms.
TEST(TableCodecTest, RefusesNumbersBeyondTheirField) {
  ASSERT_TRUE(DecodeTable(kTableDocument));
  for (const auto &[field, value] :
       std::vector<std::pair<std::string, std::string>>{
           {R"("timeoutMs":800)", R"("timeoutMs":4294967297)"},
           {R"("timeoutMs":800)", R"("timeoutMs":-1)"},
           {R"("timeoutMs":800)", R"("timeoutMs":800.5)"},
           {R"("weight":10)", R"("weight":4294967296)"},
           {R"("slots":64)", R"("slots":1e300)"},
           {R"("kvTokens":232000)", R"("kvTokens":1e300)"},
           {R"("loadS":6.0)", R"("loadS":1e300)"},
           {R"("loadS":6.0)", R"("loadS":-1)"},
           {R"("version":7)", R"("version":1e300)"},
           {R"("version":7)", R"("version":18446744073709551615)"},
           {R"("models":[)", R"("models":[7,)"}}) {
    std::string document = kTableDocument;
    document.replace(document.find(field), field.size(), value);
    EXPECT_FALSE(DecodeTable(document)) << value;
  }
}

constexpr const char *kTeams =
    R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","pathPrefix":"/p/","kind":"safe",
   "timeoutMs":800,"service":"s1"},
  {"name":"r2","host":"a.example","pathPrefix":"/q/","kind":"safe",
   "timeoutMs":800,"service":"s1","public":true}],
 "services":[{"name":"s1"}],
 "tenants":[{"name":"red","apiKeys":["secret-1","secret-2"],"priority":0,
   "unit":"generate","ratePerS":29000.5,"burst":9240,"plainTokens":12},
  {"name":"blue","apiKeys":["secret-3"],"ratePerS":40,"unit":"request"},
  {"name":"grey","apiKeys":[]}]})";

TEST(TableCodecTest, DecodesTeams) {
  base::Result<gen::RouteTable> table = DecodeTable(kTeams);
  ASSERT_TRUE(table) << table.error().ToString();
  EXPECT_TRUE(routes::CheckRouteTable(*table));
  EXPECT_FALSE(table->routes(0).is_public());
  EXPECT_TRUE(table->routes(1).is_public());
  ASSERT_EQ(table->teams_size(), 3);
  const gen::Team &red = table->teams(0);
  EXPECT_EQ(red.name(), "red");
  EXPECT_EQ(red.keys(1), "secret-2");
  EXPECT_TRUE(red.has_rank());
  EXPECT_EQ(red.rank(), 0u);
  EXPECT_EQ(red.unit(), gen::QUOTA_TOKENS);
  EXPECT_EQ(red.rate_per_second(), 29'000.5);
  EXPECT_EQ(red.burst(), 9'240);
  EXPECT_EQ(red.plain_cost(), 12u);
  EXPECT_FALSE(table->teams(1).has_rank());
  EXPECT_EQ(table->teams(1).unit(), gen::QUOTA_REQUESTS);
  EXPECT_EQ(table->teams(2).keys_size(), 0);
  EXPECT_EQ(DecodeTable(kTableDocument)->teams_size(), 0);
}

// A unit with a typing error would turn a quota of tokens into one of as many
// requests.
TEST(TableCodecTest, RefusesUnknownUnitsOfQuotas) {
  for (const char *unit :
       {"\"generates\"", "\"tokens\"", "\"\"", "1", "null"}) {
    std::string document = kTeams;
    std::size_t at = document.find("\"generate\"");
    document.replace(at, std::string("\"generate\"").size(), unit);
    base::Result<gen::RouteTable> table = DecodeTable(document);
    ASSERT_FALSE(table) << unit;
    EXPECT_FALSE(table.error().m_remedy.empty());
  }
}

// A malformed team that is skipped would lock its callers out, or leave them
// without a limit. Errors are logged and sent back, so that they must not
// contain keys.
TEST(TableCodecTest, RefusesMalformedTeamsWithoutNamingKeys) {
  using Texts = std::vector<std::pair<std::string, std::string>>;
  for (const auto &[field, value] :
       Texts{{R"("name":"red")", R"("name":7)"},
             {R"("name":"red",)", ""},
             {R"("apiKeys":["secret-1","secret-2"],)", ""},
             {R"(["secret-1","secret-2"])", R"("secret-1")"},
             {R"(["secret-1","secret-2"])", R"({"secret-1":1})"},
             {R"(["secret-1","secret-2"])", R"(["secret-1",7])"},
             {R"(["secret-1","secret-2"])", R"(["secret-1",["secret-2"]])"},
             {R"(["secret-1","secret-2"])", R"(["secret-1",null])"},
             {R"(["secret-1","secret-2"])", R"(["secret-1" "secret-2"])"},
             {R"("priority":0)", R"("priority":-1)"},
             {R"("priority":0)", R"("priority":"secret-1")"},
             {R"("ratePerS":29000.5)", R"("ratePerS":"secret-1")"},
             {R"("burst":9240)", R"("burst":[])"},
             {R"("plainTokens":12)", R"("plainTokens":4294967296)"},
             {R"("tenants":[)", R"("tenants":["secret-1",)"},
             {R"("tenants":[)", R"("tenants":7,"x":[)"},
             {R"("tenants":[)", R"("tenants":null,"x":[)"},
             // Well-formed, refused by the check of the table.
             {R"("secret-3")", R"("secret-1")"},
             {R"("secret-3")", R"("secret-3","")"},
             {R"("name":"blue")", R"("name":"red")"},
             {R"("ratePerS":40)", R"("ratePerS":-40)"}}) {
    std::string document = kTeams;
    document.replace(document.find(field), field.size(), value);
    base::Result<gen::RouteTable> table = DecodeTable(document);
    std::string error;
    if (!table) {
      error = table.error().ToString();
    } else if (auto done = routes::CheckRouteTable(*table); !done) {
      error = done.error().ToString();
    }
    EXPECT_NE(error, "") << field << " " << value;
    EXPECT_EQ(error.find("secret"), std::string::npos) << error;
  }
}

net::HttpRequest MakePost(const std::string &target, const std::string &body) {
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_target = target;
  request.m_body = body;
  return request;
}

base::Result<gen::UpstreamReport> DecodeReport(const std::string &target,
                                               const std::string &body) {
  auto call = MakeControlProtocol().m_decode_call(MakePost(target, body));
  if (!call) return tl::unexpected(call.error());
  return std::get<ReportCall>(*call).m_report;
}

constexpr const char *kReport =
    R"({"service":"s1","addr":"10.0.0.9:80","zone":"z","version":"v1",)"
    R"("slots":64,"state":"ready","coldLeftMs":0,"born":1700000000123,)"
    R"("models":[{"name":"m","version":2,"adapters":["a1"]}],)"
    R"("available":{"inMemory":["m"],"onDisk":["m","n"]},"seq":4})";

TEST(ControlCodecTest, DecodesAReport) {
  auto report = DecodeReport("/wasabiwind/Instances.Beat/i-1", kReport);
  ASSERT_TRUE(report) << report.error().ToString();
  EXPECT_EQ(report->id(), "i-1");
  EXPECT_EQ(report->born_ms(), 1'700'000'000'123u);
  EXPECT_EQ(report->report_number(), 4u);
  EXPECT_EQ(report->models(0).adapters(0), "a1");
  EXPECT_EQ(report->on_disk_size(), 2);
  EXPECT_FALSE(report->has_end());
}

// A report that isn't of the platform's format must not add an upstream.
TEST(ControlCodecTest, RefusesMalformedReports) {
  const std::string target = "/wasabiwind/Instances.Beat/i-1";
  EXPECT_FALSE(DecodeReport(target, "\x01\x02"));
  EXPECT_FALSE(DecodeReport(target, RemoveText(kReport, R"("service":"s1",)")));
  EXPECT_FALSE(
      DecodeReport(target, RemoveText(kReport, R"("state":"ready",)")));
  std::string unknown_state = kReport;
  unknown_state.replace(unknown_state.find("ready"), 5, "happy");
  EXPECT_FALSE(DecodeReport(target, unknown_state));
  std::string text_number = kReport;
  text_number.replace(text_number.find(R"("seq":4)"), 7, R"("seq":"4")");
  EXPECT_FALSE(DecodeReport(target, text_number));
}

std::string ReplaceText(const std::string &text, const std::string &part,
                        const std::string &replacement) {
  std::string result = text;
  result.replace(result.find(part), part.size(), replacement);
  return result;
}

// An entry of another writer was taken for a report: a sequence number or start
// time beyond what the sender can mean makes each later report of the runner
// look outdated, and an address without a usable port is offered to callers.
TEST(ControlCodecTest, RefusesReportsWithImpossibleValues) {
  const std::string target = "/wasabiwind/Instances.Beat/i-1";
  ASSERT_TRUE(DecodeReport(target, kReport));
  const std::vector<std::pair<std::string, std::vector<std::string>>> fields = {
      {R"("seq":4)",
       {R"("seq":1e300)", R"("seq":18446744073709551615)", R"("seq":-1)",
        R"("seq":18446744073709551616)", R"("seq":1.5)", R"("seq":NaN)",
        R"("seq":null)", R"("seq":1e999)"}},
      {R"("born":1700000000123)",
       {R"("born":1e300)", R"("born":9007199254740993)", R"("born":-5)",
        R"("born":"1700000000123")", R"("born":Infinity)"}},
      {R"("slots":64)",
       {R"("slots":4294967296)", R"("slots":-1)", R"("slots":1e300)"}},
      {R"("coldLeftMs":0)",
       {R"("coldLeftMs":1e300)", R"("coldLeftMs":4294967296)",
        R"("coldLeftMs":"0")"}},
      {R"("addr":"10.0.0.9:80")",
       {R"("addr":"10.0.0.9:0")", R"("addr":"10.0.0.9:65536")",
        R"("addr":"10.0.0.9:-1")", R"("addr":"10.0.0.9:99999999999")",
        R"("addr":"10.0.0.9")", R"("addr":"")", R"("addr":"host:80")",
        R"("addr":10)", R"("addr":"10.0.0.9:80 ")"}},
      {R"("service":"s1")",
       {R"("service":"")", R"("service":["s1"])",
        "\"service\":\"" + std::string(1 << 20, 's') + "\"",
        "\"service\":\"\xc3\x28\""}},
      {R"("zone":"z")", {R"("zone":{})", "\"zone\":\"\xff\""}},
  };
  for (const auto &[field, values] : fields) {
    for (const std::string &value : values) {
      EXPECT_FALSE(DecodeReport(target, ReplaceText(kReport, field, value)))
          << value.substr(0, 60);
    }
  }
}

// Nesting must be bounded by the parser, not by the stack.
TEST(ControlCodecTest, RefusesDeeplyNestedReports) {
  constexpr int kDepth = 200'000;
  for (const char *open : {"[", "{\"a\":"}) {
    std::string nested;
    for (int i = 0; i < kDepth; ++i) nested += open;
    EXPECT_FALSE(DecodeReport("/wasabiwind/Instances.Beat/i-1", nested));
    EXPECT_FALSE(DecodeReport(
        "/wasabiwind/Instances.Beat/i-1",
        ReplaceText(kReport, R"("seq":4)", "\"seq\":4,\"x\":" + nested)));
    EXPECT_FALSE(DecodeTable(nested));
  }
}

// The ID of a report is part of a path and reaches every host as text; one that
// isn't printable made the updates that contain it unreadable.
TEST(ControlCodecTest, RefusesIdsThatArentPrintable) {
  for (const std::string &id :
       {std::string("i-\xff"), std::string("i-\x80\x80"), std::string("a b"),
        std::string("i-\x01"), std::string(300, 'i')}) {
    EXPECT_FALSE(DecodeReport("/wasabiwind/Instances.Beat/" + id, kReport));
    EXPECT_FALSE(DecodeReport("/wasabiwind/Instances.Leave/" + id, ""));
  }
}

// One malformed model must not cost the report.
TEST(ControlCodecTest, SkipsMalformedModels) {
  std::string report = ReplaceText(
      kReport, R"("models":[)",
      R"("models":[{"name":7},[],{"name":"w","version":1e300},null,)");
  auto decoded = DecodeReport("/wasabiwind/Instances.Beat/i-1", report);
  ASSERT_TRUE(decoded) << decoded.error().ToString();
  ASSERT_EQ(decoded->models_size(), 1);
  EXPECT_EQ(decoded->models(0).name(), "m");
}

// A leave with a start time that can't be meant removed whichever start of the
// runner was known.
TEST(ControlCodecTest, RefusesMalformedLeaves) {
  const std::string target = "/wasabiwind/Instances.Leave/i-1";
  EXPECT_TRUE(DecodeReport(target, R"({"born":5,"seq":2})"));
  EXPECT_FALSE(DecodeReport(target, R"({"born":1e300})"));
  EXPECT_FALSE(DecodeReport(target, R"({"born":"5"})"));
  EXPECT_FALSE(DecodeReport(target, R"({"born":)"));
  EXPECT_FALSE(DecodeReport(target, "[]"));
}

TEST(ControlCodecTest, LeaveNeedsNoBody) {
  auto report = DecodeReport("/wasabiwind/Instances.Leave/i-1", "");
  ASSERT_TRUE(report);
  EXPECT_EQ(report->state(), gen::UPSTREAM_GONE);
  EXPECT_EQ(report->born_ms(), 0u);
}

TEST(ControlCodecTest, OrderNamesItsRunnerAndTheExpectedCount) {
  fleet_control::RunnerOrder order;
  order.m_upstream = "i-1";
  order.m_model = "m";
  order.m_adapter = "a3";
  order.m_expected_order_count = 2;
  order.m_holder = "core-1";
  order.m_fence = 41;
  net::HttpRequest request = MakeControlProtocol().m_encode_order(order);
  EXPECT_EQ(request.m_headers.Get("X-Wasabiwind-Expect-Instance"), "i-1");
  EXPECT_EQ(request.m_body,
            R"({"op":"load","model":"m","adapter":"a3","expect":2,)"
            R"("holder":"core-1","fence":41})");
}

net::HttpRequest MakeCallerRequest() {
  net::HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/p/1";
  request.m_headers.Add("Host", "a.example");
  request.m_headers.Add("X-Wasabiwind-Request-Id", "r1");
  request.m_headers.Add("X-Wasabiwind-Model", "m/a3");
  request.m_headers.Add("X-Wasabiwind-Token-Count", "1460,80");
  request.m_headers.Add("X-Wasabiwind-Prefix-Hash", "5c:800,91:410,e4:250");
  request.m_headers.Add("X-Wasabiwind-Deadline-Ms", "6000");
  request.m_headers.Add("X-Wasabiwind-Hold", "stolen");
  request.m_headers.Add("X-Wasabiwind-Pin-Ms", "1");
  request.m_headers.Add("X-Custom", "kept");
  request.m_headers.Add("Connection", "keep-alive, X-Hop");
  request.m_headers.Add("X-Hop", "dropped");
  return request;
}

TEST(GatewayCodecTest, DecodesARequest) {
  gateway::RequestMetadata metadata =
      MakeGatewayProtocol().m_decode_request(MakeCallerRequest());
  EXPECT_EQ(metadata.m_model, "m");
  EXPECT_EQ(metadata.m_adapter, "a3");
  EXPECT_EQ(metadata.m_prompt_tokens, 1'460u);
  ASSERT_EQ(metadata.m_parts.size(), 3u);
  EXPECT_EQ(metadata.m_parts[1].m_tokens, 410u);
  EXPECT_EQ(metadata.m_caller_timeout, std::chrono::milliseconds(6'000));
}

// "12x" was read as 12, and a number beyond 32 bits as a missing one.
TEST(GatewayCodecTest, IgnoresMalformedNumbers) {
  for (const char *value : {"12x", "x", "", "-1", "4294967296", "1e3", "1.5"}) {
    net::HttpRequest request;
    request.m_headers.Add("X-Wasabiwind-Deadline-Ms", value);
    request.m_headers.Add("X-Wasabiwind-Token-Count", value);
    request.m_headers.Add("X-Wasabiwind-Prefix-Hash",
                          "a:5,b:" + std::string(value) + ",c:7");
    gateway::RequestMetadata metadata =
        MakeGatewayProtocol().m_decode_request(request);
    EXPECT_FALSE(metadata.m_caller_timeout.has_value()) << value;
    EXPECT_EQ(metadata.m_prompt_tokens, 0u) << value;
    EXPECT_EQ(metadata.m_parts.size(), 1u) << value;
  }
}

// Headers that only this system may set must not be forwarded as a caller sent
// them.
TEST(GatewayCodecTest, ForwardsHeadersWithoutThoseOfConnectionAndSystem) {
  gateway::ForwardMetadata metadata;
  metadata.m_remaining = std::chrono::milliseconds(1'500);
  metadata.m_upstream = "i-1";
  metadata.m_urgency = 2;
  net::HttpHeaders headers = MakeGatewayProtocol().m_make_upstream_headers(
      MakeCallerRequest(), metadata);
  EXPECT_EQ(headers.Find("X-Wasabiwind-Hold"), nullptr);
  EXPECT_EQ(headers.Find("X-Wasabiwind-Pin-Ms"), nullptr);
  EXPECT_EQ(headers.Find("X-Hop"), nullptr);
  EXPECT_EQ(headers.Get("X-Custom"), "kept");
  EXPECT_EQ(headers.Get("Host"), "a.example");
  EXPECT_EQ(headers.Get("X-Wasabiwind-Deadline-Ms"), "1500");
  EXPECT_EQ(headers.Get("X-Wasabiwind-Expect-Instance"), "i-1");
  EXPECT_EQ(headers.Get("X-Wasabiwind-Request-Urgency"), "2");
}

// The scheme of a credential has no case; other schemes hold no key.
TEST(GatewayCodecTest, ReadsTheKeyOfACredential) {
  auto read = [](const std::string &credential) {
    net::HttpRequest request;
    request.m_headers.Add("Authorization", credential);
    return MakeGatewayProtocol().m_decode_request(request).m_key;
  };
  EXPECT_EQ(read("Bearer secret-1"), "secret-1");
  EXPECT_EQ(read("bearer  secret-1"), "secret-1");
  for (const char *other : {"", "Bearer", "Bearer ", "Bearer   ", "secret-1",
                            "Basic secret-1", "Bearersecret-1"}) {
    EXPECT_EQ(read(other), "") << other;
  }
}

net::HttpHeaders ForwardCredentials(const gateway::ForwardMetadata &metadata) {
  net::HttpRequest request = MakeCallerRequest();
  request.m_headers.Add("Authorization", "Bearer secret-1");
  request.m_headers.Add("authorization", "Bearer secret-2");
  request.m_headers.Add("x-wasabiwind-tenant", "forged");
  request.m_headers.Add("X-Wasabiwind-Tenant", "forged");
  return MakeGatewayProtocol().m_make_upstream_headers(request, metadata);
}

// A runner must see no key, and no name of a team that the caller wrote.
TEST(GatewayCodecTest, SendsTheTeamInsteadOfTheCredential) {
  gateway::ForwardMetadata metadata;
  metadata.m_drops_credential = true;
  for (const std::string &team : {std::string("red"), std::string()}) {
    metadata.m_team = team;  // none on a public route
    net::HttpHeaders headers = ForwardCredentials(metadata);
    EXPECT_EQ(headers.Get("X-Wasabiwind-Tenant"), team);
    for (const net::HttpHeader &header : headers.m_items) {
      EXPECT_EQ(header.m_value.find("secret"), std::string::npos);
      EXPECT_EQ(header.m_value.find("forged"), std::string::npos);
    }
  }
}

// Deployments without teams pass credentials on as before.
TEST(GatewayCodecTest, PassesCredentialsOnWithoutTeams) {
  net::HttpHeaders headers = ForwardCredentials(gateway::ForwardMetadata());
  EXPECT_EQ(headers.Get("Authorization"), "Bearer secret-1");
  EXPECT_EQ(headers.Get("X-Wasabiwind-Tenant"), "forged");
}

gateway::ResponseMetadata DecodeResponseHead(int status,
                                             const net::HttpHeaders &headers) {
  net::HttpResponse head;
  head.m_status = status;
  head.m_headers = headers;
  gateway::RequestMetadata request;
  request.m_id = "r1";
  return MakeGatewayProtocol().m_decode_response(head, request, "i-1");
}

TEST(GatewayCodecTest, OnlyExplicitRefusalsCountAsNotRun) {
  net::HttpHeaders headers;
  EXPECT_FALSE(DecodeResponseHead(503, headers).m_is_not_run);
  EXPECT_TRUE(DecodeResponseHead(421, headers).m_is_not_run);
  headers.Add("X-Wasabiwind-Not-Run", "1");
  EXPECT_TRUE(DecodeResponseHead(503, headers).m_is_not_run);
}

TEST(GatewayCodecTest, RecognizesResponseToAnotherRequest) {
  net::HttpHeaders headers;
  headers.Add("X-Wasabiwind-Request-Id", "r0");
  EXPECT_EQ(DecodeResponseHead(200, headers).m_request_id,
            gateway::RequestIdEcho::kOther);
  EXPECT_EQ(DecodeResponseHead(200, {}).m_request_id,
            gateway::RequestIdEcho::kMissing);
}

TEST(GatewayCodecTest, ReadsLeavingFromAnyAnswer) {
  net::HttpHeaders headers;
  headers.Add("Server-Leaving", "1");
  for (int status : {200, 421, 500, 503}) {
    EXPECT_TRUE(DecodeResponseHead(status, headers).m_is_leaving);
  }
  EXPECT_FALSE(DecodeResponseHead(200, {}).m_is_leaving);
}

// A pause that is misread as none lets requests reach a runner that asked for
// one; a text that is misread as a pause takes a sound runner away.
TEST(GatewayCodecTest, ReadsThePauseOfARefusal) {
  auto decode = [](int status, const std::vector<std::string> &values) {
    net::HttpHeaders headers;
    for (const std::string &value : values) headers.Add("Retry-After", value);
    return DecodeResponseHead(status, headers).m_pause;
  };
  using std::chrono::milliseconds;
  EXPECT_EQ(decode(503, {"2"}), milliseconds(2'000));
  EXPECT_EQ(decode(503, {"0.25"}), milliseconds(250));
  EXPECT_EQ(decode(503, {"0"}), milliseconds(0));
  EXPECT_EQ(decode(503, {"1", "3", "2"}), milliseconds(3'000));
  EXPECT_EQ(decode(503, {"x", "1"}), milliseconds(1'000));
  EXPECT_EQ(decode(503, {"1e9"}), milliseconds(60'000));
  for (const char *bad :
       {"-1", "nan", "inf", "2s", "", " 2", "Sat, 05 Dec 2026 00:00:00 GMT"}) {
    EXPECT_EQ(decode(503, {bad}), std::nullopt) << bad;
  }
  EXPECT_EQ(decode(503, {}), std::nullopt);
  EXPECT_EQ(decode(200, {"2"}), std::nullopt);
}

TEST(GatewayCodecTest, AddressAnswerHasTheFieldsCallersRead) {
  gateway::AddressAnswer answer;
  answer.m_addresses = {"10.0.0.1:80"};
  answer.m_ttl = std::chrono::milliseconds(1'000);
  EXPECT_EQ(MakeGatewayProtocol().m_encode_address_answer(answer).m_body,
            R"({"addrs":["10.0.0.1:80"],"ttlS":1})");
  net::HttpRequest request;
  request.m_method = "GET";
  request.m_target = "/wasabiwind/resolve?name=a%2Eb&region=r1&zone=z1";
  auto query = MakeGatewayProtocol().m_decode_address_query(request);
  ASSERT_TRUE(query);
  EXPECT_EQ(query->m_domain, "z1");
}

}  // namespace
}  // namespace wasabiwind::platform
