#pragma once

#include "LibBase/NameTable.h"

namespace latchslip {

// The kinds of work that hold the event loop of an instance.
enum class LoopTask
{
  // Periodic work, without the tasks below that it starts.
  Tick,
  // Decisions of the placer: owners of keys, and the commands that put them into effect.
  PlaceKeys,
  // Rows read from the store.
  ReadTables,
  // The result of a write to the store.
  EndWrite,
  // The result of a command to a server.
  EndCommand,
  // A report of another instance.
  AnswerReport,
  // An update pushed by another instance, or fetched from it.
  ApplyUpdate,
  // A request of another instance for updates.
  AnswerFetch,
};

inline constexpr NameTable<LoopTask, 8> kLoopTaskNames{ { "tick",
                                                          "place-keys",
                                                          "read-tables",
                                                          "end-write",
                                                          "end-command",
                                                          "answer-report",
                                                          "apply-update",
                                                          "answer-fetch" } };

// Told when work begins and ends on the event loop. Tasks may be nested.
class LoopTaskObserver
{
public:
  virtual ~LoopTaskObserver() = default;

  virtual void OnTaskBegun(LoopTask aTask) = 0;
  // The task that began last and has not ended has ended.
  virtual void OnTaskEnded() = 0;
};

// Tells the observer of a task that lasts as long as this object.
class LoopTaskScope
{
public:
  LoopTaskScope(LoopTaskObserver& aObserver, LoopTask aTask)
    : observer_(aObserver)
  {
    observer_.OnTaskBegun(aTask);
  }
  ~LoopTaskScope() { observer_.OnTaskEnded(); }
  LoopTaskScope(const LoopTaskScope&) = delete;
  LoopTaskScope& operator=(const LoopTaskScope&) = delete;
  LoopTaskScope(LoopTaskScope&&) = delete;
  LoopTaskScope& operator=(LoopTaskScope&&) = delete;

private:
  LoopTaskObserver& observer_;
};

} // namespace latchslip
