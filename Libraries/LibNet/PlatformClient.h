#pragma once

#include "LibInstance/Messages.h"
#include "LibNet/HttpClient.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace latchslip {

// Client of the platform's HTTP API: the table service and the list of instances.
class PlatformClient
{
public:
  using StoreCallback = std::function<void(const StoreReply&)>;
  // Receives std::nullopt if the list could not be read.
  using ListCallback = std::function<void(std::optional<std::vector<ListedInstance>>)>;

  PlatformClient(HttpClient& aClient, std::string aAddress);

  // Reads from or writes to the table service. A write that timed out or was cut off ends as
  // Indeterminate: it may have been applied.
  void Call(const StoreCall& aCall, StoreCallback aCallback);
  void ListInstances(ListCallback aCallback);

private:
  HttpClient& client_;
  std::string address_;
};

// The JSON form of the instance list, also used by the platform's test double.
std::string
SerializeInstanceList(const std::vector<ListedInstance>& aList);
FieldResult<std::vector<ListedInstance>>
ParseInstanceList(std::string_view aText);

} // namespace latchslip
