#include "entry/internal/forwarding.h"

#include "core/controlcall.h"
#include "entry/internal/jsoncodec.h"
#include "http/blockinghttp.h"

namespace cyclamenwalk {

namespace {

constexpr Duration ControlLimit = seconds(5);
/// Longer than any deadline, after which the owner answers in any case.
constexpr Duration OwnerLimit = seconds(310);

std::string httpAddressOf(EntryContext &Entry, Incarnation Owner) {
  auto Found = callControl<std::string>(
      Entry.m_Control, ControlLimit,
      [&Entry, Owner](const std::function<void(std::string)> &Give) {
        for (const EntryAddress &Known : Entry.m_Registry.members())
          if (Known.m_Incarnation == Owner)
            return Give(Known.m_HttpAddress);
        Give("");
      });
  return Found.value_or("");
}

HttpResponse ownerLost() {
  return encodeProblem(ResultCode::OwnerLost,
                       "the entry that owns the request cannot be reached");
}

} // namespace

HttpResponse forwardTo(EntryContext &Entry, Incarnation Owner,
                       const HttpRequest &Request) {
  bool IsForwarded = !Request.header(ForwardedHeader).empty();
  std::string Address =
      IsForwarded ? std::string() : httpAddressOf(Entry, Owner);
  if (Address.empty())
    return ownerLost();
  HttpRequest Passed = Request;
  Passed.m_Url = "http://" + Address + Request.m_Url;
  Passed.m_Headers = {{ForwardedHeader, "1"}};
  std::string Key = Request.header("Idempotency-Key");
  if (!Key.empty())
    Passed.m_Headers["Idempotency-Key"] = Key;
  HttpResponse Response = callHttp(Passed, OwnerLimit);
  return Response.m_Status == 0 ? ownerLost() : Response;
}

} // namespace cyclamenwalk
