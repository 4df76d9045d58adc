#include "entry/internal/forwarding.h"

#include "core/controlcall.h"
#include "entry/internal/jsoncodec.h"
#include "http/blockinghttp.h"

namespace cyclamenwalk {

namespace {

constexpr Duration ControlTimeout = seconds(5);
/// Longer than the maximum deadline, by which the owner has responded.
constexpr Duration OwnerTimeout = seconds(310);

std::string findHttpAddress(EntryContext &Context, Incarnation Owner) {
  auto Address = callControl<std::string>(
      Context.m_Control, ControlTimeout,
      [&Context, Owner](const std::function<void(std::string)> &Reply) {
        for (const EntryAddress &Member : Context.m_Registry.members())
          if (Member.m_Incarnation == Owner)
            return Reply(Member.m_HttpAddress);
        Reply("");
      });
  return Address.value_or("");
}

HttpResponse ownerLostResponse(Incarnation Owner) {
  return encodeProblem(ResultCode::OwnerLost,
                       "entry " + toString(Owner) +
                           ", which owns the request, cannot be reached");
}

} // namespace

HttpResponse forwardTo(EntryContext &Context, Incarnation Owner,
                       const HttpRequest &Request) {
  bool IsForwarded = !Request.header(ForwardedHeader).empty();
  std::string Address =
      IsForwarded ? std::string() : findHttpAddress(Context, Owner);
  if (Address.empty())
    return ownerLostResponse(Owner);
  HttpRequest Forwarded = Request;
  Forwarded.m_Url = "http://" + Address + Request.m_Url;
  Forwarded.m_Headers = {{ForwardedHeader, "1"}};
  std::string Key = Request.header("Idempotency-Key");
  if (!Key.empty())
    Forwarded.m_Headers["Idempotency-Key"] = Key;
  HttpResponse Response = sendHttpRequest(Forwarded, OwnerTimeout);
  return Response.m_Status == 0 ? ownerLostResponse(Owner) : Response;
}

} // namespace cyclamenwalk
