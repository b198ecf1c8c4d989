#pragma once

#include <tamarack_base/tamarack_base.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/**
 * Bearer tokens of operators, each with the operator's name, which is recorded as the author of tickets.
 *
 * A token file has one line per operator: the name, a space, the token. Empty lines and lines that start
 * with `#` are ignored.
 */
class operator_tokens {
public:
    /** Accepts every request, under an empty name. */
    operator_tokens() = default;

    /** @return the tokens, or a parse error; a file without tokens rejects every request */
    static outcome<operator_tokens> parse(const std::string& text);

    /** @return the tokens of a file, or a read or parse error; an empty path accepts every request */
    static outcome<operator_tokens> read_file(const std::string& path);

    /**
     * Identifies the sender of a request, in a time that does not depend on the content of the tokens.
     *
     * @param authorization  value of the Authorization field
     * @return the operator's name, or nullopt if the token is missing or unknown
     */
    std::optional<std::string> find(std::string_view authorization) const;

private:
    struct known_token {
        std::string name;
        digest token;
    };

    bool m_allows_all = true;
    std::vector<known_token> m_tokens;
};

} // namespace tamarack
