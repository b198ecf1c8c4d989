#include "http_message.h"

#include <charconv>
#include <strings.h>

namespace tamarack {

namespace {

std::string decode_component(std::string_view text) {
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t at = 0; at < text.size(); ++at) {
        unsigned value = 0;
        const char* const first = text.data() + at + 1;
        const bool encoded = text[at] == '%' && at + 2 < text.size() &&
                             std::from_chars(first, first + 2, value, 16).ptr == first + 2;
        if (!encoded) {
            decoded.push_back(text[at]);
            continue;
        }
        decoded.push_back(static_cast<char>(value));
        at += 2;
    }
    return decoded;
}

template <typename Handler>
void for_each_part(std::string_view text, char separator, Handler handler) {
    while (!text.empty()) {
        const std::size_t end = text.find(separator);
        const std::string_view part = text.substr(0, end);
        if (!part.empty()) {
            handler(part);
        }
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
}

} // namespace

std::string_view find_field(const http_fields& fields, std::string_view name) {
    for (const auto& [listed, value] : fields) {
        if (listed.size() == name.size() && strncasecmp(listed.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return {};
}

std::string_view request_target::parameter(std::string_view name) const {
    for (const auto& [listed, value] : query) {
        if (listed == name) {
            return value;
        }
    }
    return {};
}

request_target split_target(std::string_view target) {
    request_target split;
    const std::size_t question = target.find('?');
    for_each_part(target.substr(0, question), '/',
                  [&](std::string_view part) { split.path.push_back(decode_component(part)); });
    if (question == std::string_view::npos) {
        return split;
    }
    for_each_part(target.substr(question + 1), '&', [&](std::string_view part) {
        const std::size_t equals = part.find('=');
        const std::string_view value =
            equals == std::string_view::npos ? std::string_view{} : part.substr(equals + 1);
        split.query.emplace_back(decode_component(part.substr(0, equals)), decode_component(value));
    });
    return split;
}

std::string encode_component(std::string_view text) {
    constexpr std::string_view unreserved =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char letter : text) {
        if (unreserved.find(letter) != std::string_view::npos) {
            encoded.push_back(letter);
            continue;
        }
        const auto byte = static_cast<unsigned char>(letter);
        encoded.push_back('%');
        encoded.push_back(digits[byte >> 4U]);
        encoded.push_back(digits[byte & 0x0fU]);
    }
    return encoded;
}

} // namespace tamarack
