#include "Core/Accounts/KeyText.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;

namespace {

const KeyText key{KeyId("0123456789ab"), std::string(48, 'c')};

} // namespace

TEST(KeyTextTest, readsWhatItWrites)
{
    const auto read = KeyText::parse(key.text());
    ASSERT_TRUE(read);
    EXPECT_EQ(read->id, key.id);
    EXPECT_EQ(read->secret, key.secret);
    EXPECT_FALSE(KeyText::parse(key.text() + "c"));
    EXPECT_FALSE(KeyText::parse("qy_"));
    EXPECT_FALSE(KeyText::parse(""));
}

TEST(KeyTextTest, findsKeysInsideOtherText)
{
    EXPECT_TRUE(KeyText::occursIn("session=qy_; token=" + key.text() + "; path=/"));
    EXPECT_FALSE(KeyText::occursIn("qy_ and qy_0123456789ab_short"));
}
