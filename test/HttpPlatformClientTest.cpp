// Responses of the platform's services that violate the protocol must become errors of a kind that
// the client's callers handle: none may end the process or be read as data.

#include "Adapters/HttpPlatformClient.h"

#include "Adapters/HttpServer.h"
#include "Core/Error.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>

using namespace quetzalyoke;

namespace {

using Call = std::function<void(HttpPlatformClient &platform)>;

constexpr std::chrono::milliseconds timeout{500};

// Returns the kind of error that \a call throws if every response is \a status with \a body.
std::optional<ErrorKind> errorKindOf(const Call &call, int status, const std::string &body)
{
    HttpServer server{HttpServerLimits()};
    const auto response = [&](const httplib::Request &, httplib::Response &res) {
        res.status = status;
        res.set_content(body, "application/json");
    };
    server.routes().Get(".*", response);
    server.routes().Post(".*", response);
    server.routes().Put(".*", response);
    server.listen({"127.0.0.1", 0});
    HttpPlatformClient platform("127.0.0.1:" + std::to_string(server.port()), timeout);
    try {
        call(platform);
    } catch (const Error &e) {
        return e.kind();
    }
    return std::nullopt;
}

void readRow(HttpPlatformClient &platform)
{
    platform.read("key");
}

void scanRows(HttpPlatformClient &platform)
{
    platform.scan("prefix", Version(0));
}

void commitWrite(HttpPlatformClient &platform)
{
    platform.commit({{"key", "value", Version(1)}});
}

void getObject(HttpPlatformClient &platform)
{
    platform.get("object");
}

void putObject(HttpPlatformClient &platform)
{
    platform.put("object", "body");
}

void listInstances(HttpPlatformClient &platform)
{
    platform.instances();
}

} // namespace

TEST(HttpPlatformClientTest, throwsMalformedDataForAResponseWithoutItsFields)
{
    for (const char *body : {"{}", "[]", "7", "null", "no JSON", R"({"rows":7,"instances":{}})",
                             R"({"rows":[{"key":1}],"instances":[{"instance":1}]})"}) {
        EXPECT_EQ(errorKindOf(scanRows, 200, body), ErrorKind::MalformedData) << body;
        EXPECT_EQ(errorKindOf(listInstances, 200, body), ErrorKind::MalformedData) << body;
        EXPECT_EQ(errorKindOf(readRow, 200, body), ErrorKind::MalformedData) << body;
    }
}

TEST(HttpPlatformClientTest, throwsOutcomeUnknownForAWriteWithAMalformedResponse)
{
    for (const char *body : {"{}", "[]", "no JSON", R"({"version":"x"})"})
        EXPECT_EQ(errorKindOf(commitWrite, 200, body), ErrorKind::OutcomeUnknown) << body;
    EXPECT_EQ(errorKindOf(commitWrite, 500, R"({"version":1})"), ErrorKind::OutcomeUnknown);
    EXPECT_EQ(errorKindOf(putObject, 500, "failed"), ErrorKind::OutcomeUnknown);
}

TEST(HttpPlatformClientTest, neverReadsAnErrorPageAsData)
{
    EXPECT_EQ(errorKindOf(getObject, 500, "error page"), ErrorKind::MalformedData);
    EXPECT_EQ(errorKindOf(readRow, 500, R"({"key":"a","value":"b","version":1})"),
              ErrorKind::MalformedData);
    EXPECT_EQ(errorKindOf(scanRows, 500, R"({"rows":[]})"), ErrorKind::MalformedData);
    EXPECT_EQ(errorKindOf(listInstances, 404, R"({"instances":[]})"), ErrorKind::MalformedData);
}

TEST(HttpPlatformClientTest, distinguishesAnOutageFromAMalformedResponse)
{
    EXPECT_EQ(errorKindOf(scanRows, 503, ""), ErrorKind::PlatformUnavailable);
    EXPECT_EQ(errorKindOf(commitWrite, 503, ""), ErrorKind::PlatformUnavailable);
    EXPECT_EQ(errorKindOf(commitWrite, 409, ""), std::nullopt);
    EXPECT_EQ(errorKindOf(getObject, 404, ""), std::nullopt);
    EXPECT_EQ(errorKindOf(readRow, 404, ""), std::nullopt);
}
