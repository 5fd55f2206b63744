#include "FleetDocuments.h"

namespace latchslip::platform {

std::string
Loopback(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

std::string
ControlAddress(int aPort)
{
  // Instances are at least five ports apart. All other listeners use 127.0.0.1.
  constexpr int kPortsPerInstance = 5;
  constexpr int kFirstHost = 2;
  constexpr int kHosts = 250;
  const int host = kFirstHost + aPort / kPortsPerInstance % kHosts;
  return "127.0.0." + std::to_string(host) + ":" + std::to_string(aPort + 2);
}

std::string
MakeSettings(const std::string& aName, int aPort, int aSeedPort, const std::string& aStoreAddress)
{
  // All instances of a fleet use the same permit port.
  const auto permitPort = std::to_string(aSeedPort + 3);
  return R"({"nodeId":")" + aName + R"(","zone":"hall-a","listen":{"front":")" + Loopback(aPort) +
         R"(","ready":")" + Loopback(aPort + 1) + R"(","control":")" + ControlAddress(aPort) +
         R"("},"portRange":[)" + permitPort + "," + permitPort + R"(],"seeds":[")" +
         ControlAddress(aSeedPort) +
         R"("],"bounds":["retryBudgetRatio=0.2","budgetExtra=62","budgetWindowS=10","graceS=6",)"
         R"("holdMaxMs=10000","strictRevoke=true","revokeMs=3000"],"platform":{"address":")" +
         aStoreAddress + R"("}})";
}

std::string
MakeManifest(int aVersion, const std::string& aBookingService, const std::string& aTenants)
{
  return R"({"version":)" + std::to_string(aVersion) +
         (aTenants.empty() ? "" : R"(,"tenants":)" + aTenants) +
         R"(,"listeners":[{"host":"a.example","rules":[)"
         R"({"name":"r1","kind":"idempotent","targetLatencyMs":2000,"priority":1,)"
         R"("match":{"pathPrefix":"/rates/"},)"
         R"("action":{"service":"rates","timeoutMs":4000,"maxAttempts":2}},)"
         R"({"name":"r2","kind":"non_idempotent","targetLatencyMs":2000,"priority":0,)"
         R"("match":{"pathPrefix":"/book/"},"action":{"service":")" +
         aBookingService +
         R"(","timeoutMs":4000,"maxAttempts":2}}]}],)"
         R"("clusters":[{"name":"rates","maxConns":130,"sharded":true},)"
         R"({"name":"bookings","maxConns":130},{"name":"others","maxConns":130}]})";
}

std::string
MakeServerEntry(const std::string& aService, const std::string& aAddress, int aSequence)
{
  return R"({"service":")" + aService + R"(","address":")" + aAddress +
         R"(","zone":"hall-a","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,)"
         R"("seq":)" +
         std::to_string(aSequence) + "}";
}

HttpRequest
MakeBooking(const std::string& aId, Duration aTimeLeft)
{
  HttpRequest request;
  request.method_ = "POST";
  request.target_ = "/book/1";
  request.headers_ = { { "Host", "a.example" },
                       { "X-Request-Id", aId },
                       { "X-Deadline-Ms",
                         std::to_string(duration_cast<milliseconds>(aTimeLeft).count()) } };
  return request;
}

} // namespace latchslip::platform
