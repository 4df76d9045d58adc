#include "entry/internal/policychoice.h"

#include <memory>
#include <random>

namespace cyclamenwalk {

namespace {

WorkerScore makeRandomScore() {
  auto Engine = std::make_shared<std::mt19937_64>(std::random_device()());
  return [Engine](const WorkerView &) {
    return std::uniform_real_distribution<double>()(*Engine);
  };
}

} // namespace

PolicyHooks choosePolicies(const EntrySettings &Settings) {
  PolicyHooks Hooks;
  if (Settings.m_Order == "arrival")
    Hooks.m_JobOrder = orderByArrival;
  if (Settings.m_Admission == "all")
    Hooks.m_Admission = admitAll;
  if (Settings.m_WorkerChoice == "random")
    Hooks.m_WorkerScore = makeRandomScore();
  if (Settings.m_FailureTest == "per_call_ratio")
    Hooks.m_FailureTest = makePerCallRatioTest;
  if (Settings.m_FailureTest == "whole_window")
    Hooks.m_FailureTest = makeWholeWindowTest;
  return Hooks;
}

} // namespace cyclamenwalk
