#include "Core/Accounts/ApiKeyText.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;

namespace {

const ApiKeyText key{ApiKeyId("0123456789ab"), std::string(48, 'c')};

} // namespace

TEST(ApiKeyTextTest, readsWhatItWrites)
{
    const auto read = ApiKeyText::parse(key.text());
    ASSERT_TRUE(read);
    EXPECT_EQ(read->id, key.id);
    EXPECT_EQ(read->secret, key.secret);
    EXPECT_FALSE(ApiKeyText::parse(key.text() + "c"));
    EXPECT_FALSE(ApiKeyText::parse("qy_"));
    EXPECT_FALSE(ApiKeyText::parse(""));
}

TEST(ApiKeyTextTest, findsKeysInsideOtherText)
{
    EXPECT_TRUE(ApiKeyText::occursIn("session=qy_; token=" + key.text() + "; path=/"));
    EXPECT_FALSE(ApiKeyText::occursIn("qy_ and qy_0123456789ab_short"));
}
