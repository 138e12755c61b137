#include "Serving/Requests/EventScanner.h"

#include <gtest/gtest.h>

#include <ctime>

using namespace quetzalyoke;

TEST(EventScannerTest, givesWholeEventsOnlyHoweverTheyArrive)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c";
    for (std::size_t piece = 1; piece <= stream.size(); ++piece) {
        EventScanner scanner;
        std::string out;
        for (std::size_t at = 0; at < stream.size(); at += piece)
            out += scanner.take(std::string_view(stream).substr(at, piece));
        EXPECT_EQ(out, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n") << "piece " << piece;
        EXPECT_EQ(scanner.lastId(), "2");
        EXPECT_EQ(scanner.events(), 2U);
        EXPECT_EQ(scanner.rest(), "id: 3\ndata: c");
    }
}

TEST(EventScannerTest, goesOnWithAnotherStream)
{
    EventScanner scanner;
    scanner.take("id: 1\ndata: a\n\nid: 2\nda");
    scanner.dropRest();
    EXPECT_EQ(scanner.take("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(scanner.lastId(), "2");
}

// A server in trouble may send bytes that never end an event.
TEST(EventScannerTest, keepsNoMoreOfAnEventThanItsBound)
{
    constexpr std::size_t most = 1000;
    EventScanner scanner(most);
    EXPECT_EQ(scanner.take("id: 1\ndata: x\n\n"), "id: 1\ndata: x\n\n");
    EXPECT_TRUE(scanner.take(std::string(most, 'x')).empty());
    EXPECT_FALSE(scanner.isOverlong());
    EXPECT_TRUE(scanner.take("x").empty());
    EXPECT_TRUE(scanner.isOverlong());
    EXPECT_TRUE(scanner.take(std::string(10 * most, 'x')).empty());
    EXPECT_LE(scanner.rest().size(), most);
    EXPECT_EQ(scanner.lastId(), "1");
    scanner.dropRest();
    EXPECT_FALSE(scanner.isOverlong());
    EXPECT_EQ(scanner.take("id: 2\n\n"), "id: 2\n\n");
}

// Bytes that come one by one are looked at once, not again with each that follows.
TEST(EventScannerTest, takesTimeInProportionToItsBytes)
{
    constexpr std::size_t bytes = 400'000;
    EventScanner scanner(bytes);
    const std::clock_t begin = std::clock();
    for (std::size_t i = 0; i < bytes; ++i)
        scanner.take("x");
    const double seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    // A microsecond a byte; looking at all of them again each time takes minutes.
    EXPECT_LT(seconds, static_cast<double>(bytes) * 1e-6);
    EXPECT_EQ(scanner.take("\n\n").size(), bytes + 2);
}
