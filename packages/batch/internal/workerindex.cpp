#include "batch/internal/workerindex.h"

#include <algorithm>
#include <tuple>

namespace cyclamenwalk {

namespace {

/// Erases an item of a nested order, and the order when it becomes empty.
template <typename Orders, typename Item>
void eraseFrom(Orders &ByName, const std::string &Name, const Item &Erased) {
  auto It = ByName.find(Name);
  It->second.erase(Erased);
  if (It->second.empty())
    ByName.erase(It);
}

} // namespace

bool WorkerIndex::CapacityOrder::operator()(const Resources &Left,
                                            const Resources &Right) const {
  return std::tie(Left.m_MilliCores, Left.m_MemoryMb, Left.m_Gpus) <
         std::tie(Right.m_MilliCores, Right.m_MemoryMb, Right.m_Gpus);
}

void WorkerIndex::update(Incarnation Agent, IndexedWorker Worker) {
  remove(Agent);
  insert(Agent, Worker);
  m_Workers[Agent] = std::move(Worker);
}

void WorkerIndex::remove(Incarnation Agent) {
  auto It = m_Workers.find(Agent);
  if (It == m_Workers.end())
    return;
  erase(Agent, It->second);
  m_Workers.erase(It);
}

void WorkerIndex::subtractRoom(Incarnation Agent, std::int64_t MilliCores) {
  auto It = m_Workers.find(Agent);
  if (It == m_Workers.end())
    return;
  erase(Agent, It->second);
  It->second.m_RoomMilliCores -= MilliCores;
  insert(Agent, It->second);
}

void WorkerIndex::insert(Incarnation Agent, const IndexedWorker &Worker) {
  ServiceGroup &Group = m_Services[Worker.m_Service];
  ++Group.m_Capacities[Worker.m_Capacity];
  if (!Worker.m_IsAccepting)
    return;
  Group.m_ByKind[Worker.m_Kind].emplace(Worker.m_RoomMilliCores, Agent);
  Group.m_ByRack[Worker.m_Rack].emplace(Worker.m_RoomMilliCores, Agent);
  Group.m_ByReport.emplace(Worker.m_ReportedAt, Agent);
  Group.m_CapacityMilliCores += Worker.m_Capacity.m_MilliCores;
  Group.m_FreeMilliCores += Worker.m_FreeMilliCores;
}

void WorkerIndex::erase(Incarnation Agent, const IndexedWorker &Worker) {
  auto It = m_Services.find(Worker.m_Service);
  ServiceGroup &Group = It->second;
  auto Capacity = Group.m_Capacities.find(Worker.m_Capacity);
  if (--Capacity->second == 0)
    Group.m_Capacities.erase(Capacity);
  if (Worker.m_IsAccepting) {
    auto Room = std::make_pair(Worker.m_RoomMilliCores, Agent);
    eraseFrom(Group.m_ByKind, Worker.m_Kind, Room);
    eraseFrom(Group.m_ByRack, Worker.m_Rack, Room);
    Group.m_ByReport.erase({Worker.m_ReportedAt, Agent});
    Group.m_CapacityMilliCores -= Worker.m_Capacity.m_MilliCores;
    Group.m_FreeMilliCores -= Worker.m_FreeMilliCores;
  }
  if (Group.m_Capacities.empty())
    m_Services.erase(It);
}

std::vector<Incarnation>
WorkerIndex::candidates(const std::string &Service, const std::string &Rack,
                        std::size_t Count,
                        const std::set<Incarnation> &Excluded) const {
  std::vector<Incarnation> Agents;
  auto It = m_Services.find(Service);
  if (It == m_Services.end())
    return Agents;
  auto AddFirst = [&](const RoomOrder &Order) {
    std::size_t Left = Count;
    for (auto Next = Order.begin(); Next != Order.end() && Left > 0; ++Next) {
      if (Excluded.count(Next->second))
        continue;
      Agents.push_back(Next->second);
      --Left;
    }
  };
  for (const auto &Kind : It->second.m_ByKind)
    AddFirst(Kind.second);
  auto InRack = It->second.m_ByRack.find(Rack);
  if (!Rack.empty() && InRack != It->second.m_ByRack.end())
    AddFirst(InRack->second);
  std::sort(Agents.begin(), Agents.end());
  Agents.erase(std::unique(Agents.begin(), Agents.end()), Agents.end());
  return Agents;
}

bool WorkerIndex::hasAccepting() const {
  return std::any_of(
      m_Services.begin(), m_Services.end(),
      [](const auto &Item) { return !Item.second.m_ByReport.empty(); });
}

bool WorkerIndex::canHold(const std::string &Service,
                          const Resources &Required) const {
  auto It = m_Services.find(Service);
  return It != m_Services.end() &&
         std::any_of(It->second.m_Capacities.begin(),
                     It->second.m_Capacities.end(),
                     [&Required](const auto &Capacity) {
                       return Capacity.first.canFit(Required);
                     });
}

double WorkerIndex::coreUtilization(const std::string &Service) const {
  auto It = m_Services.find(Service);
  if (It == m_Services.end() || It->second.m_CapacityMilliCores <= 0)
    return 1;
  return 1 - static_cast<double>(It->second.m_FreeMilliCores) /
                 static_cast<double>(It->second.m_CapacityMilliCores);
}

TimePoint WorkerIndex::oldestReport(const std::string &Service,
                                    TimePoint Now) const {
  auto It = m_Services.find(Service);
  return It == m_Services.end() || It->second.m_ByReport.empty()
             ? Now
             : It->second.m_ByReport.begin()->first;
}

} // namespace cyclamenwalk
