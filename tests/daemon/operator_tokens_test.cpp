#include "operators/operator_tokens.h"

#include <gtest/gtest.h>

#include <string>

namespace tamarack {
namespace {

TEST(operator_tokens, accepts_every_request_without_a_file) {
    const auto tokens = operator_tokens::read_file("");
    ASSERT_TRUE(succeeded(tokens));
    EXPECT_EQ(value_of(tokens).find(""), std::string{});
}

TEST(operator_tokens, finds_the_name_of_a_known_token_only) {
    const auto tokens = operator_tokens::parse("# operators\nfirst secret-1\n\nsecond secret-2\n");
    ASSERT_TRUE(succeeded(tokens));
    EXPECT_EQ(value_of(tokens).find("Bearer secret-2"), "second");
    EXPECT_EQ(value_of(tokens).find("Bearer secret-3"), std::nullopt);
    EXPECT_EQ(value_of(tokens).find("Bearer secret-22"), std::nullopt);
    EXPECT_EQ(value_of(tokens).find("secret-1"), std::nullopt);
    EXPECT_EQ(value_of(tokens).find(""), std::nullopt);
}

TEST(operator_tokens, rejects_every_request_with_an_empty_file) {
    const auto tokens = operator_tokens::parse("");
    ASSERT_TRUE(succeeded(tokens));
    EXPECT_EQ(value_of(tokens).find("Bearer "), std::nullopt);
}

TEST(operator_tokens, refuses_malformed_lines) {
    EXPECT_FALSE(succeeded(operator_tokens::parse("only-a-name\n")));
    EXPECT_FALSE(succeeded(operator_tokens::parse("name token more\n")));
    EXPECT_FALSE(succeeded(operator_tokens::read_file("/no/such/file")));
}

} // namespace
} // namespace tamarack
