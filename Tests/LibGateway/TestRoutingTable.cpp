#include "LibGateway/RoutingTable.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

Route
MakeRoute(const std::string& aHost, const std::string& aPrefix, const std::string& aService)
{
  Route route;
  route.host_ = aHost;
  route.pathPrefix_ = aPrefix;
  route.targets_ = { { aService, 1 } };
  return route;
}

class RoutesOfTwoHosts : public testing::Test
{
protected:
  RoutesOfTwoHosts()
  {
    RoutingConfiguration configuration;
    configuration.version_ = 3;
    configuration.services_ = { { "rates", 10, true }, { "bookings", 10, false } };
    configuration.routes_ = { MakeRoute("a.example", "/rates/", "rates"),
                              MakeRoute("a.example", "/rates/old/", "bookings"),
                              MakeRoute("b.example", "/rates/", "bookings") };
    table_ = RouteTable::Create(configuration).value();
  }

  std::string ServiceOf(std::string_view aHost, std::string_view aPath) const
  {
    const auto* route = table_.Match(aHost, aPath);
    return route == nullptr ? "" : route->targets_.front().service_;
  }

  RouteTable table_;
};

TEST_F(RoutesOfTwoHosts, SeveralPrefixesBeginThePath_LongestIsTaken)
{
  EXPECT_EQ(ServiceOf("a.example", "/rates/old/7"), "bookings");
  EXPECT_EQ(ServiceOf("a.example", "/rates/new/7"), "rates");
}

TEST_F(RoutesOfTwoHosts, PrefixEndsWithinASegment_IsNoMatch)
{
  EXPECT_EQ(ServiceOf("a.example", "/rates"), "");
  EXPECT_EQ(ServiceOf("a.example", "/ratesx/1"), "");
}

TEST_F(RoutesOfTwoHosts, HostInOtherCaseOrWithPort_IsTheSameHost)
{
  EXPECT_EQ(ServiceOf("A.Example:8080", "/rates/1"), "rates");
  EXPECT_EQ(ServiceOf("b.example", "/rates/1"), "bookings");
}

TEST_F(RoutesOfTwoHosts, QueryLooksLikeALongerPath_IsLeftOut)
{
  EXPECT_EQ(ServiceOf("a.example", "/other?x=/rates/"), "");
}

TEST_F(RoutesOfTwoHosts, UnknownHost_HasNoRoute)
{
  EXPECT_EQ(ServiceOf("c.example", "/rates/1"), "");
}

TEST(RouteTable, RouteCarriesLargeBodies_AsksForLoadManagement)
{
  RoutingConfiguration configuration;
  configuration.services_ = { { "rates", 10, true } };
  configuration.routes_ = { MakeRoute("a.example", "/rates/", "rates") };
  EXPECT_FALSE(RouteTable::Create(configuration).value().UsesLoadManagement());
  configuration.routes_.front().hasLargeBodies_ = true;
  EXPECT_TRUE(RouteTable::Create(configuration).value().UsesLoadManagement());
}

TEST(RouteTable, RouteNamesUnknownService_IsRefusedWithItsName)
{
  RoutingConfiguration configuration;
  configuration.routes_ = { MakeRoute("a.example", "/x/", "nowhere") };
  const auto table = RouteTable::Create(configuration);
  ASSERT_FALSE(table);
  EXPECT_NE(table.error().Describe().find("nowhere"), std::string::npos);
}

TEST(RouteTable, RouteWithoutTarget_IsRefused)
{
  RoutingConfiguration configuration;
  configuration.routes_ = { Route{} };
  EXPECT_FALSE(RouteTable::Create(configuration));
}

} // namespace

} // namespace latchslip
