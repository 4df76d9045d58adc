#include "transport/internal/messagereceiver.h"

#include "core/error.h"
#include "core/log.h"
#include "protocol/codec.h"
#include "transport/internal/messageframe.h"
#include "transport/internal/receiveledger.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <thread>
#include <unordered_map>
#include <utility>

// After <utility>, which its headers use without including it.
#include <boost/asio.hpp>

namespace cyclamenwalk {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t ReadBytes = 64 * 1024;
/// Of a decoded message in the control queue, besides what was received.
constexpr std::size_t MessageOverheadBytes = 512;
/// Before connections are accepted again after the process ran out of
/// descriptors.
constexpr Duration AcceptRetryDelay = milliseconds(200);

/// What both threads know of a connection.
struct Handover {
  std::atomic<std::size_t> m_HandledBytes = 0;
  std::atomic<bool> m_IsPeer = false;
};

struct Connection {
  Connection(ConnectionId Id, Tcp::socket Socket, std::size_t MessageLimit)
      : m_Id(Id), m_Socket(std::move(Socket)), m_Frame(MessageLimit) {}

  const ConnectionId m_Id;
  Tcp::socket m_Socket;
  MessageFrame m_Frame;
  std::size_t m_PostedBytes = 0;
  bool m_IsPaused = false;
  std::shared_ptr<Handover> m_Handover = std::make_shared<Handover>();
};

/// A message of the largest size can always be received.
ReceiveLimits effectiveLimits(const TransportSettings &Settings) {
  ReceiveLimits Limits = Settings.m_ReceiveLimits;
  Limits.m_PeerBytes = std::max(Limits.m_PeerBytes, Settings.m_MessageLimit);
  Limits.m_UnknownPeerBytes =
      std::max(Limits.m_UnknownPeerBytes, Settings.m_MessageLimit);
  return Limits;
}

} // namespace

class MessageReceiver::Impl {
public:
  Impl(const TransportSettings &Settings, IControlQueue &Control,
       IMetrics &Metrics, Handler HandleMessage)
      : m_MessageLimit(Settings.m_MessageLimit), m_Control(Control),
        m_Metrics(Metrics), m_HandleMessage(std::move(HandleMessage)),
        m_Ledger(effectiveLimits(Settings)), m_Acceptor(m_Io),
        m_AcceptTimer(m_Io), m_CheckTimer(m_Io) {
    listen(Settings.m_Listen);
    accept();
    scheduleCheck();
    m_Thread = std::thread([this] { m_Io.run(); });
  }

  ~Impl() { stop(); }

  void stop() {
    m_Io.stop();
    if (m_Thread.joinable())
      m_Thread.join();
    ErrorCode Ignored;
    // The handlers that wait keep the connections until m_Io is destroyed.
    for (const auto &Numbered : m_Connections)
      Numbered.second->m_Socket.close(Ignored);
    m_Connections.clear();
    m_Acceptor.close(Ignored);
  }

private:
  using ConnectionPointer = std::shared_ptr<Connection>;

  void listen(const std::string &Address) {
    try {
      auto Colon = Address.rfind(':');
      Tcp::endpoint Endpoint(
          asio::ip::make_address(Address.substr(0, Colon)),
          static_cast<std::uint16_t>(std::stoul(Address.substr(Colon + 1))));
      m_Acceptor.open(Endpoint.protocol());
      m_Acceptor.set_option(Tcp::acceptor::reuse_address(true));
      m_Acceptor.bind(Endpoint);
      m_Acceptor.listen();
    } catch (const std::exception &Caught) {
      throw Error(ResultCode::ListenFailed,
                  "listen on " + Address + ": " + Caught.what());
    }
  }

  void accept() {
    m_Acceptor.async_accept([this](ErrorCode Failure, Tcp::socket Socket) {
      if (!Failure) {
        add(std::move(Socket));
        accept();
        return;
      }
      logEvent(LogLevel::Warning, "link.accept_failed",
               {{"detail", Failure.message()},
                {"connections", m_Connections.size()}});
      m_AcceptTimer.expires_after(AcceptRetryDelay);
      m_AcceptTimer.async_wait([this](ErrorCode) { accept(); });
    });
  }

  void add(Tcp::socket Socket) {
    ErrorCode Failure;
    Socket.non_blocking(true, Failure);
    // The buffer of a new socket holds the greeting.
    asio::write(Socket, asio::buffer(MessageFrame::Greeting), Failure);
    if (Failure)
      return;
    auto Added = std::make_shared<Connection>(++m_LastId, std::move(Socket),
                                              m_MessageLimit);
    m_Connections.emplace(Added->m_Id, Added);
    closeIfAny(m_Ledger.open(Added->m_Id), "too many connections");
    waitForInput(Added);
  }

  void waitForInput(const ConnectionPointer &Reader) {
    if (!Reader->m_Socket.is_open())
      return;
    Reader->m_Socket.async_wait(Tcp::socket::wait_read,
                                [this, Reader](ErrorCode Failure) {
                                  if (!Failure)
                                    receive(Reader);
                                });
  }

  void receive(const ConnectionPointer &Reader) {
    settle(*Reader);
    if (m_Ledger.mustPause(Reader->m_Id)) {
      pause(Reader);
      return;
    }
    ErrorCode Failure;
    std::size_t Count =
        Reader->m_Socket.read_some(asio::buffer(m_Buffer), Failure);
    if (Failure && Failure != asio::error::would_block) {
      remove(Reader->m_Id);
      return;
    }
    m_Ledger.recordActivity(Reader->m_Id);
    readMessages(*Reader, std::string_view(m_Buffer.data(), Count));
    waitForInput(Reader);
  }

  void readMessages(Connection &Reader, std::string_view Input) {
    while (!Input.empty() && Reader.m_Socket.is_open()) {
      std::size_t KeptBefore = Reader.m_Frame.keptBytes();
      switch (Reader.m_Frame.read(Input)) {
      case MessageFrame::Step::NeedsMore:
        closeIfAny(
            m_Ledger.keep(Reader.m_Id, Reader.m_Frame.keptBytes() - KeptBefore),
            "too many bytes of incomplete messages");
        break;
      case MessageFrame::Step::Message:
        m_Ledger.drop(Reader.m_Id);
        decodeAndPost(Reader);
        Reader.m_Frame.dropMessage();
        break;
      case MessageFrame::Step::NotOurProtocol:
        closeForLimit(Reader.m_Id, "not a sender of messages");
        break;
      case MessageFrame::Step::TooLarge:
        m_Metrics.count(Metric::MessagesMalformed);
        closeForLimit(Reader.m_Id, "message above the limit");
        break;
      }
    }
  }

  void decodeAndPost(Connection &Reader) {
    const std::string &Bytes = Reader.m_Frame.message();
    try {
      Envelope Value = decode(Bytes, m_MessageLimit);
      m_Metrics.count(Metric::MessagesReceived);
      post(Reader, std::move(Value), Bytes.size() + MessageOverheadBytes);
    } catch (const Error &Caught) {
      m_Metrics.count(Metric::MessagesMalformed);
      logEvent(LogLevel::Warning, "message.refused",
               {{"code", static_cast<int>(Caught.code())},
                {"bytes", Bytes.size()},
                {"detail", Caught.what()}});
      if (m_Ledger.recordMalformed(Reader.m_Id))
        closeForLimit(Reader.m_Id, "too many malformed messages");
    }
  }

  void post(Connection &Reader, Envelope Value, std::size_t Bytes) {
    Reader.m_PostedBytes += Bytes;
    settle(Reader);
    m_Control.post([this, Bytes, Handed = Reader.m_Handover,
                    Value = std::move(Value)]() mutable {
      if (m_HandleMessage(std::move(Value)))
        Handed->m_IsPeer = true;
      Handed->m_HandledBytes += Bytes;
      if (m_HasPaused.exchange(false))
        asio::post(m_Io, [this] { resume(); });
    });
  }

  /// Tells the ledger what the control thread has handled meanwhile.
  void settle(Connection &Reader) {
    if (Reader.m_Handover->m_IsPeer)
      m_Ledger.setPeer(Reader.m_Id);
    m_Ledger.setWaiting(Reader.m_Id, Reader.m_PostedBytes -
                                         Reader.m_Handover->m_HandledBytes);
  }

  /// Stops reading until the control thread has handled another message.
  void pause(const ConnectionPointer &Reader) {
    m_Metrics.count(Metric::LinkReadsPaused);
    Reader->m_IsPaused = true;
    m_HasPaused = true;
    // The control thread may have handled the last one before it saw the flag.
    for (const auto &Numbered : m_Connections)
      settle(*Numbered.second);
    if (!m_Ledger.mustPause(Reader->m_Id))
      resume();
  }

  void resume() {
    // Set before the ledger learns what was handled: the control thread may
    // handle the last message meanwhile.
    m_HasPaused = true;
    for (const auto &Numbered : m_Connections)
      settle(*Numbered.second);
    bool HasPaused = false;
    for (const auto &[Id, Reader] : m_Connections) {
      if (!Reader->m_IsPaused)
        continue;
      if (m_Ledger.mustPause(Id)) {
        HasPaused = true;
        continue;
      }
      Reader->m_IsPaused = false;
      waitForInput(Reader);
    }
    if (!HasPaused)
      m_HasPaused = false;
  }

  void scheduleCheck() {
    m_CheckTimer.expires_after(ReceiveLedger::CheckPeriod);
    m_CheckTimer.async_wait([this](ErrorCode) {
      for (const auto &Numbered : m_Connections)
        settle(*Numbered.second);
      for (ConnectionId Expired : m_Ledger.expire())
        closeForLimit(Expired, "silent or unknown for too long");
      resume();
      scheduleCheck();
    });
  }

  void closeIfAny(std::optional<ConnectionId> Victim, const char *Reason) {
    if (Victim)
      closeForLimit(*Victim, Reason);
  }

  void closeForLimit(ConnectionId Victim, const char *Reason) {
    auto It = m_Connections.find(Victim);
    if (It == m_Connections.end())
      return;
    ErrorCode Failure;
    Tcp::endpoint Remote = It->second->m_Socket.remote_endpoint(Failure);
    m_Metrics.count(Metric::LinkConnectionsClosed);
    logEvent(LogLevel::Warning, "link.connection_closed",
             {{"code", static_cast<int>(ResultCode::LinkLimit)},
              {"reason", Reason},
              {"address", Remote.address().to_string()},
              {"port", Remote.port()},
              {"connections", m_Connections.size()}});
    remove(Victim);
  }

  /// Cancels the wait of the connection; its memory is freed with the handler.
  void remove(ConnectionId Removed) {
    auto It = m_Connections.find(Removed);
    if (It == m_Connections.end())
      return;
    ErrorCode Ignored;
    It->second->m_Socket.close(Ignored);
    m_Ledger.close(Removed);
    m_Connections.erase(It);
  }

  const std::size_t m_MessageLimit;
  IControlQueue &m_Control;
  IMetrics &m_Metrics;
  const Handler m_HandleMessage;
  /// Whether reads are paused until the control thread has handled a message.
  std::atomic<bool> m_HasPaused = false;
  asio::io_context m_Io{1};
  // The members below are used on m_Thread only.
  ReceiveLedger m_Ledger;
  Tcp::acceptor m_Acceptor;
  asio::steady_timer m_AcceptTimer;
  asio::steady_timer m_CheckTimer;
  std::unordered_map<ConnectionId, ConnectionPointer> m_Connections;
  ConnectionId m_LastId = 0;
  std::array<char, ReadBytes> m_Buffer{};
  std::thread m_Thread;
};

MessageReceiver::MessageReceiver(const TransportSettings &Settings,
                                 IControlQueue &Control, IMetrics &Metrics,
                                 Handler HandleMessage)
    : m_Impl(std::make_unique<Impl>(Settings, Control, Metrics,
                                    std::move(HandleMessage))) {}
MessageReceiver::~MessageReceiver() = default;

void MessageReceiver::stop() { m_Impl->stop(); }

} // namespace cyclamenwalk
