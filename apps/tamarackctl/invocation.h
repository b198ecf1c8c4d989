#pragma once

#include "exit_code.h"

#include <tamarack_base/tamarack_base.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::ctl {

/** The arguments and options of one command line. */
struct invocation {
    std::vector<endpoint> operators; ///< operators' addresses, in the order in which they are tried
    std::vector<endpoint> callers;   ///< callers' addresses, in the order in which they are tried
    bool json = false;
    bool help = false;
    duration timeout = 10s;
    std::string token;
    std::vector<std::string> arguments; ///< positional arguments after the command's words

    std::string data_center;
    std::optional<std::uint64_t> caller;
    std::string body;
    std::string request_id;
    std::optional<std::uint64_t> deadline_ms;
    std::optional<double> least_coverage;
    std::string shard;
    std::string key;
    std::optional<std::uint64_t> issued_at_ms;
};

/** One command of the tool. */
struct command {
    std::string words;             ///< such as "ticket submit"
    std::string arguments;         ///< as shown in the help, such as "FILE"
    std::size_t min_arguments = 0; ///< positional arguments after the words
    std::size_t max_arguments = 0;
    std::vector<std::string> options; ///< long names of the command-specific options it accepts
    std::string help;
    std::function<exit_code(const invocation&)> run;
};

} // namespace tamarack::ctl
