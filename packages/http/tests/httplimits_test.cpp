#include "http/httpserver.h"
#include "http/tests/mocks/rawcaller.h"

#include <atomic>
#include <gtest/gtest.h>
#include <list>
#include <rapidcheck.h>
#include <sys/socket.h>
#include <thread>

using namespace cyclamenwalk;

namespace {

constexpr std::uint16_t Port = 24010;
constexpr std::size_t BodyLimit = 64 * 1024;
constexpr std::size_t HeaderLimit = 4096;

HttpServerSettings makeSettings() {
  HttpServerSettings Settings;
  Settings.m_Listen = "127.0.0.1:" + std::to_string(Port);
  Settings.m_BodyLimit = BodyLimit;
  Settings.m_HeaderLimit = HeaderLimit;
  Settings.m_HeaderTimeout = milliseconds(400);
  Settings.m_IdleTimeout = seconds(60);
  Settings.m_BodyBytesPerSecond = 1000;
  Settings.m_Share = {1024 * 1024, 20};
  return Settings;
}

std::string makePost(std::size_t BodyBytes) {
  return "POST /job HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(BodyBytes) + "\r\nConnection: close\r\n\r\n" +
         std::string(BodyBytes, 'x');
}

class HttpLimitsTest : public testing::Test {
protected:
  explicit HttpLimitsTest(const HttpServerSettings &Settings = makeSettings())
      : m_Server(Settings) {
    m_Server.routeQuick("POST", "/job", [this](const HttpRequest &Request) {
      ++m_Handled;
      HttpResponse Response;
      Response.m_Body = std::to_string(Request.m_Body.size());
      return Response;
    });
    m_Server.start();
  }

  /// Whether an ordinary request is answered.
  static bool isServed() {
    RawCaller Caller(Port);
    Caller.send(makePost(100));
    return Caller.receive().starts_with("HTTP/1.1 200");
  }

  /// Waits until the server has closed all connections of this test.
  bool isEmpty() const {
    for (int I = 0; I < 300 && m_Server.usage().m_Connections > 0; ++I)
      std::this_thread::sleep_for(milliseconds(10));
    return m_Server.usage().m_Bytes == 0 && m_Server.usage().m_Connections == 0;
  }

  std::atomic<int> m_Handled = 0;
  HttpServer m_Server;
};

} // namespace

/// Guards against limits that refuse what they permit.
TEST_F(HttpLimitsTest, largestRequestIsServed) {
  std::string Request = makePost(BodyLimit);
  std::string Filler = "X-Fill: ";
  std::size_t HeaderBytes = Request.size() - BodyLimit + Filler.size() + 2;
  Request.insert(Request.find("Host:"),
                 Filler + std::string(HeaderLimit - HeaderBytes, 'f') + "\r\n");
  RawCaller Caller(Port);
  Caller.send(Request);
  EXPECT_TRUE(Caller.receive().ends_with(std::to_string(BodyLimit)));
  EXPECT_TRUE(isEmpty());
}

TEST_F(HttpLimitsTest, refusesLargeBodiesBeforeAHandlerRuns) {
  RawCaller Announced(Port);
  Announced.send("POST /job HTTP/1.1\r\nHost: h\r\nContent-Length: "
                 "1000000000\r\n\r\nx");
  EXPECT_TRUE(Announced.receive().starts_with("HTTP/1.1 413"));
  RawCaller Chunked(Port);
  Chunked.send("POST /job HTTP/1.1\r\nHost: h\r\n"
               "Transfer-Encoding: chunked\r\n\r\n20000\r\n" +
               std::string(0x20000, 'x') + "\r\n");
  EXPECT_TRUE(Chunked.receive().starts_with("HTTP/1.1 413"));
  EXPECT_EQ(m_Handled, 0);
  EXPECT_TRUE(isEmpty());
}

TEST_F(HttpLimitsTest, refusesLargeHeaders) {
  RawCaller Caller(Port);
  Caller.send("POST /job HTTP/1.1\r\nHost: h\r\nX-Fill: " +
              std::string(HeaderLimit, 'x') + "\r\n\r\n");
  EXPECT_TRUE(Caller.receive().starts_with("HTTP/1.1 431"));
  RawCaller Endless(Port);
  Endless.send("POST /job HTTP/1.1\r\nHost: h\r\nX-Fill: " +
               std::string(8 * HeaderLimit, 'x'));
  EXPECT_TRUE(Endless.receive().starts_with("HTTP/1.1 431"));
  EXPECT_EQ(m_Handled, 0);
  EXPECT_TRUE(isEmpty());
}

TEST_F(HttpLimitsTest, refusesSlowHeadersAndBodies) {
  RawCaller SlowHeader(Port);
  SlowHeader.send("POST /job HTTP/1.1\r\nHost");
  RawCaller SlowBody(Port);
  SlowBody.send("POST /job HTTP/1.1\r\nHost: h\r\n"
                "Content-Length: 5000\r\n\r\nx");
  EXPECT_TRUE(SlowHeader.receive().starts_with("HTTP/1.1 408"));
  EXPECT_TRUE(SlowBody.receive().starts_with("HTTP/1.1 408"));
  EXPECT_EQ(m_Handled, 0);
  EXPECT_TRUE(isEmpty());
}

/// Guards against refusing callers that keep their connection: what arrived for
/// an earlier request is no header that has begun.
TEST_F(HttpLimitsTest, keptConnectionOutlastsTheHeaderTimeout) {
  RawCaller Caller(Port);
  Caller.send("POST /job HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
  std::this_thread::sleep_for(milliseconds(1200));
  Caller.send("POST /job HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
              "Connection: close\r\n\r\nx");
  Caller.receive();
  EXPECT_EQ(m_Handled, 2);
}

/// Guards against headers that never end on a connection that was served
/// before.
TEST_F(HttpLimitsTest, refusesASlowHeaderAfterAResponse) {
  RawCaller Caller(Port);
  Caller.send("POST /job HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
  std::this_thread::sleep_for(milliseconds(100));
  for (int I = 0; I < 20; ++I) {
    Caller.send(I == 0 ? "POST /job HTTP/1.1\r\nX-Fill: " : "x");
    std::this_thread::sleep_for(milliseconds(100));
  }
  EXPECT_NE(Caller.receive().find("HTTP/1.1 408"), std::string::npos);
  EXPECT_EQ(m_Handled, 1);
}

/// Guards against the refusal of a request that has arrived in time, but that
/// the polling thread was too busy to read.
TEST(HttpLimits, servesARequestThatIsReadLate) {
  HttpServer Server(makeSettings());
  Server.routeQuick("POST", "/busy", [](const HttpRequest &) {
    std::this_thread::sleep_for(milliseconds(500));
    return HttpResponse();
  });
  Server.routeQuick("POST", "/job",
                    [](const HttpRequest &) { return HttpResponse(); });
  Server.start();
  RawCaller Idle(Port);
  RawCaller Other(Port);
  std::this_thread::sleep_for(milliseconds(200));
  Other.send("POST /busy HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  std::this_thread::sleep_for(milliseconds(300));
  Idle.send(makePost(1));
  EXPECT_TRUE(Idle.receive().starts_with("HTTP/1.1 200"));
}

/// Guards against silence towards new callers while others hold connections.
TEST_F(HttpLimitsTest, idleConnectionsMakeRoom) {
  constexpr int CallerCount = 40;
  std::vector<std::unique_ptr<RawCaller>> Idle;
  Idle.reserve(CallerCount);
  for (int I = 0; I < CallerCount; ++I)
    Idle.push_back(std::make_unique<RawCaller>(Port));
  std::this_thread::sleep_for(milliseconds(200));
  EXPECT_TRUE(isServed());
  EXPECT_LE(m_Server.usage().m_Connections, 20U);
}

/// Guards against newcomers that wait while all connections are busy.
TEST_F(HttpLimitsTest, refusesConnectionsWhileAllAreBusy) {
  constexpr int CallerCount = 20;
  std::vector<std::unique_ptr<RawCaller>> Busy;
  Busy.reserve(CallerCount);
  for (int I = 0; I < CallerCount; ++I)
    Busy.push_back(std::make_unique<RawCaller>(Port));
  RawCaller Newcomer(Port);
  std::string Refusal = Newcomer.receive();
  EXPECT_TRUE(Refusal.starts_with("HTTP/1.1 503"));
  EXPECT_NE(Refusal.find("Retry-After: "), std::string::npos);
}

/// Guards against memory that unfinished bodies use beyond the limit, and
/// against ordinary requests that are refused for it.
TEST_F(HttpLimitsTest, unfinishedBodiesLeaveRoomForOrdinaryRequests) {
  std::vector<std::unique_ptr<RawCaller>> Callers;
  for (int I = 0; I < 18; ++I) {
    std::string Request = makePost(BodyLimit);
    Request.pop_back();
    Callers.push_back(std::make_unique<RawCaller>(Port));
    Callers.back()->send(Request);
    EXPECT_LE(m_Server.usage().m_Bytes, m_Server.usage().m_LimitBytes);
  }
  EXPECT_TRUE(isServed());
  Callers.clear();
  EXPECT_TRUE(isEmpty());
}

/// Guards against memory that stays charged, or is freed twice, when a
/// connection breaks at any byte of a request or its response.
TEST_F(HttpLimitsTest, releasesMemoryWhereverAConnectionBreaks) {
  rc::check([this] {
    std::string Request = makePost(*rc::gen::inRange<std::size_t>(0, 3000));
    if (*rc::gen::arbitrary<bool>())
      Request = "POST /job HTTP/1.1\r\nHost: h\r\n"
                "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n2\r\nyy\r\n"
                "3\r\nzzz\r\n0\r\n\r\n";
    {
      RawCaller Caller(Port);
      Caller.send(Request.substr(
          0, *rc::gen::inRange<std::size_t>(0, Request.size() + 1)));
      Caller.reset();
    }
    RC_ASSERT(isEmpty());
  });
  EXPECT_TRUE(isServed());
}

/// Guards against limits of a configuration that need a restart.
TEST_F(HttpLimitsTest, newLimitsTakeEffect) {
  RequestLimits Limits;
  Limits.m_MaxBodyBytes = 10;
  m_Server.setLimits(Limits);
  // Applied by the polling thread.
  std::this_thread::sleep_for(milliseconds(100));
  RawCaller Caller(Port);
  Caller.send(makePost(11));
  EXPECT_TRUE(Caller.receive().starts_with("HTTP/1.1 413"));
}

/// Guards against requests without an answer when their handler drops them.
TEST(HttpAsync, answersFromAnyThreadAndAfterADroppedRequest) {
  HttpServer Server(makeSettings());
  std::vector<std::thread> Threads;
  Server.routeAsync(
      "POST", "/job",
      [&Threads](HttpRequest &&Request, HttpServer::Respond Respond) {
        if (Request.m_Body.empty())
          return;
        Threads.emplace_back([Respond = std::move(Respond)] {
          Respond(HttpResponse());
          Respond(HttpResponse());
        });
      });
  Server.start();
  RawCaller Dropped(Port);
  Dropped.send(makePost(0));
  EXPECT_TRUE(Dropped.receive().starts_with("HTTP/1.1 500"));
  RawCaller Answered(Port);
  Answered.send(makePost(1));
  EXPECT_TRUE(Answered.receive().starts_with("HTTP/1.1 200"));
  EXPECT_EQ(Server.running(), 0U);
  for (std::thread &Current : Threads)
    Current.join();
}

/// Guards against a stop that ends the process because new requests keep
/// arriving.
TEST(HttpAsync, stopsWhileRequestsArrive) {
  for (int Round = 0; Round < 20; ++Round) {
    HttpServer Server(makeSettings());
    std::vector<HttpServer::Respond> Pending;
    Server.routeAsync("POST", "/job",
                      [&Pending](HttpRequest &&, HttpServer::Respond Respond) {
                        Pending.push_back(std::move(Respond));
                      });
    Server.start();
    std::atomic<bool> IsDone = false;
    std::thread Sender([&IsDone] {
      std::list<RawCaller> Callers;
      while (!IsDone && Callers.size() < 19) {
        Callers.emplace_back(Port);
        Callers.back().send(makePost(1));
      }
    });
    Server.stop(milliseconds(Round % 4));
    IsDone = true;
    Sender.join();
  }
}
