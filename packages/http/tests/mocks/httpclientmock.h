#ifndef CYCLAMENWALK_HTTP_TESTS_MOCKS_HTTPCLIENTMOCK_H
#define CYCLAMENWALK_HTTP_TESTS_MOCKS_HTTPCLIENTMOCK_H

#include "http/ihttpclient.h"

#include <gmock/gmock.h>

namespace cyclamenwalk {

class HttpClientMock : public IHttpClient {
public:
  MOCK_METHOD(void, send, (HttpRequest, Duration, Done), (override));
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_TESTS_MOCKS_HTTPCLIENTMOCK_H
