#include "Harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;

namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point kStart = Clock::now();
std::mutex recordMutex;
std::ofstream recordFile;

constexpr const char* kHost = "a.example";
constexpr int kPortsPerInstance = 10;

sockaddr_in
LoopbackAddress(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int
OpenListener(int aPort)
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  auto address = LoopbackAddress(aPort);
  if (bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(handle, SOMAXCONN) != 0) {
    close(handle);
    return -1;
  }
  return handle;
}

std::string
ToLower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aLetter) {
    return static_cast<char>(std::tolower(aLetter));
  });
  return aText;
}

constexpr std::string_view kDigits =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string
ToBase64(std::string_view aBytes)
{
  std::string text;
  unsigned bits = 0;
  int count = 0;
  for (const unsigned char byte : aBytes) {
    bits = bits << 8U | byte;
    count += 8;
    while (count >= 6) {
      count -= 6;
      text += kDigits[bits >> static_cast<unsigned>(count) & 63U];
    }
  }
  if (count > 0) {
    text += kDigits[bits << static_cast<unsigned>(6 - count) & 63U];
  }
  while (text.size() % 4 != 0) {
    text += '=';
  }
  return text;
}

std::string
FromBase64(std::string_view aText)
{
  std::string bytes;
  unsigned bits = 0;
  int count = 0;
  for (const char letter : aText) {
    const auto digit = kDigits.find(letter);
    if (digit == std::string_view::npos) {
      break;
    }
    bits = bits << 6U | static_cast<unsigned>(digit);
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes += static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
    }
  }
  return bytes;
}

std::string
QueryValue(const std::string& aTarget, const std::string& aName)
{
  auto at = aTarget.find('?');
  while (at != std::string::npos) {
    const auto begin = at + 1;
    at = aTarget.find('&', begin);
    const auto pair = aTarget.substr(begin, at == std::string::npos ? at : at - begin);
    if (pair.starts_with(aName + "=")) {
      std::string value;
      for (std::size_t index = aName.size() + 1; index < pair.size(); ++index) {
        if (pair[index] == '%') {
          value += static_cast<char>(std::stoi(pair.substr(index + 1, 2), nullptr, 16));
          index += 2;
        } else {
          value += pair[index];
        }
      }
      return value;
    }
  }
  return "";
}

} // namespace

double
Now()
{
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void
Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

void
OpenRecord(const std::string& aPath)
{
  recordFile.open(aPath, std::ios::trunc);
}

void
Record(const std::string& aLine)
{
  const std::lock_guard lock(recordMutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f s  ", Now());
  recordFile << time << aLine << std::endl;
  std::fputs((time + aLine + "\n").c_str(), stdout);
  std::fflush(stdout);
}

bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string_view(trouble) != "0";
}

std::string
Message::Header(const std::string& aName) const
{
  const auto found = headers_.find(aName);
  return found == headers_.end() ? "" : found->second;
}

Connection::~Connection()
{
  Close();
}

std::unique_ptr<Connection>
Connection::To(int aPort)
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = LoopbackAddress(aPort);
  if (connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(handle);
    return nullptr;
  }
  const int yes = 1;
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  return std::make_unique<Connection>(handle);
}

bool
Connection::Fill()
{
  char bytes[16384];
  const auto count = recv(handle_, bytes, sizeof(bytes), 0);
  if (count <= 0) {
    return false;
  }
  buffer_.append(bytes, static_cast<std::size_t>(count));
  return true;
}

bool
Connection::ReadHead(Message& aMessage, std::string& aFirstLine)
{
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill()) {
      return false;
    }
  }
  const auto head = buffer_.substr(0, end + 2);
  buffer_.erase(0, end + 4);
  std::size_t begin = 0;
  for (auto next = head.find("\r\n"); next != std::string::npos; next = head.find("\r\n", begin)) {
    const auto line = head.substr(begin, next - begin);
    if (begin == 0) {
      aFirstLine = line;
    } else if (const auto colon = line.find(':'); colon != std::string::npos) {
      const auto value = line.find_first_not_of(" \t", colon + 1);
      aMessage.headers_[ToLower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
    }
    begin = next + 2;
  }
  const auto length = aMessage.Header("content-length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (buffer_.size() < size) {
    if (!Fill()) {
      return false;
    }
  }
  aMessage.body_ = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return true;
}

bool
Connection::ReadRequest(Message& aMessage)
{
  aMessage = {};
  std::string line;
  if (!ReadHead(aMessage, line)) {
    return false;
  }
  const auto first = line.find(' ');
  const auto second = line.find(' ', first + 1);
  aMessage.method_ = line.substr(0, first);
  aMessage.target_ = line.substr(first + 1, second - first - 1);
  return true;
}

bool
Connection::ReadAnswer(Message& aMessage)
{
  aMessage = {};
  std::string line;
  if (!ReadHead(aMessage, line)) {
    return false;
  }
  aMessage.status_ = std::atoi(line.substr(line.find(' ') + 1).c_str());
  return true;
}

bool
Connection::Write(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const auto count = send(handle_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

bool
Connection::Answer(int aStatus,
                   const std::vector<std::pair<std::string, std::string>>& aHeaders,
                   std::string_view aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return Write(text.append(aBody));
}

bool
Connection::IsClosedByPeer() const
{
  char byte = 0;
  const auto count = recv(handle_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void
Connection::Shutdown()
{
  const linger reset{ 1, 0 };
  setsockopt(handle_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  shutdown(handle_, SHUT_RDWR);
}

void
Connection::Close()
{
  if (handle_ >= 0) {
    close(handle_);
    handle_ = -1;
  }
}

bool
Listener::Listen(int aPort)
{
  const int handle = OpenListener(aPort);
  if (handle < 0) {
    return false;
  }
  handle_ = handle;
  std::thread([this, handle] {
    for (;;) {
      const int accepted = accept4(handle, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        close(handle);
        return;
      }
      const int yes = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
      std::thread([this, accepted] {
        Connection connection(accepted);
        {
          const std::lock_guard lock(mutex_);
          connections_.insert(&connection);
        }
        Serve(connection);
        const std::lock_guard lock(mutex_);
        connections_.erase(&connection);
      }).detach();
    }
  }).detach();
  return true;
}

void
Listener::Reset()
{
  shutdown(handle_, SHUT_RDWR);
  const std::lock_guard lock(mutex_);
  for (auto* connection : connections_) {
    connection->Shutdown();
  }
}

void
Store::Put(const std::string& aTable, const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(mutex_);
  tables_[aTable][aKey] = { aValue, ++version_, false };
  changed_.notify_all();
}

void
Store::Remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard lock(mutex_);
  tables_[aTable][aKey] = { "", ++version_, true };
  changed_.notify_all();
}

json::object
Store::ToJson(const std::string& aTable, const std::string& aKey, const Row& aRow)
{
  json::object row{
    { "table", aTable }, { "part", "" }, { "key", aKey }, { "ver", aRow.version_ }
  };
  if (aRow.isRemoved_) {
    row["removed"] = true;
  } else {
    row["value"] = ToBase64(aRow.value_);
  }
  return row;
}

void
Store::Serve(Connection& aConnection)
{
  Message request;
  while (aConnection.ReadRequest(request)) {
    int status = 200;
    std::string answer;
    if (request.target_.starts_with("/api/rows-get")) {
      answer = Get(request.target_);
    } else if (request.target_.starts_with("/api/rows-feed")) {
      answer = Feed(request.target_);
    } else if (request.target_ == "/api/rows-tx") {
      status = Transact(request.body_, answer) ? 200 : 412;
    } else {
      status = 404;
    }
    if (!aConnection.Answer(status, { { "Content-Type", "application/json" } }, answer)) {
      return;
    }
  }
}

std::string
Store::Get(const std::string& aTarget)
{
  const std::lock_guard lock(mutex_);
  const auto table = QueryValue(aTarget, "table");
  const auto from = QueryValue(aTarget, "from");
  const auto limit = QueryValue(aTarget, "limit");
  json::array rows;
  for (const auto& [key, row] : tables_[table]) {
    const bool isFull = !limit.empty() && rows.size() >= std::stoul(limit);
    if (!row.isRemoved_ && key >= from && !isFull) {
      rows.push_back(ToJson(table, key, row));
    }
  }
  return json::serialize(
    json::object{ { "rows", rows }, { "truncated", false }, { "ver", version_ } });
}

std::string
Store::Feed(const std::string& aTarget)
{
  const auto table = QueryValue(aTarget, "table");
  const std::uint64_t after = std::stoull(QueryValue(aTarget, "after"));
  const auto until =
    Clock::now() + std::chrono::milliseconds(std::stoi(QueryValue(aTarget, "waitMs")));
  std::unique_lock lock(mutex_);
  for (;;) {
    std::map<std::uint64_t, json::object> changes;
    for (const auto& [key, row] : tables_[table]) {
      if (row.version_ > after) {
        changes[row.version_] = ToJson(table, key, row);
      }
    }
    if (!changes.empty() || Clock::now() >= until) {
      json::array rows;
      for (auto& [version, row] : changes) {
        rows.push_back(std::move(row));
      }
      return json::serialize(json::object{ { "rows", rows }, { "ver", version_ } });
    }
    changed_.wait_until(lock, until);
  }
}

bool
Store::Transact(const std::string& aBody, std::string& aAnswer)
{
  const std::lock_guard lock(mutex_);
  const auto value = json::parse(aBody);
  json::array stored;
  bool isMet = true;
  for (const auto& entry : value.at("expectedRev").as_array()) {
    const std::string table(entry.at("table").as_string());
    const std::string key(entry.at("key").as_string());
    const auto row = tables_[table].find(key);
    const bool exists = row != tables_[table].end() && !row->second.isRemoved_;
    isMet =
      isMet && entry.at("ver").to_number<std::uint64_t>() == (exists ? row->second.version_ : 0);
    if (exists) {
      stored.push_back(ToJson(table, key, row->second));
    }
  }
  if (!isMet) {
    aAnswer = json::serialize(json::object{ { "rows", stored }, { "ver", version_ } });
    return false;
  }
  ++version_;
  for (const auto& entry : value.at("puts").as_array()) {
    tables_[std::string(entry.at("table").as_string())]
           [std::string(entry.at("key").as_string())] = {
             FromBase64(std::string_view(entry.at("value").as_string())), version_, false
           };
  }
  changed_.notify_all();
  aAnswer = json::serialize(json::object{ { "ver", version_ } });
  return true;
}

// The settings are those of an instance of the small deployments (DEPLOY.md), with loopback
// addresses. Instances differ in the IP address of their control listener, since all use the same
// port for permits.
Instance::Instance(int aNumber, int aBasePort, int aStorePort, const std::string& aFolder)
  : port_(aBasePort + kPortsPerInstance * aNumber)
{
  const auto at = [](int aHost, int aPort) {
    return "127.0.0." + std::to_string(aHost) + ":" + std::to_string(aPort);
  };
  constexpr int kFirstHost = 10;
  const auto name = "edge-" + std::to_string(aNumber);
  const json::object settings{
    { "nodeId", name },
    { "role", "entry" },
    { "machineClass", "edge" },
    { "serves", json::array{ "edge", "control" } },
    { "zone", "hall-a" },
    { "region", "region-a" },
    { "listen",
      json::object{ { "front", at(1, port_) },
                    { "ready", at(1, port_ + 1) },
                    { "control", at(kFirstHost + aNumber, port_ + 2) } } },
    { "portRange", json::array{ aBasePort + 5, aBasePort + 5 } },
    { "seeds", json::array{ at(kFirstHost + 1, aBasePort + kPortsPerInstance + 2) } },
    { "bootstrap", true },
    { "limits",
      json::object{ { "cpuShare", 0.2 },
                    { "cores", 1 },
                    { "memoryMb", 260 },
                    { "maxFds", 4100 },
                    { "linkMbps", 1000.0 },
                    { "diskMb", 0 } } },
    { "heartbeatMs", 870 },
    { "bounds",
      json::array{ "seedLagS=3",
                   "addrReuseS=2",
                   "contactMs=3000",
                   "ackMs=4000",
                   "catchUpS=4",
                   "drainMs=2000",
                   "graceS=6",
                   "lossSlackMs=200",
                   "configApplyMs=2000",
                   "rollbackSlackMs=250",
                   "maxStretchMs=5000",
                   "retryBudgetRatio=0.2",
                   "budgetWindowS=10",
                   "budgetExtra=62",
                   "recoveryS=15",
                   "holdMaxMs=10000",
                   "thawSlackMs=300" } },
    { "platform",
      json::object{ { "address", at(1, aStorePort) },
                    { "form", "table" },
                    { "writesPerS", 400 },
                    { "readsPerS", 2000 },
                    { "txMs", 8.0 },
                    { "partitionWritesS", 150 },
                    { "rowBytes", 65536 },
                    { "across", false },
                    { "historyS", 20 } } }
  };
  settingsFile_ = aFolder + "/" + name + ".json";
  log_ = aFolder + "/" + name + ".log";
  std::ofstream(settingsFile_) << json::serialize(settings);
}

Instance::~Instance()
{
  Signal(SIGKILL);
  if (id_ > 0) {
    waitpid(id_, nullptr, 0);
  }
}

// Runs at the root of the repository, as the deploy file has it.
bool
Instance::Start()
{
  static constexpr const char* kProgram = "target/platform/latchslip-entry";
  const auto variable = "LATCHSLIP_CONFIG=" + settingsFile_;
  const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  id_ = fork();
  if (id_ == 0) {
    // The instance must not outlive this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    const char* const arguments[] = { kProgram, nullptr };
    const char* const environment[] = { variable.c_str(), "PATH=/usr/bin:/bin", nullptr };
    execve(kProgram, const_cast<char**>(arguments), const_cast<char**>(environment));
    _exit(127);
  }
  close(log);
  return id_ > 0;
}

bool
Instance::IsReady() const
{
  const auto connection = Connection::To(port_ + 1);
  Message answer;
  return connection && connection->Write("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
         connection->ReadAnswer(answer) && answer.status_ == 200;
}

bool
Instance::HasEnded()
{
  if (id_ > 0 && waitpid(id_, nullptr, WNOHANG) == id_) {
    id_ = 0;
  }
  return id_ == 0;
}

void
Instance::Signal(int aSignal) const
{
  if (id_ > 0) {
    kill(id_, aSignal);
  }
}

int
FindPorts(int aCount)
{
  const int offset = static_cast<int>(getpid()) * 97 % 20000;
  for (int first = 20000 + offset; first + aCount < 60000; first += aCount) {
    bool areFree = true;
    for (int port = first; port < first + aCount && areFree; ++port) {
      const int handle = OpenListener(port);
      areFree = handle >= 0;
      if (areFree) {
        close(handle);
      }
    }
    if (areFree) {
      return first;
    }
  }
  return 0;
}

bool
WaitUntilReady(const std::vector<std::unique_ptr<Instance>>& aInstances, double aSeconds)
{
  for (const double end = Now() + aSeconds; Now() < end; Sleep(0.1)) {
    if (std::all_of(aInstances.begin(), aInstances.end(), [](const auto& aInstance) {
          return aInstance->IsReady();
        })) {
      return true;
    }
  }
  return false;
}

std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aId,
            int aKey,
            int aBudgetMs,
            const std::string& aBody)
{
  auto text = aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + kHost + "\r\nX-Request-Id: " + aId +
              "\r\nX-Deadline-Ms: " + std::to_string(aBudgetMs) + "\r\n";
  if (aKey >= 0) {
    text += "X-Shard-Key: " + std::to_string(aKey) + "\r\n";
  }
  if (aMethod != "GET") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

Message
Send(int aPort,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aId,
     int aKey,
     int aBudgetMs,
     const std::string& aBody)
{
  Message answer;
  const auto connection = Connection::To(aPort);
  if (!connection || !connection->Write(MakeRequest(aMethod, aPath, aId, aKey, aBudgetMs, aBody)) ||
      !connection->ReadAnswer(answer)) {
    answer.status_ = 0;
  }
  return answer;
}

std::string
MakeManifest(const std::vector<RouteSpec>& aRoutes, const std::vector<ServiceSpec>& aServices)
{
  json::array rules;
  for (const auto& route : aRoutes) {
    rules.push_back(json::object{ { "name", "route-" + route.service_ + route.kind_ },
                                  { "kind", route.kind_ },
                                  { "targetLatencyMs", route.targetMs_ },
                                  { "priority", 1 },
                                  { "match", json::object{ { "pathPrefix", route.prefix_ } } },
                                  { "action",
                                    json::object{ { "service", route.service_ },
                                                  { "timeoutMs", route.timeoutMs_ },
                                                  { "maxAttempts", route.attempts_ } } } });
  }
  json::array clusters;
  for (const auto& service : aServices) {
    clusters.push_back(json::object{
      { "name", service.name_ }, { "maxConns", 130 }, { "sharded", service.isSharded_ } });
  }
  return json::serialize(json::object{
    { "version", 3 },
    { "limits",
      json::object{ { "maxHeaderBytes", 16384 },
                    { "maxBodyBytes", 1048576 },
                    { "headerTimeoutMs", 5000 },
                    { "idleTimeoutMs", 30000 } } },
    { "listeners", json::array{ json::object{ { "host", kHost }, { "rules", rules } } } },
    { "clusters", clusters } });
}

} // namespace review
