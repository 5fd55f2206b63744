#pragma once

#include "LibInstance/Messages.h"
#include "LibNet/HttpClient.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace latchslip {

// Speaks with the platform: its table service and its list of instances.
class PlatformClient
{
public:
  using StoreCallback = std::function<void(const StoreReply&)>;
  // No value when the list could not be had.
  using ListCallback = std::function<void(std::optional<std::vector<ListedInstance>>)>;

  PlatformClient(HttpClient& aClient, std::string aAddress);

  void Call(const StoreCall& aCall, StoreCallback aCallback);
  void ListInstances(ListCallback aCallback);

private:
  HttpClient& client_;
  std::string address_;
};

std::string
SerializeInstanceList(const std::vector<ListedInstance>& aList);
FieldResult<std::vector<ListedInstance>>
ParseInstanceList(std::string_view aText);

} // namespace latchslip
