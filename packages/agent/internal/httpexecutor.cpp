#include "agent/internal/httpexecutor.h"

#include "agent/internal/backendcodec.h"

namespace cyclamenwalk {

namespace {

constexpr Duration StopTimeout = seconds(2);

HttpRequest makePost(const std::string &Address, const char *Path,
                     std::string Body) {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = "http://" + Address + Path;
  Request.m_Headers["Content-Type"] = "application/json";
  Request.m_Body = std::move(Body);
  return Request;
}

} // namespace

void HttpExecutor::execute(const std::string &Address, ExecutionRequest Request,
                           Done Callback) {
  m_Tasks.send(makePost(Address, "/execute", encodeExecution(Request)),
               Request.m_Timeout,
               [Callback = std::move(Callback)](const HttpResponse &Response) {
                 Callback(decodeExecution(Response));
               });
}

void HttpExecutor::stop(const std::string &Address, TaskId Task) {
  m_Control.send(
      makePost(Address, "/stop", encodeTextMember("task", toString(Task))),
      StopTimeout, [](const HttpResponse &) {});
}

} // namespace cyclamenwalk
