#include "core/tests/mocks/immediatequeue.h"
#include "http/blockinghttp.h"
#include "http/multiplexhttp.h"
#include "http/tests/mocks/scriptedserver.h"

#include <future>
#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

using Ending = ServerReaction::Ending;

constexpr Duration LongTimeout = seconds(5);
constexpr Duration ShortTimeout = milliseconds(100);

const std::string OkText = makeHttpText(200, "{}");

HttpRequest makeRequest(const std::string &Method, const ScriptedServer &Server,
                        const std::string &Path) {
  HttpRequest Request;
  Request.m_Method = Method;
  Request.m_Url = "http://" + Server.address() + Path;
  if (Method != "GET")
    Request.m_Body = "{\"order\":1}";
  return Request;
}

class MultiplexHttpTest : public testing::Test {
protected:
  std::future<HttpResponse> start(HttpRequest Request, Duration Timeout) {
    auto Answer = std::make_shared<std::promise<HttpResponse>>();
    m_Client.send(std::move(Request), Timeout, [Answer](HttpResponse Response) {
      Answer->set_value(std::move(Response));
    });
    return Answer->get_future();
  }

  HttpResponse call(const std::string &Method, const ScriptedServer &Server,
                    const std::string &Path, Duration Timeout = LongTimeout) {
    return start(makeRequest(Method, Server, Path), Timeout).get();
  }

  /// Sends \p Count requests at the same time.
  void callTogether(const ScriptedServer &Server, const std::string &Path,
                    int Count) {
    std::vector<std::future<HttpResponse>> Answers(Count);
    for (auto &Answer : Answers)
      Answer = start(makeRequest("POST", Server, Path), LongTimeout);
    for (auto &Answer : Answers)
      EXPECT_EQ(Answer.get().m_Status, 200);
  }

  ImmediateQueue m_Queue;
  MultiplexHttp m_Client{MultiplexSettings{}, m_Queue};
};

/// Answers everything but the first request for /order, on whose connection it
/// ends with \p Ending after it has read the request.
ScriptedServer::Reaction loseFirstOrder(Ending HowItEnds,
                                        bool StopsListening = false) {
  auto IsFirst = std::make_shared<bool>(true);
  return [=](const ReceivedRequest &Request) -> ServerReaction {
    bool IsOrder = Request.m_Text.find(" /order ") != std::string::npos;
    if (!IsOrder || !std::exchange(*IsFirst, false))
      return {OkText};
    return {"", HowItEnds, StopsListening};
  };
}

constexpr int KeptConnections = 8;

/// Answers the requests for /open together, once there are KeptConnections of
/// them, so that each has its own connection; others as \p React tells.
ScriptedServer::Reaction
keepConnections(const ScriptedServer::Reaction &React) {
  auto Arrived = std::make_shared<int>(0);
  return [=](const ReceivedRequest &Request) -> ServerReaction {
    if (Request.m_Text.find("/open") == std::string::npos)
      return React(Request);
    if (++*Arrived < KeptConnections)
      return {};
    return {OkText, Ending::KeepOpen, false, true};
  };
}

} // namespace

TEST_F(MultiplexHttpTest, sendsPostOnceWhenKeptConnectionBreaks) {
  for (Ending HowItEnds : {Ending::Close, Ending::Reset}) {
    ScriptedServer Server(loseFirstOrder(HowItEnds));
    EXPECT_EQ(call("POST", Server, "/first").m_Status, 200);
    HttpResponse Response = call("POST", Server, "/order");
    EXPECT_EQ(Response.m_Status, 0);
    EXPECT_TRUE(Response.m_WasSent);
    EXPECT_EQ(Response.m_Failure, HttpFailure::ConnectionLost);
    EXPECT_EQ(Server.received("/order"), 1);
  }
}

TEST_F(MultiplexHttpTest, countsAsSentWhenRefusedAfterFirstCopy) {
  for (const char *Method : {"POST", "GET"}) {
    ScriptedServer Server(loseFirstOrder(Ending::Reset, true));
    EXPECT_EQ(call("POST", Server, "/first").m_Status, 200);
    HttpResponse Response = call(Method, Server, "/order");
    EXPECT_EQ(Response.m_Status, 0);
    EXPECT_TRUE(Response.m_WasSent) << Method;
    EXPECT_EQ(Server.received("/order"), 1);
  }
}

TEST_F(MultiplexHttpTest, sendsGetAgainWhenKeptConnectionBreaks) {
  ScriptedServer Server(loseFirstOrder(Ending::Reset));
  EXPECT_EQ(call("POST", Server, "/first").m_Status, 200);
  EXPECT_EQ(call("GET", Server, "/order").m_Status, 200);
  EXPECT_EQ(Server.received("/order"), 2);
}

/// There is another idle connection on which curl could send it again.
TEST_F(MultiplexHttpTest, sendsPostOnceWhenAnotherConnectionIsIdle) {
  ScriptedServer Server(keepConnections(loseFirstOrder(Ending::Reset)));
  callTogether(Server, "/open", KeptConnections);
  HttpResponse Response = call("POST", Server, "/order");
  EXPECT_EQ(Response.m_Status, 0);
  EXPECT_TRUE(Response.m_IsRepeatPrevented);
  EXPECT_EQ(Server.received("/order"), 1);
  EXPECT_EQ(call("POST", Server, "/order").m_Status, 200);
}

TEST_F(MultiplexHttpTest, countsAsNotSentWhileWaitingForConnection) {
  ScriptedServer Server(
      [](const ReceivedRequest &) -> ServerReaction { return {}; });
  MultiplexHttp Client({1, seconds(1)}, m_Queue);
  std::promise<HttpResponse> Queued;
  Client.send(makeRequest("POST", Server, "/busy"), 2 * ShortTimeout,
              [](const HttpResponse &) {});
  Client.send(
      makeRequest("POST", Server, "/queued"), ShortTimeout,
      [&](const HttpResponse &Response) { Queued.set_value(Response); });
  HttpResponse Response = Queued.get_future().get();
  EXPECT_FALSE(Response.m_WasSent);
  EXPECT_EQ(Response.m_Failure, HttpFailure::TimedOut);
  EXPECT_EQ(Server.received("/queued"), 0);
}

TEST_F(MultiplexHttpTest, doesNotTakeLateResponseForTheNextOne) {
  ScriptedServer Server([](const ReceivedRequest &Request) -> ServerReaction {
    if (Request.m_Text.find("/late") != std::string::npos)
      return {};
    return {
        makeHttpText(200, "\"" + std::to_string(Request.m_Connection) + "\"")};
  });
  EXPECT_EQ(call("POST", Server, "/first").m_Body, "\"1\"");
  EXPECT_EQ(call("POST", Server, "/late", ShortTimeout).m_Status, 0);
  EXPECT_EQ(call("POST", Server, "/next").m_Body, "\"2\"");
}

/// Servers close idle connections at any time, without a word.
TEST_F(MultiplexHttpTest, closedIdleConnectionLeavesNoCallUnanswered) {
  constexpr int Calls = 200;
  ScriptedServer Server([](const ReceivedRequest &) -> ServerReaction {
    return {OkText, Ending::Close};
  });
  for (int I = 1; I <= Calls; ++I) {
    EXPECT_EQ(call("POST", Server, "/order").m_Status, 200);
    Server.awaitClosed(I);
  }
  EXPECT_EQ(Server.received("/order"), Calls);
}

TEST_F(MultiplexHttpTest, answersAllCallsOverKeptConnections) {
  constexpr int Rounds = 200;
  constexpr int CallsPerRound = 10;
  ScriptedServer Server(
      [](const ReceivedRequest &) -> ServerReaction { return {OkText}; });
  for (int I = 0; I < Rounds; ++I)
    callTogether(Server, "/call", CallsPerRound);
  EXPECT_EQ(Server.received("/call"), Rounds * CallsPerRound);
}

/// All open connections go silent without a reset, while new ones work.
TEST_F(MultiplexHttpTest, reusesNoOtherIdleConnectionAfterSilence) {
  ScriptedServer Server(
      keepConnections([](const ReceivedRequest &Request) -> ServerReaction {
        return {Request.m_Connection <= KeptConnections ? "" : OkText};
      }));
  callTogether(Server, "/open", KeptConnections);
  int Unanswered = 0;
  while (call("POST", Server, "/order", ShortTimeout).m_Status == 0)
    ++Unanswered;
  EXPECT_EQ(Unanswered, 1);
}

/// A call in progress keeps its connection when another one times out.
TEST_F(MultiplexHttpTest, silenceEndsNoCallInProgress) {
  ScriptedServer Server(keepConnections(
      [](const ReceivedRequest &) -> ServerReaction { return {}; }));
  callTogether(Server, "/open", KeptConnections);
  auto Poll = start(makeRequest("POST", Server, "/poll"), 4 * ShortTimeout);
  EXPECT_EQ(call("POST", Server, "/silent", ShortTimeout).m_Failure,
            HttpFailure::TimedOut);
  EXPECT_EQ(Poll.get().m_Failure, HttpFailure::TimedOut);
}

// Guards against a timeout below a millisecond that counts as none.
TEST_F(MultiplexHttpTest, timeoutBelowAMillisecondEndsTheCall) {
  ScriptedServer Server(keepConnections(
      [](const ReceivedRequest &) -> ServerReaction { return {}; }));
  auto Answer =
      start(makeRequest("POST", Server, "/silent"), microseconds(500));
  ASSERT_EQ(Answer.wait_for(LongTimeout), std::future_status::ready);
  EXPECT_EQ(Answer.get().m_Failure, HttpFailure::TimedOut);
}

TEST_F(MultiplexHttpTest, truncatedResponseIsNoResponse) {
  ScriptedServer Server([](const ReceivedRequest &) -> ServerReaction {
    return {"HTTP/1.1 409 Conflict\r\nContent-Length: 90\r\n\r\n"
            "{\"reason\":\"fence\"}",
            Ending::Close};
  });
  HttpResponse Response = call("POST", Server, "/order");
  EXPECT_EQ(Response.m_Status, 0);
  EXPECT_TRUE(Response.m_WasSent);
  EXPECT_EQ(Response.m_Failure, HttpFailure::ConnectionLost);
  EXPECT_EQ(Response.m_Body, "");
}

TEST_F(MultiplexHttpTest, interimResponseIsNotTheResponse) {
  ScriptedServer Server([](const ReceivedRequest &Request) -> ServerReaction {
    std::string Interim = "HTTP/1.1 102 Processing\r\n\r\n";
    if (Request.m_Text.find("/lost") != std::string::npos)
      return {Interim, Ending::Close};
    return {Interim + makeHttpText(409, "{}")};
  });
  EXPECT_EQ(call("POST", Server, "/order").m_Status, 409);
  HttpResponse Lost = call("POST", Server, "/lost");
  EXPECT_EQ(Lost.m_Status, 0);
  EXPECT_TRUE(Lost.m_WasSent);
  EXPECT_EQ(Server.received("/lost"), 1);
}

TEST_F(MultiplexHttpTest, malformedResponseIsNoResponse) {
  ScriptedServer Server([](const ReceivedRequest &) -> ServerReaction {
    return {"409 {}\r\n\r\n", Ending::Close};
  });
  HttpResponse Response = call("POST", Server, "/order");
  EXPECT_EQ(Response.m_Status, 0);
  EXPECT_TRUE(Response.m_WasSent);
  EXPECT_EQ(Response.m_Failure, HttpFailure::Malformed);
}

TEST_F(MultiplexHttpTest, followsNoRedirect) {
  ScriptedServer Server([](const ReceivedRequest &) -> ServerReaction {
    return {"HTTP/1.1 307 Redirect\r\nLocation: /other\r\n"
            "Content-Length: 0\r\n\r\n"};
  });
  EXPECT_EQ(call("POST", Server, "/order").m_Status, 307);
  EXPECT_EQ(Server.received("/other"), 0);
}

/// ulfius uses a new connection for each request, so there is none to break.
TEST(BlockingHttp, sendsPostOnceWhenConnectionBreaks) {
  ScriptedServer Server(loseFirstOrder(Ending::Reset));
  EXPECT_EQ(sendHttpRequest(makeRequest("POST", Server, "/first"), LongTimeout)
                .m_Status,
            200);
  EXPECT_EQ(sendHttpRequest(makeRequest("POST", Server, "/order"), LongTimeout)
                .m_Status,
            0);
  EXPECT_EQ(Server.received("/order"), 1);
}

/// A response must not be taken for that of another address or request.
TEST(BlockingHttp, followsNoRedirect) {
  ScriptedServer Server([](const ReceivedRequest &) -> ServerReaction {
    return {"HTTP/1.1 307 Redirect\r\nLocation: /other\r\n"
            "Content-Length: 0\r\n\r\n"};
  });
  EXPECT_EQ(sendHttpRequest(makeRequest("POST", Server, "/first"), LongTimeout)
                .m_Status,
            307);
  EXPECT_EQ(Server.received("/other"), 0);
}

TEST(BlockingHttp, truncatedResponseIsNoResponse) {
  ScriptedServer Server([](const ReceivedRequest &) -> ServerReaction {
    return {"HTTP/1.1 503 Unavailable\r\nContent-Length: 9\r\n\r\n{}",
            Ending::Close};
  });
  HttpResponse Response =
      sendHttpRequest(makeRequest("POST", Server, "/order"), LongTimeout);
  EXPECT_EQ(Response.m_Status, 0);
  EXPECT_NE(Response.m_Failure, HttpFailure::None);
}
