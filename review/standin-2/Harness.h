// A small platform for the review's scripts: a store, backend servers, clients, and gateway
// instances as child processes. Everything listens on loopback addresses. Blocking sockets and one
// thread for each connection keep it short.
#pragma once

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

// Seconds since the start of the program, on the steady clock.
double
Now();
void
Sleep(double aSeconds);

// Writes one line with the time to record.txt and to standard output.
void
OpenRecord(const std::string& aPath);
void
Record(const std::string& aLine);

// Exit codes of a script.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

struct Message
{
  // First line: method and target of a request, status of an answer.
  std::string method_;
  std::string target_;
  int status_ = 0;
  std::map<std::string, std::string> headers_;
  std::string body_;

  // Names are in lower case.
  std::string Header(const std::string& aName) const;
};

// One connection. Reads and writes whole messages.
class Connection
{
public:
  explicit Connection(int aHandle)
    : handle_(aHandle)
  {
  }
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns null if nothing accepts the connection.
  static std::unique_ptr<Connection> To(int aPort);

  bool ReadRequest(Message& aMessage);
  bool ReadAnswer(Message& aMessage);
  bool Write(std::string_view aBytes);
  bool Answer(int aStatus,
              const std::vector<std::pair<std::string, std::string>>& aHeaders,
              std::string_view aBody);
  // Whether the peer has closed the connection.
  bool IsClosedByPeer() const;
  // Ends all reads and writes, from any thread.
  void Shutdown();
  void Close();

private:
  bool ReadHead(Message& aMessage, std::string& aFirstLine);
  bool Fill();

  int handle_;
  std::string buffer_;
};

// Accepts connections on a port of 127.0.0.1 and runs Serve in a thread for each.
class Listener
{
public:
  virtual ~Listener() = default;
  bool Listen(int aPort);
  // Closes the listening socket and resets all connections.
  void Reset();

protected:
  virtual void Serve(Connection& aConnection) = 0;

private:
  int handle_ = -1;
  std::mutex mutex_;
  std::set<Connection*> connections_;
};

// The platform's store: rows-get, rows-feed and rows-tx.
class Store : public Listener
{
public:
  void Put(const std::string& aTable, const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);

protected:
  void Serve(Connection& aConnection) override;

private:
  struct Row
  {
    std::string value_;
    std::uint64_t version_ = 0;
    bool isRemoved_ = false;
  };

  std::string Get(const std::string& aTarget);
  std::string Feed(const std::string& aTarget);
  bool Transact(const std::string& aBody, std::string& aAnswer);
  boost::json::object ToJson(const std::string& aTable, const std::string& aKey, const Row& aRow);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Row>> tables_;
  std::uint64_t version_ = 0;
};

// A gateway instance, started with the command of the deploy file.
class Instance
{
public:
  // aNumber counts from 1. All instances of a script share aBasePort.
  Instance(int aNumber, int aBasePort, int aStorePort, const std::string& aFolder);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  bool Start();
  bool IsReady() const;
  bool HasEnded();
  void Signal(int aSignal) const;
  int Port() const { return port_; }

private:
  std::string settingsFile_;
  std::string log_;
  int port_;
  pid_t id_ = 0;
};

// Returns the first of aCount consecutive free ports; 0 if none are found.
int
FindPorts(int aCount);

// Waits until all instances are ready.
bool
WaitUntilReady(const std::vector<std::unique_ptr<Instance>>& aInstances, double aSeconds);

// Sends one request on a connection of its own. Status 0 if there was no answer.
Message
Send(int aPort,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aId,
     int aKey,
     int aBudgetMs,
     const std::string& aBody);

// The bytes of a request, with aKey as its shard key unless it is negative.
std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aId,
            int aKey,
            int aBudgetMs,
            const std::string& aBody);

struct RouteSpec
{
  std::string prefix_;
  std::string kind_;
  std::string service_;
  int targetMs_ = 0;
  int timeoutMs_ = 0;
  int attempts_ = 0;
};

struct ServiceSpec
{
  std::string name_;
  bool isSharded_ = false;
};

std::string
MakeManifest(const std::vector<RouteSpec>& aRoutes, const std::vector<ServiceSpec>& aServices);

// False if the script runs without its disruption.
bool
HasTrouble();

} // namespace review
