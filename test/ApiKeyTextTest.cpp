#include "Core/Accounts/ApiKeyText.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;

namespace {

const ApiKeyText key{ApiKeyId("0123456789ab"), std::string(48, 'c')};

} // namespace

TEST(ApiKeyTextTest, parsesItsOwnText)
{
    const auto parsed = ApiKeyText::parse(key.text());
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->id, key.id);
    EXPECT_EQ(parsed->secret, key.secret);
    EXPECT_FALSE(ApiKeyText::parse(key.text() + "c"));
    EXPECT_FALSE(ApiKeyText::parse("qy_"));
    EXPECT_FALSE(ApiKeyText::parse(""));
}

TEST(ApiKeyTextTest, findsKeysInsideOtherText)
{
    EXPECT_TRUE(ApiKeyText::occursIn("session=qy_; token=" + key.text() + "; path=/"));
    EXPECT_FALSE(ApiKeyText::occursIn("qy_ and qy_0123456789ab_short"));
}
