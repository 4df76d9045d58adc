#include "transport/internal/receiveledger.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>

using namespace cyclamenwalk;

namespace {

ReceiveLimits smallLimits() {
  ReceiveLimits Limits;
  Limits.m_MaxConnections = 3;
  Limits.m_PeerBytes = 1000;
  Limits.m_UnknownPeerBytes = 100;
  Limits.m_WaitingBytesPerConnection = 50;
  Limits.m_WaitingBytes = 120;
  Limits.m_UnknownPeerTimeout = seconds(1);
  Limits.m_IdleTimeout = seconds(2);
  Limits.m_MaxMalformed = 1;
  return Limits;
}

} // namespace

// Guards against unknown peers that take the connections of peers.
TEST(ReceiveLedger, closesTheOldestUnknownPeerWhenThereAreTooMany) {
  ReceiveLedger Ledger(smallLimits());
  for (ConnectionId Id : {1, 2, 3})
    EXPECT_EQ(Ledger.open(Id), std::nullopt);
  Ledger.setPeer(1);
  EXPECT_EQ(Ledger.open(4), 2U);
  Ledger.close(2);
  Ledger.setPeer(3);
  Ledger.setPeer(4);
  EXPECT_EQ(Ledger.open(5), 5U);
}

// Guards against unknown peers that take the memory of peers.
TEST(ReceiveLedger, closesTheLargestOfTheUnknownPeers) {
  ReceiveLedger Ledger(smallLimits());
  for (ConnectionId Id : {1, 2, 3})
    Ledger.open(Id);
  Ledger.setPeer(1);
  EXPECT_EQ(Ledger.keep(1, 900), std::nullopt);
  EXPECT_EQ(Ledger.keep(2, 70), std::nullopt);
  EXPECT_EQ(Ledger.keep(3, 31), 2U);
  Ledger.close(2);
  EXPECT_EQ(Ledger.keep(3, 60), std::nullopt);
}

// Guards against one sender that fills the queue of the control thread.
TEST(ReceiveLedger, pausesSendersWhoseMessagesWait) {
  ReceiveLedger Ledger(smallLimits());
  for (ConnectionId Id : {1, 2, 3})
    Ledger.open(Id);
  Ledger.setWaiting(1, 51);
  EXPECT_TRUE(Ledger.mustPause(1));
  EXPECT_FALSE(Ledger.mustPause(2));
  Ledger.setWaiting(2, 50);
  Ledger.setWaiting(3, 50);
  EXPECT_TRUE(Ledger.mustPause(3));
  Ledger.close(1);
  EXPECT_FALSE(Ledger.mustPause(3));
}

// Guards against connections that stay open and are of no use.
TEST(ReceiveLedger, closesUnknownSilentAndMalformedSenders) {
  ReceiveLedger Ledger(smallLimits());
  for (ConnectionId Id : {1, 2, 3})
    Ledger.open(Id);
  Ledger.setPeer(1);
  Ledger.setPeer(2);
  EXPECT_TRUE(Ledger.expire().empty());
  Ledger.recordActivity(3);
  EXPECT_EQ(Ledger.expire(), std::vector<ConnectionId>{3});
  Ledger.close(3);
  Ledger.recordActivity(1);
  EXPECT_TRUE(Ledger.expire().empty());
  EXPECT_EQ(Ledger.expire(), std::vector<ConnectionId>{2});
  EXPECT_FALSE(Ledger.recordMalformed(1));
  EXPECT_TRUE(Ledger.recordMalformed(1));
}

// Guards against charges that remain after a connection was closed anywhere in
// a message: they would close the connections of others later.
TEST(ReceiveLedger, staysWithinItsLimitsAndReleasesEveryCharge) {
  EXPECT_TRUE(rc::check([] {
    ReceiveLedger Ledger(smallLimits());
    std::map<ConnectionId, std::size_t> Kept;
    auto Close = [&](ConnectionId Id) {
      Ledger.close(Id);
      Kept.erase(Id);
    };
    ConnectionId Last = 0;
    for (int Step = *rc::gen::inRange(0, 200); Step > 0; --Step) {
      ConnectionId Id = *rc::gen::inRange<ConnectionId>(1, Last + 2);
      if (Id > Last) {
        Kept[++Last] = 0;
        if (auto Victim = Ledger.open(Last))
          Close(*Victim);
      } else if (*rc::gen::inRange(0, 8) == 0) {
        Close(Id);
      } else if (Kept.count(Id)) {
        std::size_t Bytes = *rc::gen::inRange<std::size_t>(1, 60);
        Kept[Id] += Bytes;
        if (auto Victim = Ledger.keep(Id, Bytes))
          Close(*Victim);
      }
      std::size_t Total = 0;
      for (const auto &Entry : Kept)
        Total += Entry.second;
      RC_ASSERT(Total <= smallLimits().m_UnknownPeerBytes);
      RC_ASSERT(Ledger.size() <= smallLimits().m_MaxConnections);
    }
    for (ConnectionId Id = 1; Id <= Last; ++Id)
      Close(Id);
    Ledger.open(++Last);
    RC_ASSERT(Ledger.keep(Last, smallLimits().m_UnknownPeerBytes) ==
              std::nullopt);
  }));
}
