#include <tamarack_base/tamarack_base.h>

#include <gtest/gtest.h>

namespace tamarack {
namespace {

std::string long_text() {
    std::string text;
    for (int line = 0; line < 3'000; ++line) {
        text += "{\"name\":\"route-" + std::to_string(line) + "\",\"timeout_ms\":800},";
    }
    return text;
}

TEST(compressed_text, round_trips_unchanged) {
    for (const std::string& text : {std::string{}, std::string{"a"}, std::string{"\0\xff", 2}, long_text()}) {
        const auto back = decompress_text(compress_text(text), 8 * mebibyte);
        ASSERT_TRUE(succeeded(back));
        EXPECT_EQ(value_of(back), text);
    }
}

TEST(compressed_text, compresses_many_routes_to_a_fifth_at_most) {
    EXPECT_LT(compress_text(long_text()).size() * 5, long_text().size());
}

TEST(compressed_text, rejects_damaged_and_oversized_texts) {
    const std::string compressed = compress_text(long_text());
    EXPECT_FALSE(succeeded(decompress_text(compressed.substr(0, compressed.size() / 2), 8 * mebibyte)));
    std::string changed = compressed;
    changed[changed.size() / 2] = changed[changed.size() / 2] == 'A' ? 'B' : 'A';
    EXPECT_FALSE(succeeded(decompress_text(changed, 8 * mebibyte)));
    EXPECT_FALSE(succeeded(decompress_text("not base64!", 8 * mebibyte)));
    EXPECT_FALSE(succeeded(decompress_text("", 8 * mebibyte)));
    EXPECT_FALSE(succeeded(decompress_text(compressed, 1'000)));
}

} // namespace
} // namespace tamarack
