#include "bth/fleet/compression.h"

#include <algorithm>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using bth::fleet::deflate;
using bth::fleet::inflate;

constexpr std::size_t limit = 1 << 20;

std::string repetitive(std::size_t rows)
{
    std::string text;
    for (std::size_t row = 0; row < rows; ++row) {
        text += R"({"host":"shop.example","pathPrefix":"/)" + std::to_string(row) + "/\"}";
    }
    return text;
}

} // namespace

TEST_GROUP(compression){};

TEST(compression, inflating_restores_the_deflated_bytes)
{
    for (const auto& text : {std::string{}, std::string{"a"}, repetitive(10), repetitive(5000)}) {
        CHECK(inflate(deflate(text), limit) == text);
    }
}

// The bit position at which a deflated stream ends within its last byte depends on the text, and
// with it how the inflater finds the end of the stream.
TEST(compression, texts_of_any_length_and_alphabet_are_restored)
{
    constexpr std::size_t texts = 3000;
    constexpr std::size_t max_bytes = 3000;
    std::mt19937_64 random{20};
    for (std::size_t each = 0; each < texts; ++each) {
        std::string text(random() % max_bytes, '\0');
        const auto variety = 1 + random() % 256;
        std::generate(text.begin(), text.end(),
                      [&] { return static_cast<char>(random() % variety); });
        CHECK(inflate(deflate(text), limit) == text);
    }
}

TEST(compression, repetitive_text_shrinks_to_a_fifth_or_less)
{
    const auto text = repetitive(300);
    CHECK(deflate(text).size() * 5 < text.size());
}

TEST(compression, damaged_or_oversized_data_is_rejected)
{
    const auto bytes = deflate(repetitive(5000));
    CHECK_FALSE(inflate(bytes, 1000).has_value());
    CHECK_FALSE(inflate(bytes.substr(0, bytes.size() / 2), limit).has_value());
    CHECK_FALSE(inflate("damaged", limit).has_value());
    CHECK_FALSE(inflate("", limit).has_value());
    CHECK_FALSE(inflate(bytes + "more", limit).has_value());
}
