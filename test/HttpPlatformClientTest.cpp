// Answers of the table service that break its protocol end as errors of a kind that callers of the
// adapter handle; none ends the process, none is taken for data.

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

// The kind of error with which \a call ends where every answer is \a status with \a body.
std::optional<ErrorKind> errorOf(const Call &call, int status, const std::string &body)
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

TEST(HttpPlatformClientTest, takesAnAnswerWithoutItsFieldsForABadOne)
{
    for (const char *body : {"{}", "[]", "7", "null", "no JSON", R"({"rows":7,"instances":{}})",
                             R"({"rows":[{"key":1}],"instances":[{"instance":1}]})"}) {
        EXPECT_EQ(errorOf(scanRows, 200, body), ErrorKind::MalformedData) << body;
        EXPECT_EQ(errorOf(listInstances, 200, body), ErrorKind::MalformedData) << body;
        EXPECT_EQ(errorOf(readRow, 200, body), ErrorKind::MalformedData) << body;
    }
}

TEST(HttpPlatformClientTest, doesNotKnowWhatBecameOfAWriteWithABadAnswer)
{
    for (const char *body : {"{}", "[]", "no JSON", R"({"version":"x"})"})
        EXPECT_EQ(errorOf(commitWrite, 200, body), ErrorKind::OutcomeUnknown) << body;
    EXPECT_EQ(errorOf(commitWrite, 500, R"({"version":1})"), ErrorKind::OutcomeUnknown);
    EXPECT_EQ(errorOf(putObject, 500, "failed"), ErrorKind::OutcomeUnknown);
}

TEST(HttpPlatformClientTest, takesNoErrorPageForData)
{
    EXPECT_EQ(errorOf(getObject, 500, "error page"), ErrorKind::MalformedData);
    EXPECT_EQ(errorOf(readRow, 500, R"({"key":"a","value":"b","version":1})"),
              ErrorKind::MalformedData);
    EXPECT_EQ(errorOf(scanRows, 500, R"({"rows":[]})"), ErrorKind::MalformedData);
    EXPECT_EQ(errorOf(listInstances, 404, R"({"instances":[]})"), ErrorKind::MalformedData);
}

TEST(HttpPlatformClientTest, tellsAnOutageFromABadAnswer)
{
    EXPECT_EQ(errorOf(scanRows, 503, ""), ErrorKind::PlatformUnavailable);
    EXPECT_EQ(errorOf(commitWrite, 503, ""), ErrorKind::PlatformUnavailable);
    EXPECT_EQ(errorOf(commitWrite, 409, ""), std::nullopt);
    EXPECT_EQ(errorOf(getObject, 404, ""), std::nullopt);
    EXPECT_EQ(errorOf(readRow, 404, ""), std::nullopt);
}
