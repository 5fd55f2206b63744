#include "LibNet/HttpClient.h"

#include "LibNet/Address.h"
#include "LibNet/HttpConnection.h"
#include "LibNet/MonotonicClock.h"

#include <boost/asio/post.hpp>
#include <iterator>
#include <map>
#include <unordered_map>

namespace latchslip {

namespace {

namespace asio = boost::asio;

// Maximum size of the bodies that a client receives at once, on all its connections.
constexpr std::size_t kMaxHeldBytes = 24UL * 1024 * 1024;

class BeastHttpClient : public HttpClient
{
public:
  BeastHttpClient(asio::io_context& aContext, std::size_t aMaxConnections)
    : context_(aContext)
    , maxConnections_(aMaxConnections)
  {
  }

  // Idle connections and their pool own each other, so the cycle is broken here.
  ~BeastHttpClient() override
  {
    for (auto& [address, pool] : pools_) {
      pool->idle_.clear();
      pool->witness_.reset();
    }
  }

  using HttpClient::Send;

  ExchangeId Send(const std::string& aAddress,
                  HttpRequest aRequest,
                  ExchangeOptions aOptions,
                  HttpCallback aCallback) override
  {
    const auto id = ++lastId_;
    const auto endpoint = ParseAddress(aAddress);
    if (!endpoint) {
      Fail(id, std::move(aCallback), endpoint.error().Describe());
      return id;
    }
    const auto connection = TakeConnection(PoolOf(aAddress), aRequest, aOptions);
    if (!connection) {
      Fail(id, std::move(aCallback), "all connections to the address are in use");
      return id;
    }
    const bool isOfOtherSession = aOptions.session_ != 0 && connection->Session() != 0 &&
                                  connection->Session() != aOptions.session_;
    if (isOfOtherSession) {
      connection->BecomeWitness();
      Fail(id, std::move(aCallback), "the session has ended", true);
      return id;
    }
    if (const auto problem = connection->Prepare(endpoint.value(), aRequest)) {
      Fail(id, std::move(aCallback), *problem);
      return id;
    }
    running_[id] = connection;
    connection->Start(endpoint.value(),
                      aRequest,
                      aOptions,
                      [this, id, callback = std::move(aCallback)](HttpExchange aExchange) {
                        running_.erase(id);
                        callback(std::move(aExchange));
                      });
    return id;
  }

  void Cancel(ExchangeId aId) override
  {
    const auto running = running_.find(aId);
    if (running == running_.end()) {
      return;
    }
    const auto connection = running->second.lock();
    running_.erase(running);
    if (connection) {
      connection->Cancel();
    }
  }

  void PruneIdle() override
  {
    for (auto pool = pools_.begin(); pool != pools_.end();) {
      RetireStale(*pool->second);
      PruneWitness(*pool->second);
      pool = pool->second->open_ == 0 ? pools_.erase(pool) : std::next(pool);
    }
  }

  void CloseIdle() override
  {
    for (auto& [address, pool] : pools_) {
      pool->idle_.clear();
      pool->witness_.reset();
    }
  }

  void Probe(const std::string& aAddress,
             const ExchangeOptions& aOptions,
             std::function<void(bool)> aCallback) override
  {
    const auto endpoint = ParseAddress(aAddress);
    if (!endpoint) {
      asio::post(context_, [callback = std::move(aCallback)] { callback(false); });
      return;
    }
    std::make_shared<HttpConnection>(context_, PoolOf(aAddress), ++lastConnection_)
      ->Open(endpoint.value(), aOptions, std::move(aCallback));
  }

  bool HasIdle(const std::string& aAddress) const override
  {
    const auto pool = pools_.find(aAddress);
    return pool != pools_.end() && !pool->second->idle_.empty() &&
           MonotonicNow() < pool->second->idle_.back()->IdleUntil();
  }

  std::size_t HeldBytes() const override { return budget_->Used(); }

  std::size_t OpenConnections() const override
  {
    std::size_t open = 0;
    for (const auto& [address, pool] : pools_) {
      open += pool->open_;
    }
    return open;
  }

private:
  // Returns the pool of the address, which is created if there is none.
  const std::shared_ptr<HttpPool>& PoolOf(const std::string& aAddress)
  {
    auto& pool = pools_[aAddress];
    if (!pool) {
      pool = std::make_shared<HttpPool>();
      pool->budget_ = budget_;
      pool->lastSession_ = lastSession_;
    }
    return pool;
  }

  // Returns an idle connection that may carry the request, or else a new one, for which an idle one
  // is closed if there may be no more. Null if all connections to the address are in use.
  std::shared_ptr<HttpConnection> TakeConnection(const std::shared_ptr<HttpPool>& aPool,
                                                 const HttpRequest& aRequest,
                                                 const ExchangeOptions& aOptions)
  {
    if (auto idle = TakeIdle(*aPool, aRequest, aOptions)) {
      return idle;
    }
    if (aPool->open_ >= maxConnections_ && !aPool->idle_.empty()) {
      aPool->idle_.pop_front();
    }
    if (aPool->open_ >= maxConnections_) {
      aPool->witness_.reset();
    }
    if (aPool->open_ >= maxConnections_) {
      return nullptr;
    }
    return std::make_shared<HttpConnection>(context_, aPool, ++lastConnection_);
  }

  // Removes from the pool, and returns, the connection that was used last among those that may
  // carry the request. Null if there is none.
  static std::shared_ptr<HttpConnection> TakeIdle(HttpPool& aPool,
                                                  const HttpRequest& aRequest,
                                                  const ExchangeOptions& aOptions)
  {
    if (aOptions.usesOwnConnection_) {
      return nullptr;
    }
    const bool namesRequest = !aOptions.echoHeader_.empty();
    const auto echoValue = aRequest.Header(aOptions.echoHeader_);
    for (auto idle = aPool.idle_.end(); idle != aPool.idle_.begin();) {
      --idle;
      if (namesRequest && (*idle)->HasCarried(echoValue)) {
        continue;
      }
      auto connection = *idle;
      idle = aPool.idle_.erase(idle);
      if (!connection->IsStale()) {
        return connection;
      }
      connection->BecomeWitness();
    }
    return nullptr;
  }

  void Fail(ExchangeId aId,
            HttpCallback aCallback,
            std::string aProblem,
            bool aIsSessionEnded = false)
  {
    running_[aId] = {};
    HttpExchange exchange;
    exchange.end_ = ExchangeEnd::NotSent;
    exchange.isLocal_ = true;
    exchange.isSessionEnded_ = aIsSessionEnded;
    exchange.problem_ = std::move(aProblem);
    asio::post(context_,
               [this, aId, callback = std::move(aCallback), exchange = std::move(exchange)] {
                 if (running_.erase(aId) > 0) {
                   callback(exchange);
                 }
               });
  }

  asio::io_context& context_;
  std::size_t maxConnections_;
  // Ends the use of idle connections that may not be reused. The last one may still be a witness.
  static void RetireStale(HttpPool& aPool)
  {
    aPool.idle_.remove_if([](const auto& aConnection) {
      const bool isStale = aConnection->IsStale();
      if (isStale) {
        aConnection->BecomeWitness();
      }
      return isStale;
    });
  }

  // Drops a connection that no longer keeps its session.
  static void PruneWitness(HttpPool& aPool)
  {
    if (aPool.witness_ && (aPool.witness_->IsWitnessExpired() || !aPool.witness_->IsOpen())) {
      aPool.witness_.reset();
    }
  }

  std::shared_ptr<ByteBudget> budget_ = std::make_shared<ByteBudget>(kMaxHeldBytes);
  std::map<std::string, std::shared_ptr<HttpPool>> pools_;
  std::unordered_map<ExchangeId, std::weak_ptr<HttpConnection>> running_;
  std::shared_ptr<SessionNumber> lastSession_ = std::make_shared<SessionNumber>(0);
  ExchangeId lastId_ = 0;
  std::uint64_t lastConnection_ = 0;
};

} // namespace

std::unique_ptr<HttpClient>
HttpClient::Create(asio::io_context& aContext, std::size_t aMaxConnections)
{
  return std::make_unique<BeastHttpClient>(aContext, aMaxConnections);
}

} // namespace latchslip
