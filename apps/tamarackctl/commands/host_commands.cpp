#include "commands.h"

#include "../json_text.h"
#include "../remote.h"
#include "../report.h"

namespace tamarack::ctl {

namespace {

std::string voters_body(const invocation& values) {
    Json::Value body{Json::objectValue};
    for (const std::string& host : values.arguments) {
        body["voters"].append(host);
    }
    return to_json_line(body);
}

exit_code bootstrap(const invocation& values) {
    const auto request = make_request(http_method::post, "/v1/bootstrap", voters_body(values));
    return report(send_with_failover(values.operators, request, values), values,
                  [](const Json::Value& /*body*/) { return std::string{"bootstrapped\n"}; });
}

exit_code change_voters(const invocation& values) {
    const auto request = make_request(http_method::post, "/v1/voters", voters_body(values));
    return report(send_with_failover(values.operators, request, values), values,
                  [](const Json::Value& /*body*/) {
                      return std::string{"change started; check the voters with: tamarackctl state\n"};
                  });
}

exit_code show_state(const invocation& values) {
    return report(send_with_failover(values.operators, make_request(http_method::get, "/v1/state"), values),
                  values, to_lines);
}

exit_code drain(const invocation& values) {
    return report(send_with_failover(values.operators, make_request(http_method::post, "/v1/drain"), values),
                  values, [](const Json::Value& /*body*/) { return std::string{"draining\n"}; });
}

} // namespace

std::vector<command> host_commands() {
    return {
        {"bootstrap",
         "HOST...",
         1,
         7,
         {},
         "Initialises the replicated log with these control hosts as voters. Run it only once, to set up "
         "the\n"
         "deployment; a second bootstrap is refused and changes nothing.",
         bootstrap},
        {"voters",
         "HOST...",
         1,
         7,
         {},
         "Makes these control hosts the voters, one change at a time: a host that was added, or whose data\n"
         "folder was replaced, first catches up with the log.",
         change_voters},
        {"state",
         "",
         0,
         0,
         {},
         "Shows the state of the addressed host: ticket, lease, control hosts, hosts, targets.",
         show_state},
        {"drain",
         "",
         0,
         0,
         {},
         "Drains the host at the operators' address: it refuses new work, leaves the directory and\n"
         "stops after its last request, as on SIGTERM.",
         drain},
    };
}

} // namespace tamarack::ctl
