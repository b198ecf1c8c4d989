#include "operator_tokens.h"

#include <openssl/crypto.h>

#include <fstream>
#include <sstream>
#include <utility>

namespace tamarack {

namespace {

constexpr std::string_view scheme = "Bearer ";

/** Compares digests in constant time, so that the time taken reveals neither length nor content of a token.
 */
bool equal_in_constant_time(const digest& left, const digest& right) {
    return left.hex().size() == right.hex().size() &&
           CRYPTO_memcmp(left.hex().data(), right.hex().data(), left.hex().size()) == 0;
}

} // namespace

outcome<operator_tokens> operator_tokens::parse(const std::string& text) {
    operator_tokens tokens;
    tokens.m_allows_all = false;
    std::istringstream lines{text};
    std::string line;
    for (int number = 1; std::getline(lines, line); ++number) {
        if (line.empty() || line.front() == '#') {
            continue;
        }
        std::istringstream words{line};
        std::string name;
        std::string token;
        std::string excess;
        if (!(words >> name >> token) || (words >> excess)) {
            return error{error_code::malformed,
                         "line " + std::to_string(number) + " of the token file must be a name and a token"};
        }
        tokens.m_tokens.push_back({std::move(name), digest_of(token)});
    }
    return tokens;
}

outcome<operator_tokens> operator_tokens::read_file(const std::string& path) {
    if (path.empty()) {
        return operator_tokens{};
    }
    std::ifstream file{path};
    if (!file) {
        return error{error_code::input_output, "can't read the token file " + path};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse(text.str());
}

std::optional<std::string> operator_tokens::find(std::string_view authorization) const {
    if (m_allows_all) {
        return std::string{};
    }
    if (!authorization.starts_with(scheme)) {
        return std::nullopt;
    }
    const digest given = digest_of(authorization.substr(scheme.size()));
    std::optional<std::string> found;
    for (const known_token& known : m_tokens) {
        if (equal_in_constant_time(known.token, given)) {
            found = known.name;
        }
    }
    return found;
}

} // namespace tamarack
