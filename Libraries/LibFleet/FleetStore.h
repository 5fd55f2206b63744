#pragma once

#include "LibFleet/RowMirror.h"
#include "LibStore/Row.h"

#include <functional>

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

// The platform's store, as an instance uses it.
class FleetStore
{
public:
  using TransactCallback = std::function<void(const StoreReply&)>;

  virtual ~FleetStore() = default;

  // Begins to follow the tables, each from what it holds now.
  virtual void Start(FleetStoreListener& aListener) = 0;
  virtual void Stop() = 0;
  // Writes rows of FleetTable::Fleet. After a conflict the reply holds the rows
  // of the conditions as they stand.
  virtual void Transact(const Transaction& aTransaction, TransactCallback aCallback) = 0;
};

} // namespace latchslip
