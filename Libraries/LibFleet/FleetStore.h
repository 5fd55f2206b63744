#pragma once

#include "LibFleet/TableReplica.h"
#include "LibStore/Row.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>

namespace latchslip {

// Receives tables and the availability of the store.
class FleetStoreListener
{
public:
  virtual ~FleetStoreListener() = default;

  virtual void OnView(const TableView& aView) = 0;
  // Calls to the store fail, or long polls are not answered in time.
  virtual void OnStoreLost() = 0;
  virtual void OnStoreRegained() = 0;
};

// How the store's tables are polled. All polls of changes are long polls: the store delays its
// answer until there is a change, up to a bound.
enum class StorePollMode
{
  // After startup: only the fleet table is read, which names the placer that will send the others.
  Starting,
  // No polling: other instances send all changes.
  Off,
  // Only the configuration is polled; the placer sends all other changes.
  ConfigurationOnly,
  // All tables are polled, with waits that may be as long as changes after an outage allow.
  LongWaits,
  // All tables are polled, with shorter waits so that an outage is detected sooner: other instances
  // rely on this one, which is the placer, or a reader while there is no reliable placer.
  ShortWaits,
};

inline constexpr NameTable<StorePollMode, 5> kStorePollModeNames{
  { "starting", "told", "relayed", "alone", "closely" }
};

// A version of each table, indexed by FleetTable.
using TableVersions = std::array<RowVersion, kFleetTables>;

// Kinds of calls to the store, for metrics.
enum class StoreCallKind
{
  Read,
  // A long poll for changes.
  Poll,
  Transact,
};

inline constexpr NameTable<StoreCallKind, 3> kStoreCallKindNames{
  { "read", "follow", "transact" }
};

// Outcomes of calls to the store, for metrics.
enum class StoreCallEnd
{
  Answered,
  // The store rejected the call, or the conditions of a transaction did not hold.
  Refused,
  // No complete answer arrived.
  Lost,
};

inline constexpr NameTable<StoreCallEnd, 3> kStoreCallEndNames{ { "answered", "refused", "lost" } };

// Number of calls, by kind and outcome.
using StoreCallCounts = std::array<std::array<std::uint64_t, kStoreCallEndNames.names_.size()>,
                                   kStoreCallKindNames.names_.size()>;

// An instance's client of the platform's store.
class FleetStore
{
public:
  using TransactCallback = std::function<void(const StoreReply&)>;
  // No value if the store did not answer.
  using VersionCallback = std::function<void(std::optional<RowVersion>)>;

  virtual ~FleetStore() = default;

  // Starts polling as StorePollMode::Starting.
  virtual void Start(FleetStoreListener& aListener) = 0;
  // Changes how tables are polled. aKnown holds the versions that are known by now; tables that are
  // not known are read whole.
  virtual void SetPollMode(StorePollMode aMode, const TableVersions& aKnown) = 0;
  virtual void Stop() = 0;
  // Conditionally writes rows of FleetTable::Fleet. After a conflict, the reply holds the current
  // rows of the conditions.
  virtual void Transact(const Transaction& aTransaction, TransactCallback aCallback) = 0;
  // Reads the current version of the configuration. Unlike a poll without changes, a read reflects
  // every write that was acknowledged before the read was sent.
  virtual void ReadConfigurationVersion(VersionCallback aCallback) = 0;
  // Counters of calls, for metrics.
  virtual const StoreCallCounts& Calls() const = 0;
};

} // namespace latchslip
