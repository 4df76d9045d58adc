#include "support/site.h"

#include <gmock/gmock.h>
#include <nlohmann/json.hpp>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

using namespace cyclamenwalk;
using testing::HasSubstr;
using testing::IsEmpty;

namespace {

int resultCode(const HttpResponse &Response) {
  auto Body = nlohmann::json::parse(Response.m_Body, nullptr, false);
  return Body.is_object() ? Body.value("code", 0) : 0;
}

/// Sends raw messages to the message port of a process.
void sendMessages(const std::string &Address,
                  const std::vector<std::string> &Messages) {
  nng_socket Socket;
  ASSERT_EQ(nng_push0_open(&Socket), 0);
  ASSERT_EQ(nng_dial(Socket, ("tcp://" + Address).c_str(), nullptr, 0), 0);
  for (const std::string &Message : Messages)
    nng_send(Socket, const_cast<char *>(Message.data()), Message.size(), 0);
  // nng_send() returns before the message is on the wire.
  std::this_thread::sleep_for(milliseconds(300));
  nng_close(Socket);
}

} // namespace

TEST(Hostile, malformedInputGetsErrorCodesAndJobsComplete) {
  Site TestSite(22000, 1, 1);
  JobOptions Options;
  Options.m_Tasks = 4;
  TestSite.startLoad(0, Options);

  EXPECT_EQ(resultCode(TestSite.call(0, "POST", "/v1/jobs", "{")), 2001);
  EXPECT_EQ(resultCode(TestSite.call(0, "POST", "/v1/jobs", "[1,2]")), 2001);
  EXPECT_EQ(
      resultCode(TestSite.call(0, "POST", "/v1/jobs", std::string(50000, '['))),
      2001);
  EXPECT_EQ(resultCode(TestSite.call(0, "POST", "/v1/jobs",
                                     std::string(5 << 20, 'x'))),
            2002);
  EXPECT_EQ(resultCode(TestSite.call(0, "GET", "/v1/jobs/nonsense")), 2017);
  EXPECT_EQ(resultCode(TestSite.call(0, "GET", "/nowhere")), 2017);
  EXPECT_EQ(resultCode(TestSite.call(
                0, "POST", "/v1/jobs",
                R"({"service":"x","kind":"k","team":"t","tasks":[1]})")),
            2003);
  EXPECT_EQ(resultCode(TestSite.call(
                0, "POST", "/v1/jobs",
                R"({"service":"gatepost","kind":"k","team":"t","tasks":[1]})")),
            2004);
  EXPECT_EQ(resultCode(TestSite.applyConfiguration(
                0, "[service a]\nslots = x\n", "bad", 1)),
            1006);
  EXPECT_EQ(resultCode(TestSite.call(0, "POST", "/v1/configuration", "")),
            2001);

  std::string OtherVersion("\x98\x63\x01\x02\x03\x04\x05\x06\x90", 9);
  sendMessages(TestSite.messageAddress(0),
               {"garbage", "", OtherVersion, std::string(100000, '\xdd')});
  EXPECT_TRUE(Site::waitFor([&] {
    return TestSite.readLog("entry-0").find("code=6002") != std::string::npos;
  }));
  EXPECT_THAT(TestSite.readLog("entry-0"), HasSubstr("code=6001"));

  TestSite.stopLoad();
  for (const CallerAnswer &Answer : TestSite.answers())
    EXPECT_EQ(Answer.m_Code, ResultCode::Ok);
  EXPECT_THAT(TestSite.violations(), IsEmpty());
}
