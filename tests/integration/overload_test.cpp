// Clients that send more than the limits allow, or never finish, must not
// exhaust the memory or the descriptors of a process. The crowds and bounds are
// fixed: the code before the limits exceeded each bound.

#include "http/blockinghttp.h"
#include "support/crowd.h"
#include "support/platformsite.h"
#include "support/processfigures.h"

#include <future>
#include <gtest/gtest.h>
#include <iostream>
#include <sstream>

using namespace cyclamenwalk;

namespace {

constexpr int BasePort = 23000;
constexpr std::size_t CrowdSize = 240;
constexpr std::size_t BodyLimit = 262144;
constexpr Duration SendTimeout = seconds(60);
constexpr Duration AnswerTimeout = seconds(30);
constexpr int HttpOk = 200;
constexpr int HttpBadRequest = 400;

/// Lower than any machine's, so that a small crowd exceeds them.
const char *const MemoryLimits = "[limits]\n"
                                 "memory_mb = 64\n"
                                 "header_bytes = 16384\n"
                                 "body_bytes = 262144\n"
                                 "header_timeout = 2s\n"
                                 "idle_timeout = 3s\n";
const char *const ConnectionLimits = "[limits]\n"
                                     "memory_mb = 64\n"
                                     "max_connections = 100\n"
                                     "header_timeout = 2s\n"
                                     "idle_timeout = 3s\n";
const char *const LinkLimits = "[links]\n"
                               "max_connections = 100\n";

struct Bounds {
  std::size_t m_MemoryMb = 64;
  std::size_t m_Descriptors = 0;
};
/// The crowd, and what the process uses itself.
constexpr Bounds MemoryBounds{64, CrowdSize + 80};
/// The connections that the settings allow, and what the process uses itself.
constexpr Bounds ConnectionBounds{64, 100 + 80};

std::string beginJob(const std::string &Headers) {
  return "POST /q/crowd HTTP/1.1\r\nHost: 127.0.0.1\r\n" + Headers;
}

std::string beginHeartbeat(const std::string &Headers) {
  return "POST /Instances.Heartbeat/crowd HTTP/1.1\r\nHost: 127.0.0.1\r\n" +
         Headers;
}

std::string announced(std::size_t Bytes) {
  return "Content-Length: " + std::to_string(Bytes) + "\r\n\r\n";
}

const char *const Chunked = "Transfer-Encoding: chunked\r\n\r\n";

std::string chunk(std::size_t Bytes) {
  std::ostringstream Text;
  Text << std::hex << Bytes << "\r\n" << std::string(Bytes, 'x') << "\r\n";
  return Text.str();
}

/// The opening of a PUSH socket of nng over TCP.
const std::string PushGreeting("\0SP\0\0\x50\0\0", 8);

std::string messageLength(std::uint64_t Bytes) {
  std::string Text;
  for (int Shift = 56; Shift >= 0; Shift -= 8)
    Text += static_cast<char>(Bytes >> Shift & 0xff);
  return Text;
}

class Overload : public testing::Test {
protected:
  void start(const std::string &Settings) {
    m_Site =
        std::make_unique<PlatformSite>(PlatformSiteOptions{BasePort, Settings});
  }

  /// Checks \p Process against \p Limits while a crowd sends and then waits,
  /// and that \p IsAnswered becomes true while the crowd is connected.
  void withstand(int Port, CrowdScript Script, ChildProcess &Process,
                 const Bounds &Limits,
                 const std::function<bool()> &IsAnswered) {
    Crowd Clients(Port, CrowdSize, std::move(Script));
    ProcessFigures Highest;
    auto Observe = [&] {
      ProcessFigures Now = readProcessFigures(Process.id());
      Highest.m_PeakResidentKb =
          std::max(Highest.m_PeakResidentKb, Now.m_PeakResidentKb);
      Highest.m_Descriptors =
          std::max(Highest.m_Descriptors, Now.m_Descriptors);
      Highest.m_Threads = std::max(Highest.m_Threads, Now.m_Threads);
    };
    Clients.run(SendTimeout, [&] {
      Observe();
      return Clients.isSent();
    });
    auto Answer = std::async(std::launch::async, [&] {
      TimePoint End = Clock::now() + AnswerTimeout;
      while (!IsAnswered())
        if (Clock::now() >= End)
          return false;
      return true;
    });
    Clients.run(2 * AnswerTimeout, [&] {
      Observe();
      return Answer.wait_for(Duration::zero()) == std::future_status::ready;
    });
    EXPECT_TRUE(Answer.get()) << "no answer to an ordinary request";
    EXPECT_EQ(Process.wait(Duration::zero()), -1) << "the process has ended";
    EXPECT_LT(Highest.m_PeakResidentKb, Limits.m_MemoryMb * 1024);
    EXPECT_LT(Highest.m_Descriptors, Limits.m_Descriptors);
    std::cout << "peak_kb=" << Highest.m_PeakResidentKb
              << " descriptors=" << Highest.m_Descriptors
              << " threads=" << Highest.m_Threads
              << " open=" << Clients.openCount() << "\n";
  }

  void withstandAtEntry(const char *Settings, const Bounds &Limits,
                        CrowdScript Script) {
    start(Settings);
    withstand(m_Site->entryPort(), std::move(Script), m_Site->entry(), Limits,
              [this] { return isJobAnswered(); });
  }

  void withstandAtAgent(const char *Settings, const Bounds &Limits,
                        CrowdScript Script) {
    start(Settings);
    withstand(m_Site->agentPort(), std::move(Script), m_Site->agent(), Limits,
              [this] { return isAgentAnswering() && isJobAnswered(); });
  }

  void withstandAtLink(const Bounds &Limits, CrowdScript Script) {
    start(LinkLimits);
    withstand(m_Site->entryMessagePort(), std::move(Script), m_Site->entry(),
              Limits, [this] { return isJobAnswered(); });
  }

  bool isJobAnswered() {
    return m_Site->submit("00000000000000a1").m_Status == HttpOk;
  }

  /// The agent refuses an announcement without content, in its own words.
  bool isAgentAnswering() const {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Url = "http://127.0.0.1:" + std::to_string(m_Site->agentPort()) +
                    "/Instances.Heartbeat/i-0";
    return sendHttpRequest(Request, seconds(5)).m_Status == HttpBadRequest;
  }

  std::unique_ptr<PlatformSite> m_Site;
};

CrowdScript wholeBody(const std::string &Header) {
  return {Header + announced(BodyLimit), std::string(BodyLimit - 1, 'x'), 1, "",
          Duration::zero()};
}

} // namespace

// Guards against bodies that are kept for as long as their senders like.
TEST_F(Overload, wholeBodiesShortOfOneByte) {
  withstandAtEntry(MemoryLimits, MemoryBounds, wholeBody(beginJob("")));
}

// Guards against limits that only look at what arrives in one read.
TEST_F(Overload, bodiesInPiecesShortOfOneByte) {
  constexpr std::size_t PieceBytes = 8191;
  constexpr std::size_t Pieces = BodyLimit / PieceBytes - 1;
  constexpr std::size_t Rest = BodyLimit - 1 - Pieces * PieceBytes;
  withstandAtEntry(MemoryLimits, MemoryBounds,
                   {beginJob("") + announced(BodyLimit),
                    std::string(PieceBytes, 'x'), Pieces,
                    std::string(Rest, 'x'), milliseconds(20)});
}

// Guards against bodies without a length that are kept without limit.
TEST_F(Overload, largeChunksWithoutEnd) {
  constexpr std::size_t ChunkBytes = 65535;
  withstandAtEntry(MemoryLimits, MemoryBounds,
                   {beginJob(Chunked), chunk(ChunkBytes),
                    BodyLimit / ChunkBytes, "0\r\n", Duration::zero()});
}

// Guards against overhead for each chunk of a body.
TEST_F(Overload, oneByteChunksWithoutEnd) {
  withstandAtEntry(
      MemoryLimits, MemoryBounds,
      {beginJob(Chunked), chunk(1), BodyLimit - 1, "0\r\n", Duration::zero()});
}

// Guards against reading a body whose length says that it will be refused.
TEST_F(Overload, announcedBodiesFarOverTheLimit) {
  constexpr std::size_t AnnouncedBytes = 1 << 30;
  withstandAtEntry(MemoryLimits, MemoryBounds,
                   {beginJob("") + announced(AnnouncedBytes),
                    std::string(BodyLimit, 'x'), 4, "", Duration::zero()});
}

// Guards against noticing the size of a body only at its end.
TEST_F(Overload, chunkedBodiesFarOverTheLimit) {
  withstandAtEntry(
      MemoryLimits, MemoryBounds,
      {beginJob(Chunked), chunk(BodyLimit), 4, "", Duration::zero()});
}

// Guards against connections that never complete a header.
TEST_F(Overload, headersWithoutEnd) {
  constexpr std::size_t Lines = 100;
  withstandAtEntry(ConnectionLimits, ConnectionBounds,
                   {beginJob(""), "X-Filler: " + std::string(64, 'x') + "\r\n",
                    Lines, "", milliseconds(50)});
}

// Guards against idle connections that take the descriptors of callers.
TEST_F(Overload, idleConnections) {
  withstandAtEntry(ConnectionLimits, ConnectionBounds, {});
}

TEST_F(Overload, wholeBodiesAtTheAgent) {
  withstandAtAgent(MemoryLimits, MemoryBounds, wholeBody(beginHeartbeat("")));
}

TEST_F(Overload, idleConnectionsAtTheAgent) {
  withstandAtAgent(ConnectionLimits, ConnectionBounds, {});
}

// Guards against a decoder that allocates many times the size of a message.
TEST_F(Overload, garbageAtTheMessagePort) {
  constexpr std::size_t Elements = 256 * 1024;
  // An array of integers; an empty message; another protocol's greeting.
  std::string Array =
      std::string("\xdd\0\x04\0\0", 5) + std::string(Elements, '\x01');
  withstandAtLink(MemoryBounds,
                  {PushGreeting, messageLength(Array.size()) + Array, 4,
                   messageLength(0) + "GET / HTTP/1.1\r\n\r\n",
                   Duration::zero()});
}

// Guards against messages that are received although no process sends such.
TEST_F(Overload, oversizedMessagesAtTheMessagePort) {
  constexpr std::size_t AnnouncedBytes = 15 * 1024 * 1024;
  withstandAtLink(MemoryBounds,
                  {PushGreeting + messageLength(AnnouncedBytes),
                   std::string(BodyLimit, 'x'), 4, "", Duration::zero()});
}

// Guards against parts of messages that are kept without limit.
TEST_F(Overload, unfinishedMessagesAtTheMessagePort) {
  withstandAtLink(MemoryBounds,
                  {PushGreeting + messageLength(BodyLimit),
                   std::string(BodyLimit - 1, 'x'), 1, "", Duration::zero()});
}

// Guards against connections that greet and never send.
TEST_F(Overload, openConnectionsAtTheMessagePort) {
  withstandAtLink(ConnectionBounds,
                  {PushGreeting, "", 0, "", Duration::zero()});
}
