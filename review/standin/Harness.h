#pragma once

// Small stand-ins for the review's scripts: sockets, an HTTP/1.1 message reader, the platform's
// store, an entry process, and a record file. Plain blocking sockets with one thread a connection.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Seconds since the first call.
double
Now();
void
SleepMs(int aMs);

// The file record.txt of a case; one line an event, with its time.
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Line(const std::string& aText);

private:
  std::mutex mutex_;
  std::ofstream file_;
};

struct Message
{
  // Request line or status line.
  std::string start_;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;
  // Whether the body had a length or was chunked.
  bool isFramed_ = false;
  std::string Header(const std::string& aName) const;
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

// How reading a message ended.
enum class ReadEnd
{
  Complete,
  // The peer closed the connection in an orderly way (FIN) before the message was complete.
  Closed,
  // The connection was reset or another error occurred.
  Reset,
  TimedOut,
};

// One connection with a read buffer. Owns its socket.
class Connection
{
public:
  explicit Connection(int aSocket)
    : socket_(aSocket)
  {
  }
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Send(const std::string& aBytes);
  // Reads a request, or a response with a length; a response without one ends with the connection.
  ReadEnd ReadRequest(Message& aMessage);
  ReadEnd ReadResponse(Message& aMessage);
  // Reads at most aMost bytes into aBytes; 0 at the end, -1 after a reset or a time-out.
  ssize_t ReadSome(std::string& aBytes, std::size_t aMost);
  void SetTimeout(int aMs) const;
  void SetReceiveBuffer(int aBytes) const;
  void Shutdown() const;
  int Socket() const { return socket_; }

private:
  ReadEnd Fill();
  ReadEnd ReadHead(Message& aMessage);
  ReadEnd ReadBody(Message& aMessage, bool aMayBeUnframed);

  int socket_;
  std::string buffer_;
};

// Opens a connection to ip:port; null if that failed. With aReceiveBuffer the connection has that
// receive buffer and the segment size of an Ethernet; 0 leaves the defaults of loopback.
std::unique_ptr<Connection>
ConnectTo(const std::string& aAddress, int aTimeoutMs, int aReceiveBuffer = 0);

// A port that was free on all given addresses a moment ago.
int
FreePort(const std::vector<std::string>& aHosts);

// A listener that runs aServe in a thread of its own for each connection.
class Listener
{
public:
  using Serve = std::function<void(Connection&)>;
  Listener(const std::string& aAddress, Serve aServe);
  ~Listener();
  bool IsOpen() const { return socket_ >= 0; }

private:
  int socket_ = -1;
  Serve serve_;
  std::thread thread_;
};

// The platform's store: rows-get, rows-feed and rows-tx on tables with an empty part.
class Store
{
public:
  Store(const std::string& aAddress, Record& aRecord);
  void Put(const std::string& aTable, const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  // Whether the table has a row whose key begins so.
  bool Has(const std::string& aTable, const std::string& aPrefix);

private:
  struct Row
  {
    std::string value_;
    std::uint64_t version_ = 0;
    bool isRemoved_ = false;
  };
  void ServeConnection(Connection& aConnection);
  std::pair<int, std::string> Answer(const Message& aRequest);
  std::string RowsAfter(const std::string& aTable, std::uint64_t aAfter, bool& aHasAny);
  std::pair<int, std::string> Read(const std::string& aTarget);
  std::pair<int, std::string> Poll(const std::string& aTarget);
  std::pair<int, std::string> Transact(const std::string& aBody);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Row>> tables_;
  std::uint64_t version_ = 1;
  Record& record_;
  std::unique_ptr<Listener> listener_;
};

// Addresses that the machines of one installation share, and where its store is.
struct Ports
{
  int front_ = 0;
  int ready_ = 0;
  int control_ = 0;
  int permit_ = 0;
  std::string store_;
};

Ports
ChoosePorts(const std::vector<std::string>& aHosts);

// One machine of the system: target/platform/latchslip-entry with a settings file of its own.
class Entry
{
public:
  // aProgram is the command of the deploy file, started in the working directory.
  Entry(std::string aProgram,
        std::string aFolder,
        std::string aHost,
        std::vector<std::string> aHosts,
        Ports aPorts);
  ~Entry();
  void Start();
  void Signal(int aSignal) const;
  // Kills the process and waits for its end.
  void Kill();
  bool HasEnded();
  bool IsReady() const;
  std::string Front() const { return host_ + ":" + std::to_string(ports_.front_); }
  const std::string& Host() const { return host_; }

private:
  std::string program_;
  std::string folder_;
  std::string host_;
  std::vector<std::string> hosts_;
  Ports ports_;
  pid_t id_ = 0;
  int status_ = 0;
};

// Makes SIGTERM and SIGINT end this process, after all machines that it started. Ignores SIGPIPE.
void
HandleSignals();

// Ends all machines and then this process, without destroying the stand-ins, whose threads may
// still run.
[[noreturn]] void
EndProcess(int aStatus);

// Waits until all are ready; false after aSeconds.
bool
AwaitReady(const std::vector<std::unique_ptr<Entry>>& aEntries, double aSeconds);

// The entry of a server in the store.
std::string
ServerRow(const std::string& aService,
          const std::string& aAddress,
          int aSlots,
          const std::string& aState,
          int aSequence);

} // namespace review
