#include "core/controlloop.h"
#include "core/error.h"
#include "http/blockinghttp.h"
#include "http/httpserver.h"
#include "http/multiplexhttp.h"

#include <arpa/inet.h>
#include <future>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace cyclamenwalk;

namespace {

constexpr const char *Listen = "127.0.0.1:18472";
const std::string Base = std::string("http://") + Listen;

HttpServer makeServer() {
  HttpServer Server({Listen, 100});
  Server.route("POST", "/echo/:name", [](const HttpRequest &Request) {
    HttpResponse Response;
    Response.m_Status = 201;
    Response.m_Body = Request.path("name") + ":" + Request.query("q") + ":" +
                      Request.header("x-tag") + ":" + Request.m_Body;
    return Response;
  });
  Server.route("POST", "/throw", [](const HttpRequest &) -> HttpResponse {
    throw std::out_of_range("no such entry");
  });
  Server.onBodyTooLarge([](const HttpRequest &) {
    HttpResponse Response;
    Response.m_Status = 413;
    return Response;
  });
  Server.onNotFound([](const HttpRequest &) {
    HttpResponse Response;
    Response.m_Status = 404;
    return Response;
  });
  return Server;
}

HttpRequest post(const std::string &Path, const std::string &Body) {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = Base + Path;
  Request.m_Headers["X-Tag"] = "t";
  Request.m_Body = Body;
  return Request;
}

/// A caller that reads its response only when it is told to.
class SlowCaller {
public:
  SlowCaller() : m_Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    // Keeps most of a large response on the server's side.
    int BufferBytes = 4096;
    setsockopt(m_Socket, SOL_SOCKET, SO_RCVBUF, &BufferBytes,
               sizeof BufferBytes);
    timeval ReceiveTimeout{10, 0};
    setsockopt(m_Socket, SOL_SOCKET, SO_RCVTIMEO, &ReceiveTimeout,
               sizeof ReceiveTimeout);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(18472);
    inet_pton(AF_INET, "127.0.0.1", &Address.sin_addr);
    m_IsConnected = connect(m_Socket, reinterpret_cast<sockaddr *>(&Address),
                            sizeof Address) == 0;
  }
  ~SlowCaller() { close(m_Socket); }

  bool send(const std::string &Text) const {
    return m_IsConnected && write(m_Socket, Text.data(), Text.size()) ==
                                static_cast<ssize_t>(Text.size());
  }

  /// Number of bytes until the server closes the connection, or is silent.
  std::size_t receiveAll() const {
    std::size_t Count = 0;
    std::vector<char> Buffer(65536);
    for (ssize_t Length = 0;
         (Length = read(m_Socket, Buffer.data(), Buffer.size())) > 0;)
      Count += static_cast<std::size_t>(Length);
    return Count;
  }

private:
  int m_Socket;
  bool m_IsConnected = false;
};

} // namespace

TEST(Http, routesRequestsAndRejectsLargeBodiesAndUnknownPaths) {
  HttpServer Server = makeServer();
  Server.start();
  HttpResponse Echo = sendHttpRequest(post("/echo/n?q=1", "body"), seconds(5));
  EXPECT_EQ(Echo.m_Status, 201);
  EXPECT_EQ(Echo.m_Body, "n:1:t:body");
  EXPECT_EQ(sendHttpRequest(post("/echo/n", std::string(101, 'x')), seconds(5))
                .m_Status,
            413);
  EXPECT_EQ(sendHttpRequest(post("/other", ""), seconds(5)).m_Status, 404);
  EXPECT_EQ(sendHttpRequest(post("/throw", ""), seconds(5)).m_Status, 500);
  EXPECT_EQ(sendHttpRequest(post("/echo/n", ""), seconds(5)).m_Status, 201);
  Server.stop(seconds(1));
  EXPECT_EQ(sendHttpRequest(post("/echo/n", ""), seconds(1)).m_Status, 0);
}

TEST(Http, asynchronousClientRespondsOnControlThread) {
  HttpServer Server = makeServer();
  Server.start();
  ControlLoop Loop;
  MultiplexHttp Client({2, seconds(1)}, Loop);
  int Responses = 0;
  for (int I = 0; I < 5; ++I)
    Client.send(post("/echo/n", ""), seconds(5),
                [&](const HttpResponse &Response) {
                  EXPECT_EQ(Response.m_Status, 201);
                  if (++Responses == 5)
                    Loop.stop();
                });
  Loop.run();
  EXPECT_EQ(Responses, 5);
}

TEST(Http, distinguishesRefusedConnectionFromTimeout) {
  HttpServer Server = makeServer();
  Server.route("GET", "/slow", [](const HttpRequest &) {
    std::this_thread::sleep_for(milliseconds(300));
    return HttpResponse();
  });
  Server.start();
  ControlLoop Loop;
  MultiplexHttp Client(MultiplexSettings{}, Loop);
  HttpRequest Slow;
  Slow.m_Url = Base + "/slow";
  HttpRequest Refused;
  Refused.m_Url = "http://127.0.0.1:1/";
  std::vector<std::pair<int, bool>> Results;
  auto RecordResult = [&](const HttpResponse &Response) {
    Results.emplace_back(Response.m_Status, Response.m_WasSent);
    if (Results.size() == 2)
      Loop.stop();
  };
  Client.send(Refused, seconds(2), RecordResult);
  Client.send(Slow, milliseconds(50), RecordResult);
  Loop.run();
  EXPECT_EQ(Results,
            (std::vector<std::pair<int, bool>>{{0, false}, {0, true}}));
}

TEST(Http, watchReportsDisconnect) {
  HttpServer Server = makeServer();
  ControlLoop Loop;
  Server.route("GET", "/wait", [&](const HttpRequest &Request) {
    std::promise<void> Disconnected;
    Server.watch(Request, [&Disconnected] { Disconnected.set_value(); });
    auto Status = Disconnected.get_future().wait_for(seconds(5));
    Server.unwatch(Request);
    Loop.post([&Loop, Status] {
      EXPECT_EQ(Status, std::future_status::ready);
      Loop.stop();
    });
    return HttpResponse();
  });
  Server.start();
  MultiplexHttp Client(MultiplexSettings{}, Loop);
  HttpRequest Wait;
  Wait.m_Url = Base + "/wait";
  Client.send(Wait, milliseconds(100), [](const HttpResponse &) {});
  Loop.run();
}

TEST(Http, hasDisconnectedDetectsClosedConnection) {
  HttpServer Server = makeServer();
  ControlLoop Loop;
  Server.route("GET", "/wait", [&](const HttpRequest &Request) {
    EXPECT_FALSE(Server.hasDisconnected(Request));
    std::promise<void> Disconnected;
    Server.watch(Request, [&Disconnected] { Disconnected.set_value(); });
    Disconnected.get_future().wait();
    Server.unwatch(Request);
    EXPECT_TRUE(Server.hasDisconnected(Request));
    Loop.post([&Loop] { Loop.stop(); });
    return HttpResponse();
  });
  Server.start();
  MultiplexHttp Client(MultiplexSettings{}, Loop);
  HttpRequest Wait;
  Wait.m_Url = Base + "/wait";
  Client.send(Wait, milliseconds(100), [](const HttpResponse &) {});
  Loop.run();
}

TEST(Http, rejectsInvalidAndUsedListenAddresses) {
  EXPECT_THROW(HttpServer({"localhost:1"}), Error);
  EXPECT_THROW(HttpServer({"127.0.0.1:0"}), Error);
  HttpServer First = makeServer();
  First.start();
  HttpServer Second = makeServer();
  EXPECT_THROW(Second.start(), Error);
}

/// Guards against answers that a graceful stop cuts off: it waits until whole
/// responses have been written, also after their handlers have returned.
TEST(Http, gracefulStopDeliversWholeResponses) {
  constexpr std::size_t BodyBytes = 16 * 1024 * 1024;
  HttpServer Server = makeServer();
  std::promise<void> Handled;
  Server.route("GET", "/large", [&Handled](const HttpRequest &) {
    HttpResponse Response;
    Response.m_Body.assign(BodyBytes, 'x');
    Handled.set_value();
    return Response;
  });
  Server.start();
  Server.closeConnectionsAfterResponse();
  SlowCaller Caller;
  ASSERT_TRUE(Caller.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n"));
  ASSERT_EQ(Handled.get_future().wait_for(seconds(5)),
            std::future_status::ready);
  std::thread Stop([&Server] { Server.stop(seconds(20)); });
  for (int I = 0; I < 500 && Server.running() > 0; ++I)
    std::this_thread::sleep_for(milliseconds(10));
  EXPECT_EQ(Server.running(), 0u) << "a drain doesn't wait for slow callers";
  // Time for a stop that doesn't wait to close the connection.
  std::this_thread::sleep_for(milliseconds(200));
  EXPECT_GT(Caller.receiveAll(), BodyBytes);
  Stop.join();
}

/// Guards against a server that cannot listen, or answers nobody, in a process
/// with more open descriptors than select() takes.
TEST(Http, servesWithDescriptorsAboveThoseOfSelect) {
  constexpr int OtherDescriptors = 1100;
  constexpr rlim_t DescriptorsNeeded = 2048;
  rlimit Limit{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &Limit), 0);
  ASSERT_GE(Limit.rlim_max, DescriptorsNeeded);
  Limit.rlim_cur = std::max(Limit.rlim_cur, DescriptorsNeeded);
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &Limit), 0);
  std::vector<int> Others;
  Others.reserve(OtherDescriptors);
  for (int I = 0; I < OtherDescriptors; ++I)
    Others.push_back(dup(STDERR_FILENO));
  HttpServer Server = makeServer();
  Server.start();
  SlowCaller Caller;
  EXPECT_TRUE(Caller.send("POST /echo/n HTTP/1.1\r\nHost: h\r\n"
                          "Content-Length: 0\r\nConnection: close\r\n\r\n"));
  EXPECT_GT(Caller.receiveAll(), 0u);
  for (int Descriptor : Others)
    close(Descriptor);
}
