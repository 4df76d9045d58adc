#ifndef CYCLAMENWALK_PLATFORM_INTERNAL_REMOTEPLATFORM_H
#define CYCLAMENWALK_PLATFORM_INTERNAL_REMOTEPLATFORM_H

#include "core/imetrics.h"
#include "http/httpclientmodule.h"
#include "platform/platformmodule.h"

namespace cyclamenwalk {

/// Client of the platform's HTTP protocol (docs/PLATFORM.md).
class RemotePlatform final : public ITableService, public IObjectStore {
public:
  RemotePlatform(const PlatformSettings &Settings, IHttpClient &Client,
                 IMetrics &Metrics);

  void transact(Transaction Changes,
                std::function<void(TransactionResult)> Done) override;
  void read(RowKey Key, std::function<void(ReadResult)> Done) override;
  void scan(std::string Table, std::string Prefix,
            std::function<void(ScanResult)> Done) override;
  void put(std::string Name, std::string Bytes,
           std::function<void(StoreStatus)> Done) override;
  void get(std::string Name, std::function<void(ObjectResult)> Done) override;

private:
  void call(std::string Method, const std::string &Path, std::string Body,
            IHttpClient::Done Done);
  void callRead(const std::string &Path, IHttpClient::Done Done);
  void callWrite(std::string Method, const std::string &Path, std::string Body,
                 IHttpClient::Done Done);

  const PlatformSettings m_Settings;
  IHttpClient &m_Client;
  IMetrics &m_Metrics;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_PLATFORM_INTERNAL_REMOTEPLATFORM_H
