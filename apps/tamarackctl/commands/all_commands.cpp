#include "commands.h"

#include <iterator>

namespace tamarack::ctl {

std::vector<command> all_commands() {
    std::vector<command> all;
    for (auto group : {host_commands(), ticket_commands(), caller_commands(), log_commands()}) {
        all.insert(all.end(), std::make_move_iterator(group.begin()), std::make_move_iterator(group.end()));
    }
    return all;
}

} // namespace tamarack::ctl
