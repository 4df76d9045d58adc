#ifndef CYCLAMENWALK_HTTP_HTTPCLIENTMODULE_H
#define CYCLAMENWALK_HTTP_HTTPCLIENTMODULE_H

#include "core/icontrolqueue.h"
#include "http/ihttpclient.h"

#include <cstddef>
#include <memory>

namespace cyclamenwalk {

/// An HTTP client with \p Threads traffic threads.
class HttpClientModule {
public:
  HttpClientModule(std::size_t Threads, IControlQueue &Control);
  ~HttpClientModule();

  IHttpClient &client();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_HTTPCLIENTMODULE_H
