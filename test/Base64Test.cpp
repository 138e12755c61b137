#include "Adapters/Base64.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;

TEST(Base64Test, decodesWhatItEncodes)
{
    std::string bytes;
    for (int byte = 0; byte < 0x100; ++byte) {
        EXPECT_EQ(decodeBase64(encodeBase64(bytes)), bytes);
        bytes += static_cast<char>(byte);
    }
}

// A row's value may be any text. Without its padding, more bytes were decoded than there was room
// for; the sanitizer build shows this.
TEST(Base64Test, decodesTextsWithoutPaddingAndOtherTexts)
{
    for (std::size_t size = 0; size < 300; ++size) {
        const std::string bytes(size, 'x');
        std::string text = encodeBase64(bytes);
        while (!text.empty() && text.back() == '=')
            text.pop_back();
        EXPECT_EQ(decodeBase64(text), bytes) << size;
        decodeBase64(text + "\xff");
        decodeBase64("=" + text);
        decodeBase64(std::string(size, '='));
    }
}
