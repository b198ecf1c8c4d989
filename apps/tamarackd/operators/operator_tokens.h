#pragma once

#include <tamarack_base/tamarack_base.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/**
 * Bearer tokens of operators, each with the name under which its tickets are recorded.
 *
 * A token file has a line for each operator: the name, a space, the token. Empty lines and lines that begin
 * with `#` are skipped.
 */
class operator_tokens {
public:
    /** Lets everybody in, without a name. */
    operator_tokens() = default;

    /** @return the tokens, or what is wrong with the text; a file without tokens lets nobody in */
    static outcome<operator_tokens> parse(const std::string& text);

    /** @return the tokens of a file, or why it can't be read */
    static outcome<operator_tokens> read_file(const std::string& path);

    /**
     * Looks up who sent a request, in a time that does not depend on the tokens' content.
     *
     * @param authorization  the value of the Authorization field
     * @return the operator's name, or nothing when the token is missing or unknown
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
