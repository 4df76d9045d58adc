#include "support/site.h"

#include <gmock/gmock.h>
#include <nlohmann/json.hpp>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

using namespace cyclamenwalk;
using testing::HasSubstr;
using testing::IsEmpty;

namespace {

int codeOf(const HttpResponse &Response) {
  auto Body = nlohmann::json::parse(Response.m_Body, nullptr, false);
  return Body.is_object() ? Body.value("code", 0) : 0;
}

/// Sends each text as one message to the port between processes.
void sendMessages(const std::string &Address,
                  const std::vector<std::string> &Texts) {
  nng_socket Socket;
  ASSERT_EQ(nng_push0_open(&Socket), 0);
  ASSERT_EQ(nng_dial(Socket, ("tcp://" + Address).c_str(), nullptr, 0), 0);
  for (const std::string &Text : Texts)
    nng_send(Socket, const_cast<char *>(Text.data()), Text.size(), 0);
  // nng sends in the background.
  std::this_thread::sleep_for(milliseconds(300));
  nng_close(Socket);
}

} // namespace

TEST(Hostile, badInputGetsNumberedErrorsAndNothingIsLost) {
  Site At(22000, 1, 1);
  JobOrderForm Form;
  Form.m_Tasks = 4;
  At.startLoad(0, Form);

  EXPECT_EQ(codeOf(At.call(0, "POST", "/v1/jobs", "{")), 2001);
  EXPECT_EQ(codeOf(At.call(0, "POST", "/v1/jobs", "[1,2]")), 2001);
  EXPECT_EQ(codeOf(At.call(0, "POST", "/v1/jobs", std::string(50000, '['))),
            2001);
  EXPECT_EQ(codeOf(At.call(0, "POST", "/v1/jobs", std::string(5 << 20, 'x'))),
            2002);
  EXPECT_EQ(codeOf(At.call(0, "GET", "/v1/jobs/nonsense")), 2017);
  EXPECT_EQ(codeOf(At.call(0, "GET", "/nowhere")), 2017);
  EXPECT_EQ(
      codeOf(At.call(0, "POST", "/v1/jobs",
                     R"({"service":"x","kind":"k","team":"t","tasks":[1]})")),
      2003);
  EXPECT_EQ(codeOf(At.call(
                0, "POST", "/v1/jobs",
                R"({"service":"gatepost","kind":"k","team":"t","tasks":[1]})")),
            2004);
  EXPECT_EQ(codeOf(At.apply(0, "[service a]\nslots = x\n", "bad", 1)), 1006);
  EXPECT_EQ(codeOf(At.call(0, "POST", "/v1/configuration", "")), 2001);

  std::string OtherVersion("\x98\x63\x01\x02\x03\x04\x05\x06\x90", 9);
  sendMessages(At.messageAddress(0),
               {"garbage", "", OtherVersion, std::string(100000, '\xdd')});
  EXPECT_TRUE(Site::waitFor([&] {
    return At.logText("entry-0").find("code=6002") != std::string::npos;
  }));
  EXPECT_THAT(At.logText("entry-0"), HasSubstr("code=6001"));

  At.stopLoad();
  for (const CallerAnswer &Told : At.answers())
    EXPECT_EQ(Told.m_Code, ResultCode::Ok);
  EXPECT_THAT(At.violations(), IsEmpty());
}
