#pragma once

#include "LibFleet/RowMirror.h"
#include "LibStore/Row.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>

namespace latchslip {

// Hears what the store says.
class FleetStoreListener
{
public:
  virtual ~FleetStoreListener() = default;

  virtual void OnView(const TableView& aView) = 0;
  // Calls fail, or long ones are not answered in time.
  virtual void OnStoreLost() = 0;
  virtual void OnStoreRegained() = 0;
};

// How closely the tables are followed.
enum class Following
{
  // This instance has just started: the store is asked for the fleet's own rows only,
  // which name the placer that will tell the rest.
  Starting,
  // Other instances tell all that changes; the store is asked for nothing.
  Told,
  // Another instance tells what changes; the store is asked for the configuration
  // only.
  Relayed,
  // The store is asked, with long waits.
  Alone,
  // Others rely on this instance, the placer or a reader without one: an outage must show at
  // once.
  Closely,
};

inline constexpr NameTable<Following, 5> kFollowingNames{
  { "starting", "told", "relayed", "alone", "closely" }
};

// The version of each table that somebody has.
using TableVersions = std::array<RowVersion, kFleetTables>;

// What the store is asked for.
enum class StoreCallKind
{
  Read,
  // A question for changes, which waits for some.
  Follow,
  Transact,
};

inline constexpr NameTable<StoreCallKind, 3> kStoreCallKindNames{
  { "read", "follow", "transact" }
};

// What came of a call.
enum class StoreCallEnd
{
  Answered,
  // The store turned the call away, or its conditions did not hold.
  Refused,
  // No whole answer came.
  Lost,
};

inline constexpr NameTable<StoreCallEnd, 3> kStoreCallEndNames{ { "answered", "refused", "lost" } };

// How many calls of each kind ended how.
using StoreCallCounts = std::array<std::array<std::uint64_t, kStoreCallEndNames.names_.size()>,
                                   kStoreCallKindNames.names_.size()>;

// The platform's store, as an instance uses it.
class FleetStore
{
public:
  using TransactCallback = std::function<void(const StoreReply&)>;
  // No value when the store did not say.
  using VersionCallback = std::function<void(std::optional<RowVersion>)>;

  virtual ~FleetStore() = default;

  // Begins as Following::Starting.
  virtual void Start(FleetStoreListener& aListener) = 0;
  // Goes on in another way, from the versions that are known by now; tables that are
  // not known are read.
  virtual void Follow(Following aHow, const TableVersions& aKnown) = 0;
  virtual void Stop() = 0;
  // Writes rows of FleetTable::Fleet. After a conflict the reply holds the rows
  // of the conditions as they stand.
  virtual void Transact(const Transaction& aTransaction, TransactCallback aCallback) = 0;
  // Reads which version of the configuration stands in the store. Unlike an answer without
  // changes, a read shows all that was acknowledged before it was asked for.
  virtual void ReadConfigurationVersion(VersionCallback aCallback) = 0;
  virtual const StoreCallCounts& Calls() const = 0;
};

} // namespace latchslip
