#pragma once

#include "../invocation.h"

#include <vector>

namespace tamarack::ctl {

/** @return `bootstrap`, `voters`, `state` and `drain` */
std::vector<command> host_commands();

/** @return `ticket submit`, `ticket show` and `ticket history` */
std::vector<command> ticket_commands();

/** @return `entries` and `query` */
std::vector<command> caller_commands();

/** @return `explain` */
std::vector<command> log_commands();

/** @return all commands, in the order in which the general help lists them */
std::vector<command> all_commands();

} // namespace tamarack::ctl
