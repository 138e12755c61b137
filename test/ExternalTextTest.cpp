#include "Core/ExternalText.h"
#include "Adapters/Metrics.h"
#include "Adapters/StructuredLog.h"
#include "Core/JsonText.h"
#include "Core/StrongTypes.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace quetzalyoke;

// A name that passes the check must not be one that JSON, a header or a log line can't hold.
TEST(ExternalTextTest, acceptsExactlyWhatJsonHeadersAndLogLinesCanHold)
{
    for (int byte = 0; byte < 0x100; ++byte) {
        const std::string text = std::string("a") + static_cast<char>(byte) + "b";
        const bool isPrintableAscii = byte >= 0x20 && byte < 0x7f;
        EXPECT_EQ(isExternalName(text), isPrintableAscii) << byte;
        EXPECT_EQ(makeExternalId<ModelName>(text).has_value(), isPrintableAscii) << byte;
    }
    for (const char *text : {"", "m0", "org/model:7b@3 (x)", "\xc3\xa4", "\xe6\xa8\xa1\xe5\x9e\x8b",
                             "\xf0\x9f\x90\xa6", "\xc2\xa0", "\xf4\x8f\xbf\xbf"})
        EXPECT_TRUE(isExternalName(text)) << text;
    for (const char *text :
         {"\xc3", "\xc3(", "\xc0\xaf", "\xe0\x80\xaf", "\xed\xa0\x80", "\xf4\x90\x80\x80",
          "\xf0\x9f\x90", "\xc2\x85", "\xf8\x88\x80\x80\x80"})
        EXPECT_FALSE(isExternalName(text)) << text;
    EXPECT_TRUE(isExternalName(std::string(200, 'x')));
    EXPECT_FALSE(isExternalName(std::string(201, 'x')));
}

TEST(ExternalTextTest, makesAnyBytesReadable)
{
    for (int byte = 0; byte < 0x100; ++byte) {
        const std::string text = std::string("a") + static_cast<char>(byte) + "b";
        const std::string readable = readableText(text, 100);
        EXPECT_TRUE(isPlainText(readable)) << byte;
        EXPECT_EQ(readable.size(), 3U) << byte;
    }
    EXPECT_EQ(readableText("\xc3\xa4\xff\n", 100), "\xc3\xa4? ");
    EXPECT_EQ(readableText("a\xc3\xa4", 2), "a..."); // no half of a character
    EXPECT_EQ(readableText(std::string(101, 'x'), 100), std::string(100, 'x') + "...");
}

TEST(ExternalTextTest, writesAnyBytesAsJson)
{
    for (int byte = 0; byte < 0x100; ++byte) {
        const nlohmann::json json{{"k", std::string("a") + static_cast<char>(byte)}};
        std::string text;
        EXPECT_NO_THROW(text = dumpJson(json)) << byte;
        EXPECT_TRUE(isUtf8(text)) << byte;
        EXPECT_TRUE(std::none_of(text.begin(), text.end(), [](unsigned char c) {
            return c < 0x20;
        })) << byte;
    }
}

// A value from outside must neither add a line to the log or the metrics nor make them unreadable.
TEST(ExternalTextTest, keepsLogLinesAndMetricsReadable)
{
    std::string all;
    for (int byte = 0; byte < 0x100; ++byte)
        all += static_cast<char>(byte);
    testing::internal::CaptureStdout();
    StructuredLog::start(InstanceId("i"));
    logNotable("test", {{"value", all}, {"short", "\x01"}, {"long", std::string(100'000, 'x')}});
    StructuredLog::stop();
    const std::string line = testing::internal::GetCapturedStdout();
    ASSERT_FALSE(line.empty());
    EXPECT_TRUE(isPlainText(line.substr(0, line.size() - 1))) << line;
    EXPECT_LT(line.size(), 3000U);
    Metrics::incrementCounter("test", {{"label", all}});
    std::string metrics = Metrics::text();
    std::erase(metrics, '\n');
    EXPECT_TRUE(isPlainText(metrics)) << metrics;
}
