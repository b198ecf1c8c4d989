/**
 * @file
 * The first start of a deployment whose first seed is lost at once and replaced by an empty machine.
 *
 * Three hosts with a disk and two without one start together. With the disruption the process of the first
 * seed is killed 50 ms later for good. 2 s later a host with an empty disk starts at another address, with
 * settings that don't say that the whole system starts for the first time. The operator sends the first
 * configuration to the hosts with a disk in turn until it is acknowledged. The case fails if no host
 * acknowledges it within 40 s.
 */
#include "deployment.h"

#include <csignal>
#include <thread>

namespace {

using namespace review;

constexpr const char* authority = "stand.example";
constexpr milliseconds before_kill{50};
/** The longest time on the users' sites after which a machine of the core is replaced. */
constexpr milliseconds before_replacement{2'000};
constexpr milliseconds acknowledged_within{38'000};
constexpr std::size_t first_seed = 0;
constexpr std::size_t replacement = 3;

int run(case_record& record) {
    deployment_options options;
    options.disk_hosts = 4;
    options.spare_hosts = 1;
    options.entry_hosts = 2;
    deployment hosts{record, options};
    if (!hosts.start_all()) {
        return record.end(verdict::not_run, "the program or free addresses are missing");
    }
    if (trouble_wanted()) {
        std::this_thread::sleep_for(before_kill);
        hosts.kill(first_seed, SIGKILL);
        std::this_thread::sleep_for(before_replacement);
        hosts.runs(first_seed);
        hosts.start(replacement);
    }
    const std::string configuration =
        configuration_of(1, authority, {{"orders", "/orders/", "safe", 2'500, 250, {"commandes"}}}, 45);
    if (!hosts.configure(configuration, acknowledged_within)) {
        return record.end(verdict::broken, "Acks: the first configuration was not acknowledged by any host");
    }
    return record.end(verdict::held, "the first configuration was acknowledged");
}

} // namespace

int main(int count, char** values) {
    review::case_record record{count > 1 ? values[1] : "record.txt"};
    return run(record);
}
