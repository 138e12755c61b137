#include "platform/ConfigurationDecoder.h"
#include "platform/PlatformProtocol.h"
#include "platform/ServerDecoder.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace quetzalyoke::platform;

namespace {

constexpr const char *configuration = R"({"version":7,
"routes":[{"name":"r1","host":"h.example","prefix":"/a/","kind":"stream","timeout_ms":6000,
"target_latency_ms":1500,"priority":1,"service":"llm","max_attempts":2,"public":false,
"sticky":true,"resumable":true,"target_gap_ms":400},
{"name":"r2","host":"h.example","prefix":"/a/b/","kind":"never-heard-of","timeout_ms":1000,
"traffic_split":[{"service":"llm","weight":90},{"service":"app","weight":10}],"public":true}],
"services":[{"name":"llm","max_conns":360,"engine":{"slots":64,"kv_capacity":234138,
"models":[{"name":"m","mb":72700.0,"load_s":1.2,"disk_s":0.24,"adapters":29,"adapter_mb":66.0}],
"mb":220000.0,"adapter_slots":5,"loads_per_s":1.1}},{"name":"app","max_conns":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000},
"tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,"unit":"tokens","plain_tokens":200,
"rate_per_s":75963,"burst":75963}]})";

constexpr const char *server = R"({"service":"llm","address":"10.128.0.9:8080","zone":"z",
"version":"v1","slots":64,"state":"ready","cold_ms":0,"seq":4,"born":17,
"models":[{"name":"m","version":1,"adapters":["a1"]}]})";

HeaderFields callerFields()
{
    HeaderFields fields;
    fields.set("Host", "h.example");
    fields.set("Attempt-Id", "id-1");
    fields.set("Model", "m/a3");
    fields.set("Token-Count", "1460,80");
    fields.set("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    fields.set("Deadline-Ms", "5000");
    fields.set("Api-Key", "secret");
    return fields;
}

} // namespace

TEST(PlatformDecoderTest, readsRoutesServicesAndAccounts)
{
    const ServingConfigPtr config = decodeConfiguration(configuration);
    EXPECT_EQ(config->version, Version(7));
    const Route *longerRoute = config->findRoute("h.example", "/a/b/c");
    ASSERT_NE(longerRoute, nullptr);
    EXPECT_EQ(longerRoute->name, "r2");
    EXPECT_EQ(longerRoute->kind,
              RouteKind::NonIdempotent); // requests of an unknown kind must not run more than once
    EXPECT_EQ(config->findRoute("h.example", "/a/c")->name, "r1");
    EXPECT_EQ(config->findRoute("h.example", "/ab"), nullptr);
    EXPECT_EQ(config->findRoute("other.example", "/a/c"), nullptr);
    ASSERT_NE(config->findAccount("k2"), nullptr);
    EXPECT_EQ(config->findAccount("k2")->name, AccountId("t"));
    EXPECT_EQ(config->findAccount(""), nullptr);
    const auto &models = config->findService(ServiceName("llm"))->engine->models;
    ASSERT_EQ(models.size(), 1U);
    EXPECT_EQ(models.begin()->second.weightStoreLoadTime, Milliseconds(1200));
    EXPECT_EQ(models.begin()->second.localLoadTime, Milliseconds(240));
    EXPECT_FALSE(config->findService(ServiceName("app"))->engine);
}

TEST(PlatformDecoderTest, rejectsInvalidConfigurationsWithAnError)
{
    for (const char *text : {"", "null", "[]", "{", "{\"version\":1}", "{\"version\":true}",
                             "{\"version\":1,\"routes\":{},\"services\":4}",
                             "{\"version\":1,\"routes\":[{}],\"services\":[]}"}) {
        EXPECT_THROW(decodeConfiguration(text), Error) << text;
    }
}

TEST(PlatformDecoderTest, readsServersAndSkipsEntriesOfOtherWriters)
{
    std::string problem;
    const auto read = decodeListedServer("i-1", server, problem);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->incarnation, Incarnation(17));
    EXPECT_EQ(read->loadedModels.at(ModelName("m")).count(AdapterName("a1")), 1U);
    const std::string good = server;
    const auto with = [&good](const std::string &from, const std::string &to) {
        std::string text = good;
        text.replace(text.find(from), from.size(), to);
        return text;
    };
    for (const std::string &text :
         {std::string("\xff\xfe"), std::string("17"), with("\"ready\"", "\"asleep\""),
          with("\"slots\":64", "\"slots\":\"64\""), with("\"service\":\"llm\",", ""),
          with("10.128.0.9:8080", "nowhere"), with("[\"a1\"]", "[4]")}) {
        EXPECT_FALSE(decodeListedServer("i-1", text, problem)) << text;
    }
}

// Another writer's entry names no server, and must not end the gateway.
TEST(PlatformDecoderTest, skipsEntriesThatAreNestedDeeplyOrHaveNumbersOrPortsOutOfRange)
{
    const std::string deep(100'000, '[');
    const std::string nested = deep + std::string(100'000, ']');
    const auto withField = [](const std::string &before, const std::string &after) {
        std::string text = server;
        return text.replace(text.find(before), before.size(), after);
    };
    std::string problem;
    ASSERT_TRUE(decodeListedServer("i-1", server, problem));
    for (const std::string &text :
         {withField(R"([{"name":"m","version":1,"adapters":["a1"]}])", nested),
          withField(R"("cold_ms":0)", R"("cold_ms":)" + nested), deep,
          withField(R"("slots":64)", R"("slots":4294967296)"),
          withField(R"("slots":64)", R"("slots":9007199254740993)"),
          withField(R"("slots":64)", R"("slots":18446744073709551615)"),
          withField(R"("slots":64)", R"("slots":-1)"),
          withField(R"("slots":64)", R"("slots":1e400)"),
          withField(R"("born":17)", R"("born":18446744073709551615)"),
          withField(R"("born":17)", R"("born":-1)"), withField("10.128.0.9:8080", "10.128.0.9:0"),
          withField("10.128.0.9:8080", "10.128.0.9:65536"),
          withField("10.128.0.9:8080", "10.128.0.9:80x"),
          withField("10.128.0.9:8080", "10.128.0.9:"), withField("10.128.0.9:8080", ":80"),
          withField("10.128.0.9:8080", "nohost:80"),
          withField("10.128.0.9:8080", "10.128.0.999:80")}) {
        EXPECT_FALSE(decodeListedServer("i-1", text, problem)) << text.substr(0, 200);
    }
    EXPECT_FALSE(decodeEngineStatus(R"({"seq":1,"models":)" + nested + "}"));
    EXPECT_FALSE(decodeEngineStatus(R"({"seq":18446744073709551615,"models":[]})"));
    EXPECT_THROW(decodeConfiguration(R"({"version":1,"routes":)" + nested + R"(,"services":[]})"),
                 Error);
    std::string text = configuration;
    const std::string attempts = R"("max_attempts":2)";
    text.replace(text.find(attempts), attempts.size(), R"("max_attempts":4294967298)");
    EXPECT_THROW(decodeConfiguration(text), Error);
}

TEST(PlatformDecoderTest, readsEngineStatuses)
{
    const auto status = decodeEngineStatus(
        R"({"models":[{"name":"m","version":1,"adapters":[]}],"busy":true,"seq":2,"waiting":1,
"running":12,"pending":["m/a3@1"]})");
    ASSERT_TRUE(status);
    EXPECT_TRUE(status->isExecutingOrder);
    EXPECT_EQ(status->acceptedOrders, 2);
    EXPECT_EQ(status->loadingAdapters.count({ModelName("m"), AdapterName("a3")}), 1U);
    EXPECT_TRUE(status->locallyStoredModels.empty());
    const auto withLocalModels = decodeEngineStatus(
        R"({"models":[],"seq":2,"at_hand":{"in_memory":["m"],"on_disk":["m","n"]}})");
    ASSERT_TRUE(withLocalModels);
    EXPECT_EQ(withLocalModels->locallyStoredModels,
              (std::set<ModelName>{ModelName("m"), ModelName("n")}));
    EXPECT_FALSE(decodeEngineStatus(R"({"models":[],"seq":2,"at_hand":{"on_disk":7}})"));
    EXPECT_FALSE(decodeEngineStatus("{}"));
    EXPECT_FALSE(decodeEngineStatus("<html>"));
}

TEST(PlatformDecoderTest, readsRequestHeaders)
{
    std::string problem;
    const auto metadata = PlatformProtocol().parseRequestHeaders(callerFields(), problem);
    ASSERT_TRUE(metadata);
    EXPECT_EQ(metadata->model, ModelName("m"));
    EXPECT_EQ(metadata->adapter, AdapterName("a3"));
    EXPECT_EQ(metadata->promptTokens, Tokens(1460));
    EXPECT_EQ(metadata->promptParts.size(), 3U);
    EXPECT_EQ(metadata->promptParts[2].length, Tokens(250));
}

TEST(PlatformDecoderTest, readsTheIdsOfPromptParts)
{
    std::string problem;
    HeaderFields fields = callerFields();
    fields.set("Prompt-Prefix", "5c1e07a2:800,FFFFFFFFFFFFFFFF:1,1ffffffffffffffff:1,x:1");
    const auto metadata = PlatformProtocol().parseRequestHeaders(fields, problem);
    ASSERT_TRUE(metadata);
    ASSERT_EQ(metadata->promptParts.size(), 4U);
    EXPECT_EQ(metadata->promptParts[0].id, 0x5c1e07a2U);
    EXPECT_EQ(promptPartText(metadata->promptParts[0].id), "5c1e07a2");
    EXPECT_EQ(metadata->promptParts[1].id, 0xffffffffffffffffU);
    // Ids of other forms are told apart, too.
    EXPECT_NE(metadata->promptParts[2].id, metadata->promptParts[3].id);
}

TEST(PlatformDecoderTest, rejectsRepeatedOrInvalidHeaders)
{
    std::string problem;
    HeaderFields twice = callerFields();
    twice.insert("Attempt-Id", "id-2");
    EXPECT_FALSE(PlatformProtocol().parseRequestHeaders(twice, problem));
    for (const char *text : {"-1", "5s", "99999999999999999999", "0x10"}) {
        HeaderFields fields = callerFields();
        fields.set("Deadline-Ms", text);
        EXPECT_FALSE(PlatformProtocol().parseRequestHeaders(fields, problem)) << text;
    }
}

TEST(PlatformDecoderTest, passesOnNeitherKeysNorConnectionHeadersNorReservedOnes)
{
    HeaderFields fields = callerFields();
    fields.set("Connection", "X-Private, Attempt-Id");
    fields.set("X-Private", "1");
    fields.set("X-Public", "2");
    fields.set("Tenant", "somebody-else");
    fields.set("Target-Instance", "i-9");
    fields.set("Hold", "h");
    fields.set("Pin-Ms", "4000");
    fields.set("Transfer-Encoding", "chunked");
    BackendRequestContext context;
    context.server = ServerName("i-1");
    context.account = AccountId("t");
    context.timeLeft = Milliseconds(4990);
    std::string out;
    PlatformProtocol().writeBackendRequestHeaders(fields, context, out);
    EXPECT_EQ(out.find("secret"), std::string::npos);
    EXPECT_EQ(out.find("X-Private"), std::string::npos);
    EXPECT_EQ(out.find("somebody-else"), std::string::npos);
    EXPECT_EQ(out.find("i-9"), std::string::npos);
    EXPECT_EQ(out.find("Hold"), std::string::npos);
    EXPECT_EQ(out.find("Pin-Ms"), std::string::npos);
    EXPECT_EQ(out.find("chunked"), std::string::npos);
    EXPECT_NE(out.find("Attempt-Id: id-1\r\n"), std::string::npos);
    EXPECT_NE(out.find("Tenant: t\r\n"), std::string::npos);
    EXPECT_NE(out.find("Deadline-Ms: 4990\r\n"), std::string::npos);
    EXPECT_NE(out.find("X-Public: 2\r\n"), std::string::npos);
}

TEST(PlatformDecoderTest, readsResponseHeaders)
{
    const PlatformProtocol protocol;
    const RequestId id("id-1");
    HeaderFields fields;
    fields.set("Attempt-Id", "id-1");
    fields.set("Response-Stamp", "s");
    const BackendResponseInfo good = protocol.parseResponseHeaders(200, fields, id);
    EXPECT_TRUE(good.isSigned);
    EXPECT_FALSE(good.isForOtherRequest);
    fields.set("Attempt-Id", "id-0");
    EXPECT_TRUE(protocol.parseResponseHeaders(200, fields, id).isForOtherRequest);
    fields.set("Attempt-Id", "id-1");
    fields.set("Not-Executed", "1");
    EXPECT_TRUE(protocol.parseResponseHeaders(503, fields, id).notRun);
    EXPECT_FALSE(protocol.parseResponseHeaders(200, HeaderFields(), id).isSigned);
}

TEST(PlatformDecoderTest, readsThatAServerIsLeaving)
{
    const PlatformProtocol protocol;
    HeaderFields fields;
    fields.set("Attempt-Id", "id-1");
    EXPECT_FALSE(protocol.parseResponseHeaders(200, fields, RequestId("id-1")).isLeaving);
    fields.set("Server-Leaving", "1");
    EXPECT_TRUE(protocol.parseResponseHeaders(200, fields, RequestId("id-1")).isLeaving);
    EXPECT_TRUE(protocol.parseResponseHeaders(503, fields, RequestId("id-1")).isLeaving);
    // A response to another request, and one that any server at this address may have sent.
    EXPECT_FALSE(protocol.parseResponseHeaders(200, fields, RequestId("id-2")).isLeaving);
    EXPECT_FALSE(protocol.parseResponseHeaders(421, fields, RequestId("id-1")).isLeaving);
    fields.erase("Attempt-Id");
    EXPECT_FALSE(protocol.parseResponseHeaders(200, fields, RequestId("id-1")).isLeaving);
    fields.set("Attempt-Id", "id-1");
    fields.set("Server-Leaving", "0");
    EXPECT_FALSE(protocol.parseResponseHeaders(200, fields, RequestId("id-1")).isLeaving);
}

TEST(PlatformDecoderTest, readsThePauseThatAServerAsksFor)
{
    const PlatformProtocol protocol;
    const auto parse = [&protocol](int status, const char *text) {
        HeaderFields fields;
        fields.set("Attempt-Id", "id-1");
        fields.set("Retry-After", text);
        return protocol.parseResponseHeaders(status, fields, RequestId("id-1"));
    };
    const auto pause = [&](int status, const char *text) { return parse(status, text).backoff; };
    const auto hasInvalidPause
        = [&](int status, const char *text) { return parse(status, text).hasInvalidBackoff; };
    EXPECT_EQ(pause(503, "2"), Milliseconds(2000));
    EXPECT_EQ(pause(503, "0.125"), Milliseconds(125));
    EXPECT_FALSE(pause(429, "2"));
    EXPECT_FALSE(hasInvalidPause(503, "2"));
    EXPECT_TRUE(hasInvalidPause(503, "soon"));
    EXPECT_FALSE(hasInvalidPause(200, "soon"));
    EXPECT_FALSE(pause(200, "2"));
    for (const char *text : {"", "soon", "-1", "nan", "inf", "0x10", "1e3x", "Fri, 04 Dec 2026"})
        EXPECT_FALSE(pause(503, text)) << text;
    // Longer pauses are reduced to the maximum.
    EXPECT_EQ(pause(503, "1e9"), pause(503, "100000"));
    EXPECT_GE(pause(503, "1e9"), Milliseconds(60'000));
}

TEST(PlatformDecoderTest, readsTheRequestLimitThatAServerStates)
{
    const PlatformProtocol protocol;
    const auto parse = [&protocol](int status, const char *text, const char *id) {
        HeaderFields fields;
        fields.set("Attempt-Id", id);
        fields.set("Server-Limit", text);
        return protocol.parseResponseHeaders(status, fields, RequestId("id-1"));
    };
    EXPECT_EQ(parse(200, "1.25", "id-1").requestLimit, RequestRate(1.25));
    EXPECT_EQ(parse(503, "0.05", "id-1").requestLimit, RequestRate(0.05));
    EXPECT_EQ(parse(200, "0", "id-1").requestLimit, RequestRate(0));
    // A response to another request, and one that any server at this address may have sent.
    EXPECT_FALSE(parse(200, "1", "id-2").requestLimit);
    EXPECT_FALSE(parse(421, "1", "id-1").requestLimit);
    for (const char *text : {"", "few", "-1", "nan", "inf", "1/s"}) {
        EXPECT_FALSE(parse(200, text, "id-1").requestLimit) << text;
        EXPECT_TRUE(parse(200, text, "id-1").hasInvalidRequestLimit) << text;
        EXPECT_FALSE(parse(200, text, "id-1").mayEndRequestLimit) << text;
    }
}

TEST(PlatformDecoderTest, endsARequestLimitOnlyByTheServersOwnResponse)
{
    const PlatformProtocol protocol;
    HeaderFields fields;
    fields.set("Attempt-Id", "id-1");
    EXPECT_FALSE(protocol.parseResponseHeaders(200, fields, RequestId("id-1")).mayEndRequestLimit);
    fields.set("Response-Stamp", "s");
    EXPECT_TRUE(protocol.parseResponseHeaders(200, fields, RequestId("id-1")).mayEndRequestLimit);
    EXPECT_FALSE(protocol.parseResponseHeaders(503, fields, RequestId("id-1")).mayEndRequestLimit);
    EXPECT_FALSE(protocol.parseResponseHeaders(421, fields, RequestId("id-1")).mayEndRequestLimit);
    EXPECT_FALSE(protocol.parseResponseHeaders(200, fields, RequestId("id-2")).mayEndRequestLimit);
    EXPECT_FALSE(protocol.parseEngineResponseHeaders(200, fields).mayEndRequestLimit);
}

TEST(PlatformDecoderTest, readsHowLongAServerStaysCold)
{
    const PlatformProtocol protocol;
    const auto parse = [&protocol](int status, const char *text, const char *id) {
        HeaderFields fields;
        fields.set("Attempt-Id", id);
        fields.set("Cold-Ms", text);
        return protocol.parseResponseHeaders(status, fields, RequestId("id-1"));
    };
    EXPECT_EQ(parse(200, "8000", "id-1").coldTime, Milliseconds(8000));
    EXPECT_EQ(parse(503, "0.2", "id-1").coldTime, Milliseconds(1));
    EXPECT_EQ(parse(200, "0", "id-1").coldTime, Milliseconds(0));
    EXPECT_EQ(parse(200, "600000", "id-1").coldTime, Milliseconds(600'000));
    // A response to another request, and one that any server at this address may have sent.
    EXPECT_FALSE(parse(200, "8000", "id-2").coldTime);
    EXPECT_FALSE(parse(421, "8000", "id-1").coldTime);
    EXPECT_FALSE(parse(421, "few", "id-1").hasInvalidColdTime);
    for (const char *text : {"", "few", "-1", "nan", "inf", "8 s", "600001", "1e300"}) {
        EXPECT_FALSE(parse(200, text, "id-1").coldTime) << text;
        EXPECT_TRUE(parse(200, text, "id-1").hasInvalidColdTime) << text;
    }
    HeaderFields status;
    status.set("Cold-Ms", "500");
    EXPECT_EQ(protocol.parseEngineResponseHeaders(200, status).coldTime, Milliseconds(500));
    EXPECT_FALSE(protocol.parseEngineResponseHeaders(200, HeaderFields()).coldTime);
}

// A bad time must neither make the server unusable nor count as a statement that it is warm.
TEST(PlatformDecoderTest, readsTheColdTimeOfAnEntry)
{
    const auto decode = [](const std::string &time) {
        std::string text = server;
        const std::string field = R"("cold_ms":0,)";
        text.replace(text.find(field), field.size(),
                     time.empty() ? "" : "\"cold_ms\":" + time + ",");
        std::string problem;
        return *decodeListedServer("engine-1", text, problem);
    };
    EXPECT_EQ(decode("0").coldTime, Duration(0));
    EXPECT_EQ(decode("8000").coldTime, Duration(8'000'000));
    EXPECT_EQ(decode("12.5").coldTime, Duration(12'500));
    EXPECT_EQ(decode("600000").coldTime, Duration(600'000'000));
    EXPECT_FALSE(decode("").coldTime);
    EXPECT_FALSE(decode("").hasInvalidColdTime);
    EXPECT_FALSE(decode("null").coldTime);
    EXPECT_FALSE(decode("null").hasInvalidColdTime);
    for (const char *time :
         {"-1", "600001", "1e300", "18446744073709551615", "\"8000\"", "true", "[1]", "{}"}) {
        EXPECT_FALSE(decode(time).coldTime) << time;
        EXPECT_TRUE(decode(time).hasInvalidColdTime) << time;
    }
}

TEST(PlatformDecoderTest, readsTheLimitsForColdServers)
{
    const auto decode = [](const std::string &fields) {
        std::string text = configuration;
        const std::string field = R"("max_conns":360,)";
        text.replace(text.find(field), field.size(), field + fields);
        return decodeConfiguration(text);
    };
    const auto config = decode(R"("cold_start_s":12.5,"cold_per_s":6.9,)");
    const ServiceSpec &service = *config->findService(ServiceName("llm"));
    EXPECT_EQ(service.coldRequestsPerSecond, 6.9);
    EXPECT_EQ(service.coldStartTime, Milliseconds(12'500));
    EXPECT_TRUE(config->problems.empty());
    EXPECT_EQ(config->findService(ServiceName("app"))->coldRequestsPerSecond, 0);
    EXPECT_EQ(config->findService(ServiceName("app"))->coldStartTime, Milliseconds(0));
    // The rest of the configuration stays usable.
    for (const char *value : {"-1", "\"6\"", "true", "1e300", "[]"}) {
        std::string fields = R"("cold_start_s":)";
        fields.append(value).append(R"(,"cold_per_s":)").append(value).append(",");
        const auto bad = decode(fields);
        EXPECT_EQ(bad->findService(ServiceName("llm"))->coldRequestsPerSecond, 0) << value;
        EXPECT_EQ(bad->findService(ServiceName("llm"))->coldStartTime, Milliseconds(0)) << value;
        EXPECT_EQ(bad->problems.size(), 2U) << value;
    }
}

TEST(PlatformDecoderTest, readsTheLoadThatAServerStates)
{
    const PlatformProtocol protocol;
    const auto load = [&protocol](int status, const char *text, const char *id) {
        HeaderFields fields;
        fields.set("Attempt-Id", id);
        fields.set("Server-Load", text);
        return protocol.parseResponseHeaders(status, fields, RequestId("id-1")).load;
    };
    EXPECT_EQ(load(200, "3,0,8", "id-1"), (ReportedLoad{3, 0}));
    EXPECT_EQ(load(503, "8,4,8", "id-1"), (ReportedLoad{8, 4}));
    EXPECT_FALSE(load(200, "3,0,8", "id-2"));
    EXPECT_FALSE(load(421, "3,0,8", "id-1"));
    for (const char *text : {"", "3", "3,0", "x,0,8", "-1,0,8", "3,,8", "99999999999,0,8"})
        EXPECT_FALSE(load(200, text, "id-1")) << text;
}

namespace {

// Every byte but those that no parsed header holds: a line break ends it.
std::vector<std::string> textsWithEachByte(const std::string &before, const std::string &after)
{
    std::vector<std::string> texts;
    for (int byte = 0; byte < 0x100; ++byte) {
        if (byte == '\r' || byte == '\n')
            continue;
        std::string text = before;
        text += static_cast<char>(byte);
        text += after;
        texts.push_back(std::move(text));
    }
    return texts;
}

} // namespace

// An adapter of one byte that is no UTF-8 ended the process that ordered it to be loaded.
TEST(PlatformDecoderTest, rejectsHeadersThatAreNoNamesAndTellsWhich)
{
    for (const char *name : {"Model", "Attempt-Id", "Api-Key", "Resumes"}) {
        const std::string before = std::string_view(name) == "Model" ? "m0/" : "x";
        for (const std::string &text : textsWithEachByte(before, "y")) {
            HeaderFields fields = callerFields();
            fields.set(name, text);
            std::string problem;
            const auto metadata = PlatformProtocol().parseRequestHeaders(fields, problem);
            const auto byte = static_cast<unsigned char>(text[before.size()]);
            EXPECT_EQ(metadata.has_value(), byte >= 0x20 && byte < 0x7f)
                << name << ' ' << int(byte);
            EXPECT_EQ(problem.find(name) != std::string::npos, !metadata) << problem;
        }
        HeaderFields fields = callerFields();
        std::string problem;
        fields.set(name, "");
        EXPECT_TRUE(PlatformProtocol().parseRequestHeaders(fields, problem)) << name;
        fields.set(name, std::string(5000, 'x'));
        EXPECT_FALSE(PlatformProtocol().parseRequestHeaders(fields, problem)) << name;
        EXPECT_NE(problem.find(name), std::string::npos) << problem;
        fields.set(name, std::string(200, 'x'));
        EXPECT_TRUE(PlatformProtocol().parseRequestHeaders(fields, problem)) << name;
        fields.set(name, "\xe6\xa8\xa1\xe5\x9e\x8b \xc3\xa4");
        EXPECT_TRUE(PlatformProtocol().parseRequestHeaders(fields, problem)) << name;
    }
    for (const char *model : {"\xff", "\xff/a", "m/\xff", "m/\x7f"}) {
        HeaderFields fields = callerFields();
        std::string problem;
        fields.set("Model", model);
        EXPECT_FALSE(PlatformProtocol().parseRequestHeaders(fields, problem));
        EXPECT_NE(problem.find("Model"), std::string::npos) << problem;
    }
}

TEST(PlatformDecoderTest, rejectsNumbersThatCanNotBeCalculatedWith)
{
    const auto parse = [](const char *name, const std::string &text, std::string &problem) {
        HeaderFields fields = callerFields();
        fields.set(name, text);
        return PlatformProtocol().parseRequestHeaders(fields, problem);
    };
    std::string problem;
    for (const char *text :
         {"9223372036854775807,1", "1,9223372036854775807", "99999999999999999999,1", "-1,1",
          "1,-1", "1", ",", "1,", "1,2,3", "1.5,2", "0x10,1", "1, 2"}) {
        problem.clear();
        EXPECT_FALSE(parse("Token-Count", text, problem)) << text;
        EXPECT_NE(problem.find("Token-Count"), std::string::npos) << problem;
    }
    EXPECT_TRUE(parse("Token-Count", "10000000,10000000", problem));
    for (const char *text : {"5:-1", "1:2,5:-1", "5:9223372036854775807", "5:99999999999999999999",
                             "5:-99999999999999999999"}) {
        problem.clear();
        EXPECT_FALSE(parse("Prompt-Prefix", text, problem)) << text;
        EXPECT_NE(problem.find("Prompt-Prefix"), std::string::npos) << problem;
    }
    EXPECT_TRUE(parse("Prompt-Prefix", "x,5:,:,:7,5:x,,5:10000000", problem));
    for (const std::string &text : textsWithEachByte("5:1", "1"))
        parse("Prompt-Prefix", text, problem);
    for (const std::string &text : textsWithEachByte("1", "1")) {
        const bool isNumber = std::isdigit(static_cast<unsigned char>(text[1])) != 0;
        problem.clear();
        EXPECT_EQ(parse("Deadline-Ms", text, problem).has_value(), isNumber) << text;
        EXPECT_EQ(problem.find("Deadline-Ms") != std::string::npos, !isNumber) << problem;
        EXPECT_EQ(parse("Token-Count", text + ",1", problem).has_value(), isNumber) << text;
    }
    // A deadline that is later than any route's is one, too: the route's is in force.
    const auto metadata = parse("Deadline-Ms", "9223372036854775807", problem);
    ASSERT_TRUE(metadata);
    EXPECT_GT(Duration(*metadata->timeLeft), Duration(std::chrono::hours(1)));
}

// Names that the check of a caller's headers doesn't see must not end the process either.
TEST(PlatformDecoderTest, writesAnOrderWithAnyName)
{
    for (const std::string &text : textsWithEachByte("a", "b")) {
        ConditionalEngineOrder order;
        order.server = ServerName("i-1");
        order.model = ModelName(text);
        order.adapter = AdapterName(text);
        order.holder = text;
        EXPECT_NO_THROW(PlatformProtocol().engineOrderRequest(order, "10.0.0.1:80"));
    }
}

// Names from rows become headers of requests and parts of orders. JSON can hold any control
// character, and so a line break in a header.
TEST(PlatformDecoderTest, rejectsRowsWithNamesThatAreNone)
{
    const auto replaced = [](std::string text, const std::string &from, const std::string &to) {
        return text.replace(text.find(from), from.size(), to);
    };
    std::string problem;
    ASSERT_TRUE(decodeListedServer(std::string(200, 'x'), server, problem));
    for (const std::string &bad :
         {std::string("a\\r\\nX: y"), std::string("\\u0000"), std::string("\\u007f"),
          std::string("\\u0085"), std::string("\xff"), std::string(201, 'x')}) {
        const std::string quoted = '"' + bad + '"';
        for (const char *name : {"\"llm\"", "\"z\"", "\"m\"", "\"a1\"", "\"10.128.0.9:8080\""}) {
            EXPECT_FALSE(decodeListedServer("i-1", replaced(server, name, quoted), problem))
                << name << ' ' << bad;
        }
        const std::string host = R"("10.128.0.9)" + bad + R"(:8080")";
        EXPECT_FALSE(
            decodeListedServer("i-1", replaced(server, "\"10.128.0.9:8080\"", host), problem));
        for (const char *name : {"\"r1\"", "\"llm\"", "\"m\"", "\"t\"", "\"app\""})
            EXPECT_THROW(decodeConfiguration(replaced(configuration, name, quoted)), Error)
                << name << ' ' << bad;
        const std::string report = R"({"seq":2,"models":[{"name":"m","adapters":["a"]}],)"
                                   R"("at_hand":{"on_disk":["n"]},"pending":["m/b@1"]})";
        ASSERT_TRUE(decodeEngineStatus(report));
        for (const char *name : {"\"m\"", "\"a\"", "\"n\""})
            EXPECT_FALSE(decodeEngineStatus(replaced(report, name, quoted))) << name << ' ' << bad;
        EXPECT_FALSE(decodeEngineStatus(replaced(report, "m/b", "m/" + bad))) << bad;
        EXPECT_FALSE(decodeEngineStatus(replaced(report, "m/b", bad + "/b"))) << bad;
    }
    for (int byte = 0; byte < 0x100; ++byte) {
        const std::string key = std::string("i-") + static_cast<char>(byte);
        EXPECT_EQ(decodeListedServer(key, server, problem).has_value(), byte >= 0x20 && byte < 0x7f)
            << byte;
    }
    EXPECT_FALSE(decodeListedServer(std::string(201, 'x'), server, problem));
}

// A pace that can't be read must neither be believed nor cost the rest of the stated load.
TEST(PlatformDecoderTest, readsThePaceThatAServerStates)
{
    const PlatformProtocol protocol;
    const auto load = [&protocol](const std::string &pace) {
        HeaderFields fields;
        fields.set("Attempt-Id", "id-1");
        fields.set("Server-Load", "3,1,8" + pace);
        return protocol.parseResponseHeaders(200, fields, RequestId("id-1")).load;
    };
    EXPECT_EQ(load(",250"), (ReportedLoad{3, 1, 250}));
    EXPECT_EQ(load(",55"), (ReportedLoad{3, 1, 55}));
    EXPECT_EQ(load(",250,7"), (ReportedLoad{3, 1, 250}));
    for (const char *text : {"", ",", ",,", ",0", ",-100", ",4", ",5001", ",1e9", ",nan", ",inf",
                             ",x", ",100x", ", 100", ",99999999999999999999"})
        EXPECT_EQ(load(text), (ReportedLoad{3, 1})) << text;
}
