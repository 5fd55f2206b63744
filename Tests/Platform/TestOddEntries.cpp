// Instances as child processes, while another writer leaves odd entries among those of the servers:
// they must neither end nor stop following the table.

#include "../LibNet/BrokenResponses.h"
#include "../LibNet/BytesServer.h"
#include "../LibNet/SendAndWait.h"
#include "../Repeat.h"
#include "EntryProcess.h"
#include "FleetDocuments.h"
#include "LibNet/MonotonicClock.h"
#include "platform/StandIn/StandInStore.h"

#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace latchslip::platform {

namespace {

constexpr int kFirstPort = 23100;
constexpr int kInstances = 3;
// A change of the servers must be in force everywhere within this time.
constexpr Duration kFollowTime = milliseconds(2500);

struct OddEntry
{
  std::string name_;
  std::string value_;
};

std::string
Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

// An entry of a server of bookings with that address, number of slots and further field, each in
// JSON.
std::string
MakeEntry(const std::string& aAddress, const std::string& aSlots, const std::string& aExtra)
{
  return R"({"service":"bookings","address":)" + aAddress +
         R"(,"zone":"hall-a","version":"v1","slots":)" + aSlots +
         R"(,"state":"ready","coldRemainingMs":0,"seq":1,"extra":)" + aExtra + "}";
}

std::vector<OddEntry>
OddEntries()
{
  const std::string address = R"("127.0.0.1:1")";
  const auto digits = std::string(100'000, '9');
  std::vector<OddEntry> entries{
    { "nothing", "" },
    { "no JSON", "{" },
    { "broken text", "\xff\xfe\x00\x01" },
    { "list", "[]" },
    { "depth 31", MakeEntry(address, "4", Nested(30)) },
    { "depth 1,000", MakeEntry(address, "4", Nested(1000)) },
    { "depth 1,000,000", Nested(1'000'000) },
    { "objects of depth 100,000", Repeat(R"({"a":)", 100'000) + "1" + std::string(100'000, '}') },
    { "open lists of depth 100,000", std::string(100'000, '[') },
    { "text of 1 MB", MakeEntry(address, "4", '"' + std::string(1'000'000, 'x') + '"') },
    { "depth and size", MakeEntry(address, "4", Nested(1'000'000)) + std::string(2'000'000, ' ') },
  };
  for (const std::string number :
       { "1e400", "-1e400", "1e308", "18446744073709551616", "-1", "0" }) {
    entries.push_back({ "slots " + number, MakeEntry(address, number, "0") });
    entries.push_back({ "field " + number, MakeEntry(address, "4", number) });
  }
  entries.push_back({ "slots of 100,000 digits", MakeEntry(address, digits, "0") });
  for (const std::string port : { "0", "65536", "-1", "99999999999999999999", "", "x", "80 " }) {
    entries.push_back({ "port " + port, MakeEntry("\"127.0.0.1:" + port + '"', "4", "0") });
  }
  for (const std::string odd : { "\"\"", "7", "null", "[]", "\"nowhere:80\"", "\"::1\"" }) {
    entries.push_back({ "address " + odd, MakeEntry(odd, "4", "0") });
  }
  return entries;
}

// Three instances, one of which tells the others of the servers, and one server of bookings.
class InstancesBesideOddEntries : public testing::Test
{
protected:
  void SetUp() override
  {
    store_->Put("op", "config", MakeManifest(3, "bookings"));
    ReplaceServer();
    for (int number = 1; number <= kInstances; ++number) {
      Start(number);
    }
    ASSERT_TRUE(RunUntilServed(seconds(15)));
  }

  static int PortOf(int aInstance) { return kFirstPort + 10 * aInstance; }

  void Start(int aInstance)
  {
    const auto name = "edge-odd-" + std::to_string(aInstance);
    processes_.push_back(std::make_unique<EntryProcess>(
      LATCHSLIP_ENTRY,
      name,
      MakeSettings(name, PortOf(aInstance), PortOf(1), Loopback(kFirstPort))));
  }

  // Replaces the server of bookings by another one.
  void ReplaceServer()
  {
    store_->Remove("servers", "b" + std::to_string(servers_.size()));
    servers_.push_back(std::make_unique<BytesServer>(context_));
    store_->Put("servers",
                "b" + std::to_string(servers_.size()),
                MakeServerEntry("bookings", servers_.back()->Address(), 1));
  }

  // Whether the present server of bookings has answered a request sent to that instance.
  bool IsServed(int aInstance)
  {
    const auto id = "q" + std::to_string(++requests_);
    servers_.back()->bytes_ = MakeResponse("HTTP/1.1 200 OK", id, "");
    ExchangeOptions options;
    options.timeout_ = milliseconds(1500);
    return IsOk(SendAndWait(context_,
                            *client_,
                            Loopback(PortOf(aInstance)),
                            MakeBooking(id, seconds(1)),
                            std::move(options)));
  }

  // Waits until all instances use the present server of bookings.
  bool RunUntilServed(Duration aTimeout)
  {
    const auto end = MonotonicNow() + aTimeout;
    int instance = 1;
    while (MonotonicNow() < end) {
      if (IsServed(instance) && ++instance > static_cast<int>(processes_.size())) {
        return true;
      }
      context_.restart();
      context_.run_for(milliseconds(10));
    }
    return false;
  }

  boost::asio::io_context context_{ 1 };
  std::unique_ptr<StandInStore> store_ =
    StandInStore::Create(context_, Loopback(kFirstPort)).value();
  // The last one is the present server of bookings. The others answer only earlier requests.
  std::vector<std::unique_ptr<BytesServer>> servers_;
  std::unique_ptr<HttpClient> client_ = HttpClient::Create(context_, 4);
  std::vector<std::unique_ptr<EntryProcess>> processes_;
  int requests_ = 0;
};

// Guards against an entry of another writer that ends the instances which read it, or that keeps
// them from the changes behind it.
TEST_F(InstancesBesideOddEntries, EachIsWritten_InstancesRunOnAndFollowTheServers)
{
  for (const auto& entry : OddEntries()) {
    store_->Put("servers", "a-odd", entry.value_);
    store_->Put("servers", "z-odd", entry.value_);
    ReplaceServer();
    EXPECT_TRUE(RunUntilServed(kFollowTime)) << entry.name_;
    for (const auto& process : processes_) {
      ASSERT_FALSE(process->HasEnded()) << entry.name_;
    }
  }
}

TEST_F(InstancesBesideOddEntries, AllStandInTheTable_AnotherInstanceStartsAndServes)
{
  int number = 0;
  for (const auto& entry : OddEntries()) {
    store_->Put("servers", "odd-" + std::to_string(++number), entry.value_);
  }
  Start(kInstances + 1);
  EXPECT_TRUE(RunUntilServed(seconds(15)));
  for (const auto& process : processes_) {
    EXPECT_FALSE(process->HasEnded());
  }
}

} // namespace

} // namespace latchslip::platform
