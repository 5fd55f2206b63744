#include "Harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <boost/json/src.hpp>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <random>
#include <spawn.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace review {

namespace {

// Process ids of the machines that run; 0 for a free place.
std::array<std::atomic<pid_t>, 32> runningMachines;

void
Track(pid_t aId)
{
  for (auto& place : runningMachines) {
    pid_t free = 0;
    if (place.compare_exchange_strong(free, aId)) {
      return;
    }
  }
}

void
Forget(pid_t aId)
{
  for (auto& place : runningMachines) {
    pid_t id = aId;
    place.compare_exchange_strong(id, 0);
  }
}

void
KillMachines()
{
  for (const auto& place : runningMachines) {
    if (const auto id = place.load(); id > 0) {
      kill(id, SIGKILL);
      waitpid(id, nullptr, 0);
    }
  }
}

void
EndAll(int)
{
  KillMachines();
  _Exit(2);
}

constexpr std::size_t kReadBytes = 64 * 1024;
constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

bool
EqualsIgnoringCase(const std::string& aLeft, const std::string& aRight)
{
  return aLeft.size() == aRight.size() && strcasecmp(aLeft.c_str(), aRight.c_str()) == 0;
}

std::string
EncodeBase64(const std::string& aBytes)
{
  std::string text;
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    const auto byte = [&](std::size_t aIndex) -> std::uint32_t {
      return aIndex < aBytes.size() ? static_cast<unsigned char>(aBytes[aIndex]) : 0;
    };
    const auto bits = byte(at) << 16U | byte(at + 1) << 8U | byte(at + 2);
    text += kDigits[bits >> 18U & 63U];
    text += kDigits[bits >> 12U & 63U];
    text += at + 1 < aBytes.size() ? kDigits[bits >> 6U & 63U] : '=';
    text += at + 2 < aBytes.size() ? kDigits[bits & 63U] : '=';
  }
  return text;
}

std::string
QueryValue(const std::string& aTarget, const std::string& aName)
{
  const auto query = aTarget.find('?');
  if (query == std::string::npos) {
    return {};
  }
  std::stringstream pairs(aTarget.substr(query + 1));
  std::string pair;
  while (std::getline(pairs, pair, '&')) {
    const auto equals = pair.find('=');
    if (equals == std::string::npos || pair.substr(0, equals) != aName) {
      continue;
    }
    std::string value;
    for (std::size_t at = equals + 1; at < pair.size(); ++at) {
      if (pair[at] == '%' && at + 2 < pair.size()) {
        value += static_cast<char>(std::stoi(pair.substr(at + 1, 2), nullptr, 16));
        at += 2;
      } else {
        value += pair[at];
      }
    }
    return value;
  }
  return {};
}

sockaddr_in
ToEndpoint(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &endpoint.sin_addr);
  return endpoint;
}

} // namespace

double
Now()
{
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

void
SleepMs(int aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

Record::Record(const std::string& aPath)
  : file_(aPath)
{
  Now();
}

void
Record::Line(const std::string& aText)
{
  const std::lock_guard lock(mutex_);
  file_ << std::fixed << std::setprecision(3) << std::setw(8) << Now() << ' ' << aText << std::endl;
}

std::string
Message::Header(const std::string& aName) const
{
  for (const auto& [name, value] : headers_) {
    if (EqualsIgnoringCase(name, aName)) {
      return value;
    }
  }
  return {};
}

std::string
Message::Method() const
{
  return start_.substr(0, start_.find(' '));
}

std::string
Message::Target() const
{
  const auto begin = start_.find(' ') + 1;
  return start_.substr(begin, start_.find(' ', begin) - begin);
}

int
Message::Status() const
{
  const auto space = start_.find(' ');
  return space == std::string::npos ? 0 : std::atoi(start_.c_str() + space + 1);
}

Connection::~Connection()
{
  close(socket_);
}

bool
Connection::Send(const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto count = send(socket_, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

ssize_t
Connection::ReadSome(std::string& aBytes, std::size_t aMost)
{
  if (!buffer_.empty()) {
    aBytes = buffer_.substr(0, aMost);
    buffer_.erase(0, aBytes.size());
    return static_cast<ssize_t>(aBytes.size());
  }
  aBytes.resize(aMost);
  const auto count = recv(socket_, aBytes.data(), aMost, 0);
  aBytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
  return count;
}

ReadEnd
Connection::Fill()
{
  char bytes[kReadBytes];
  const auto count = recv(socket_, bytes, sizeof(bytes), 0);
  if (count > 0) {
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return ReadEnd::Complete;
  }
  if (count == 0) {
    return ReadEnd::Closed;
  }
  return errno == EAGAIN || errno == EWOULDBLOCK ? ReadEnd::TimedOut : ReadEnd::Reset;
}

ReadEnd
Connection::ReadHead(Message& aMessage)
{
  auto end = buffer_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (const auto result = Fill(); result != ReadEnd::Complete) {
      return result;
    }
    end = buffer_.find("\r\n\r\n");
  }
  std::stringstream lines(buffer_.substr(0, end));
  buffer_.erase(0, end + 4);
  aMessage = {};
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (aMessage.start_.empty()) {
      aMessage.start_ = line;
      continue;
    }
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      const auto begin = line.find_first_not_of(' ', colon + 1);
      aMessage.headers_.emplace_back(line.substr(0, colon),
                                     begin == std::string::npos ? "" : line.substr(begin));
    }
  }
  return ReadEnd::Complete;
}

ReadEnd
Connection::ReadBody(Message& aMessage, bool aMayBeUnframed)
{
  const auto length = aMessage.Header("Content-Length");
  if (!length.empty()) {
    const auto count = static_cast<std::size_t>(std::stoull(length));
    while (buffer_.size() < count) {
      if (const auto result = Fill(); result != ReadEnd::Complete) {
        aMessage.body_ = buffer_;
        return result;
      }
    }
    aMessage.isFramed_ = true;
    aMessage.body_ = buffer_.substr(0, count);
    buffer_.erase(0, count);
    return ReadEnd::Complete;
  }
  if (!aMayBeUnframed) {
    return ReadEnd::Complete;
  }
  // The body ends with the connection.
  for (;;) {
    const auto result = Fill();
    if (result != ReadEnd::Complete) {
      aMessage.body_ = std::move(buffer_);
      buffer_.clear();
      return result == ReadEnd::Closed ? ReadEnd::Complete : result;
    }
  }
}

ReadEnd
Connection::ReadRequest(Message& aMessage)
{
  const auto result = ReadHead(aMessage);
  return result == ReadEnd::Complete ? ReadBody(aMessage, false) : result;
}

ReadEnd
Connection::ReadResponse(Message& aMessage)
{
  const auto result = ReadHead(aMessage);
  return result == ReadEnd::Complete ? ReadBody(aMessage, true) : result;
}

void
Connection::SetTimeout(int aMs) const
{
  const timeval time{ aMs / 1000, aMs % 1000 * 1000 };
  setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
}

void
Connection::SetReceiveBuffer(int aBytes) const
{
  setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &aBytes, sizeof(aBytes));
}

void
Connection::Shutdown() const
{
  shutdown(socket_, SHUT_RDWR);
}

std::unique_ptr<Connection>
ConnectTo(const std::string& aAddress, int aTimeoutMs, int aReceiveBuffer)
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_unique<Connection>(handle);
  if (aReceiveBuffer > 0) {
    connection->SetReceiveBuffer(aReceiveBuffer);
    // As on an Ethernet. Otherwise the sender's socket buffer holds megabytes on loopback.
    constexpr int kSegmentBytes = 1460;
    setsockopt(handle, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof(kSegmentBytes));
  }
  connection->SetTimeout(aTimeoutMs);
  const auto endpoint = ToEndpoint(aAddress);
  if (connect(handle, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint)) != 0) {
    return nullptr;
  }
  const int on = 1;
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

int
FreePort(const std::vector<std::string>& aHosts)
{
  // Below the ports that the system draws for connections.
  constexpr int kFirst = 20000;
  constexpr int kLast = 31999;
  static std::mt19937 random{ std::random_device{}() };
  for (int attempt = 0; attempt < 100; ++attempt) {
    const int port = std::uniform_int_distribution<int>(kFirst, kLast)(random);
    const bool isFree = std::all_of(aHosts.begin(), aHosts.end(), [port](const auto& aHost) {
      const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const auto endpoint = ToEndpoint(aHost + ":" + std::to_string(port));
      const int result =
        bind(handle, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint));
      close(handle);
      return result == 0;
    });
    if (isFree) {
      return port;
    }
  }
  return 0;
}

Listener::Listener(const std::string& aAddress, Serve aServe)
  : serve_(std::move(aServe))
{
  constexpr int kBacklog = 512;
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto endpoint = ToEndpoint(aAddress);
  if (bind(socket_, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint)) != 0 ||
      listen(socket_, kBacklog) != 0) {
    close(socket_);
    socket_ = -1;
    return;
  }
  thread_ = std::thread([this] {
    for (;;) {
      const int handle = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
      if (handle < 0) {
        return;
      }
      const int noDelay = 1;
      setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
      std::thread([this, handle] {
        Connection connection(handle);
        serve_(connection);
      }).detach();
    }
  });
}

Listener::~Listener()
{
  if (socket_ >= 0) {
    shutdown(socket_, SHUT_RDWR);
    thread_.join();
    close(socket_);
  }
}

Store::Store(const std::string& aAddress, Record& aRecord)
  : record_(aRecord)
{
  listener_ = std::make_unique<Listener>(
    aAddress, [this](Connection& aConnection) { ServeConnection(aConnection); });
}

void
Store::Put(const std::string& aTable, const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(mutex_);
  tables_[aTable][aKey] = { EncodeBase64(aValue), ++version_, false };
  record_.Line("store: " + aTable + "/" + aKey + " written");
  changed_.notify_all();
}

void
Store::Remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard lock(mutex_);
  tables_[aTable][aKey] = { "", ++version_, true };
  record_.Line("store: " + aTable + "/" + aKey + " removed");
  changed_.notify_all();
}

bool
Store::Has(const std::string& aTable, const std::string& aPrefix)
{
  const std::lock_guard lock(mutex_);
  const auto& table = tables_[aTable];
  const auto row = table.lower_bound(aPrefix);
  return row != table.end() && row->first.compare(0, aPrefix.size(), aPrefix) == 0;
}

void
Store::ServeConnection(Connection& aConnection)
{
  Message request;
  while (aConnection.ReadRequest(request) == ReadEnd::Complete) {
    const auto [status, body] = Answer(request);
    if (!aConnection.Send("HTTP/1.1 " + std::to_string(status) +
                          " -\r\nContent-Type: application/json\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

std::pair<int, std::string>
Store::Answer(const Message& aRequest)
{
  const auto target = aRequest.Target();
  SleepMs(4);
  if (target.starts_with("/api/rows-get")) {
    return Read(target);
  }
  if (target.starts_with("/api/rows-feed")) {
    return Poll(target);
  }
  return target == "/api/rows-tx" ? Transact(aRequest.body_) : std::pair{ 404, std::string() };
}

namespace {

boost::json::object
ToJson(const std::string& aTable,
       const std::string& aKey,
       const std::string& aValue,
       std::uint64_t aVersion,
       bool aIsRemoved)
{
  boost::json::object row{
    { "table", aTable }, { "part", "" }, { "key", aKey }, { "ver", aVersion }
  };
  if (aIsRemoved) {
    row["removed"] = true;
  } else {
    row["value"] = aValue;
  }
  return row;
}

std::uint64_t
NowMs()
{
  return static_cast<std::uint64_t>(Now() * 1000);
}

} // namespace

std::pair<int, std::string>
Store::Read(const std::string& aTarget)
{
  const std::lock_guard lock(mutex_);
  const auto name = QueryValue(aTarget, "table");
  const auto limitText = QueryValue(aTarget, "limit");
  const std::size_t limit = limitText.empty() ? 500 : std::stoul(limitText);
  boost::json::array rows;
  bool isTruncated = false;
  const auto& table = tables_[name];
  for (auto row = table.lower_bound(QueryValue(aTarget, "from")); row != table.end(); ++row) {
    if (row->second.isRemoved_) {
      continue;
    }
    if (rows.size() == limit) {
      isTruncated = true;
      break;
    }
    rows.push_back(ToJson(name, row->first, row->second.value_, row->second.version_, false));
  }
  return { 200,
           boost::json::serialize(boost::json::object{ { "rows", std::move(rows) },
                                                       { "truncated", isTruncated },
                                                       { "ver", version_ },
                                                       { "nowMs", NowMs() } }) };
}

std::string
Store::RowsAfter(const std::string& aTable, std::uint64_t aAfter, bool& aHasAny)
{
  std::multimap<std::uint64_t, boost::json::object> changes;
  for (const auto& [key, row] : tables_[aTable]) {
    if (row.version_ > aAfter) {
      changes.emplace(row.version_, ToJson(aTable, key, row.value_, row.version_, row.isRemoved_));
    }
  }
  aHasAny = !changes.empty();
  boost::json::array rows;
  for (auto& [version, row] : changes) {
    rows.push_back(std::move(row));
  }
  return boost::json::serialize(
    boost::json::object{ { "rows", std::move(rows) }, { "ver", version_ }, { "nowMs", NowMs() } });
}

std::pair<int, std::string>
Store::Poll(const std::string& aTarget)
{
  std::unique_lock lock(mutex_);
  const auto table = QueryValue(aTarget, "table");
  const auto after = std::stoull(QueryValue(aTarget, "after"));
  const auto wait = std::chrono::milliseconds(std::stoull(QueryValue(aTarget, "waitMs")));
  const auto until = std::chrono::steady_clock::now() + wait;
  for (;;) {
    bool hasAny = false;
    auto body = RowsAfter(table, after, hasAny);
    if (hasAny || changed_.wait_until(lock, until) == std::cv_status::timeout) {
      return { 200, std::move(body) };
    }
  }
}

std::pair<int, std::string>
Store::Transact(const std::string& aBody)
{
  const std::lock_guard lock(mutex_);
  const auto transaction = boost::json::parse(aBody).as_object();
  boost::json::array stored;
  bool isMet = true;
  for (const auto& entry : transaction.at("expectedRev").as_array()) {
    const auto& expected = entry.as_object();
    const std::string table(expected.at("table").as_string());
    const std::string key(expected.at("key").as_string());
    const auto row = tables_[table].find(key);
    const bool exists = row != tables_[table].end() && !row->second.isRemoved_;
    isMet = isMet && expected.at("ver").to_number<std::uint64_t>() ==
                       (exists ? row->second.version_ : std::uint64_t{ 0 });
    if (exists) {
      stored.push_back(ToJson(table, key, row->second.value_, row->second.version_, false));
    }
  }
  if (!isMet) {
    return { 412,
             boost::json::serialize(boost::json::object{
               { "rows", std::move(stored) }, { "ver", version_ }, { "nowMs", NowMs() } }) };
  }
  ++version_;
  for (const auto& entry : transaction.at("puts").as_array()) {
    const auto& put = entry.as_object();
    const std::string table(put.at("table").as_string());
    const std::string key(put.at("key").as_string());
    tables_[table][key] = { std::string(put.at("value").as_string()), version_, false };
    record_.Line("store: " + table + "/" + key + " written under a condition");
  }
  changed_.notify_all();
  return {
    200, boost::json::serialize(boost::json::object{ { "ver", version_ }, { "nowMs", NowMs() } })
  };
}

Ports
ChoosePorts(const std::vector<std::string>& aHosts)
{
  Ports ports;
  ports.front_ = FreePort(aHosts);
  ports.ready_ = FreePort(aHosts);
  ports.control_ = FreePort(aHosts);
  ports.permit_ = FreePort(aHosts);
  ports.store_ = "127.0.0.1:" + std::to_string(FreePort({ "127.0.0.1" }));
  return ports;
}

Entry::Entry(std::string aProgram,
             std::string aFolder,
             std::string aHost,
             std::vector<std::string> aHosts,
             Ports aPorts)
  : program_(std::move(aProgram))
  , folder_(std::move(aFolder))
  , host_(std::move(aHost))
  , hosts_(std::move(aHosts))
  , ports_(std::move(aPorts))
{
}

Entry::~Entry()
{
  Kill();
}

void
Entry::Start()
{
  const auto name = "edge-hall-a-" + host_.substr(host_.rfind('.') + 1);
  const auto at = [this](int aPort) { return host_ + ":" + std::to_string(aPort); };
  boost::json::array seeds;
  for (std::size_t index = 0; index < hosts_.size() && index < 3; ++index) {
    seeds.emplace_back(hosts_[index] + ":" + std::to_string(ports_.control_));
  }
  // The fields of "Settings of a process", with the bounds of a small installation.
  const boost::json::object settings{
    { "nodeId", name },
    { "role", "entry" },
    { "machineClass", "edge" },
    { "serves", boost::json::array{ "edge", "control" } },
    { "ip", host_ },
    { "zone", "hall-a" },
    { "region", "region-a" },
    { "zones", boost::json::object{ { "hall-a", "region-a" } } },
    { "listen",
      boost::json::object{ { "front", at(ports_.front_) },
                           { "ready", at(ports_.ready_) },
                           { "control", at(ports_.control_) } } },
    { "portRange", boost::json::array{ ports_.permit_, ports_.permit_ } },
    { "seeds", std::move(seeds) },
    { "bootstrap", true },
    { "toleranceMember", false },
    { "limits",
      boost::json::object{ { "cpuShare", 0.5 },
                           { "cores", 1 },
                           { "memoryMb", 512 },
                           { "maxFds", 4100 },
                           { "linkMbps", 200.0 },
                           { "diskMb", 0 } } },
    { "dataDir", nullptr },
    { "discovery", "platform" },
    { "entry", "vip" },
    { "heartbeatMs", 870 },
    { "contracts",
      boost::json::array{
        "base", "drain", "config", "cost", "retry", "recover", "own", "platform" } },
    { "bounds",
      boost::json::array{ "seedLagS=3",
                          "addrReuseS=2",
                          "contactMs=3000",
                          "ackMs=5000",
                          "catchUpS=6",
                          "drainMs=2500",
                          "graceS=6",
                          "lossSlackMs=200",
                          "configApplyMs=2500",
                          "rollbackSlackMs=250",
                          "maxStretchMs=5000",
                          "retryBudgetRatio=0.2",
                          "budgetWindowS=10",
                          "budgetExtra=186",
                          "recoveryS=15",
                          "holdMaxMs=10000",
                          "thawSlackMs=300" } },
    { "grants", "call" },
    { "platform",
      boost::json::object{ { "address", ports_.store_ },
                           { "form", "table" },
                           { "writesPerS", 1200 },
                           { "readsPerS", 6000 },
                           { "txMs", 8.0 },
                           { "partitionWritesS", 150 },
                           { "rowBytes", 65536 },
                           { "across", false },
                           { "historyS", 20 },
                           { "blobBytes", 8388608 },
                           { "blobMs", 25.0 },
                           { "blobMbS", 80.0 } } }
  };
  const auto path = folder_ + "/" + name + ".json";
  std::ofstream(path) << boost::json::serialize(settings);
  std::string variable = "LATCHSLIP_CONFIG=" + path;
  std::vector<char*> environment;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    if (std::strncmp(*entry, "LATCHSLIP_", 10) != 0) {
      environment.push_back(*entry);
    }
  }
  environment.push_back(variable.data());
  environment.push_back(nullptr);
  const auto log = folder_ + "/" + name + ".log";
  posix_spawn_file_actions_t actions{};
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<char*> arguments{ program_.data(), nullptr };
  if (posix_spawn(
        &id_, program_.c_str(), &actions, nullptr, arguments.data(), environment.data()) != 0) {
    id_ = 0;
  }
  if (id_ > 0) {
    Track(id_);
  }
  posix_spawn_file_actions_destroy(&actions);
}

void
Entry::Signal(int aSignal) const
{
  if (id_ > 0) {
    kill(id_, aSignal);
  }
}

void
Entry::Kill()
{
  Signal(SIGKILL);
  if (id_ > 0) {
    waitpid(id_, &status_, 0);
    Forget(id_);
    id_ = 0;
  }
}

bool
Entry::HasEnded()
{
  if (id_ > 0 && waitpid(id_, &status_, WNOHANG) == id_) {
    Forget(id_);
    id_ = 0;
  }
  return id_ == 0;
}

bool
Entry::IsReady() const
{
  const auto connection = ConnectTo(host_ + ":" + std::to_string(ports_.ready_), 500);
  Message answer;
  return connection && connection->Send("GET /api/ready HTTP/1.1\r\nHost: " + host_ + "\r\n\r\n") &&
         connection->ReadResponse(answer) == ReadEnd::Complete && answer.Status() == 200;
}

void
HandleSignals()
{
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, EndAll);
  std::signal(SIGINT, EndAll);
}

void
EndProcess(int aStatus)
{
  KillMachines();
  _Exit(aStatus);
}

bool
AwaitReady(const std::vector<std::unique_ptr<Entry>>& aEntries, double aSeconds)
{
  const auto until = Now() + aSeconds;
  for (const auto& entry : aEntries) {
    while (!entry->IsReady()) {
      if (Now() > until) {
        return false;
      }
      SleepMs(100);
    }
  }
  return true;
}

std::string
ServerRow(const std::string& aService,
          const std::string& aAddress,
          int aSlots,
          const std::string& aState,
          int aSequence)
{
  return boost::json::serialize(boost::json::object{ { "service", aService },
                                                     { "address", aAddress },
                                                     { "zone", "hall-a" },
                                                     { "version", "v1" },
                                                     { "slots", aSlots },
                                                     { "state", aState },
                                                     { "coldRemainingMs", 0 },
                                                     { "seq", aSequence } });
}

} // namespace review
