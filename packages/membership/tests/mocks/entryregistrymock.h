#ifndef CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_ENTRYREGISTRYMOCK_H
#define CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_ENTRYREGISTRYMOCK_H

#include "membership/ientryregistry.h"

#include <gmock/gmock.h>

namespace cyclamenwalk {

class EntryRegistryMock : public IEntryRegistry {
public:
  MOCK_METHOD(void, start, (ChangeHook), (override));
  MOCK_METHOD(void, leave, (), (override));
  MOCK_METHOD(void, recordAnnouncement, (const EntryAddress &), (override));
  MOCK_METHOD(void, recordLinkUp, (const EntryAddress &), (override));
  MOCK_METHOD(void, recordLinkDown, (const EntryAddress &), (override));
  MOCK_METHOD(void, mergeMembers, (const std::vector<EntryAddress> &),
              (override));
  MOCK_METHOD(void, recordCompleteList, (), (override));
  MOCK_METHOD(void, refresh, (), (override));
  MOCK_METHOD(std::vector<EntryAddress>, members, (), (const, override));
  MOCK_METHOD(bool, isComplete, (), (const, override));
  MOCK_METHOD(bool, isStoreAvailable, (), (const, override));
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_ENTRYREGISTRYMOCK_H
