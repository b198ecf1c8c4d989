#include "control_world.h"

#include "tickets/sample_tickets.h"

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr duration sample_interval = 20ms;
constexpr duration operator_retry = 700ms;
const host_id operators{"operators"};

host_id control_name(std::size_t index) {
    return host_id{"c" + std::to_string(index)};
}
host_id entry_name(std::size_t index) {
    return host_id{"e" + std::to_string(index)};
}

drifting_clock random_clock(random_source& random, double drift) {
    return {1.0 + drift * (2 * random.unit() - 1), random.between(0s, 1000s)};
}

} // namespace

ticket world_ticket(std::uint64_t number, std::uint32_t slots) {
    ticket result = sample_ticket(number, slots);
    result.services[0].entry_hosts = 2;
    return result;
}

control_world::control_world(const world_options& options)
    : m_options(options), m_random(options.seed), m_network(m_events, m_random) {
    m_network.conditions = options.conditions;
    control_client_options client;
    client.data_center = data_center_id{"a"};
    client.leases = options.control.leases;
    for (std::size_t index = 0; index < options.control_hosts; ++index) {
        client.control_hosts.push_back(control_name(index));
        m_controls.push_back(
            std::make_unique<control_process>(m_events, m_random, control_name(index), options.control,
                                              random_clock(m_random, options.drift), control_hooks()));
    }
    for (std::size_t index = 0; index < options.entry_hosts; ++index) {
        client.self = entry_name(index);
        client.address = endpoint{entry_name(index).value()};
        m_entries.push_back(std::make_unique<entry_process>(
            m_events, m_random, client, random_clock(m_random, options.drift), entry_hooks()));
    }
}

control_process_hooks control_world::control_hooks() {
    control_process_hooks hooks;
    hooks.send_raft = [this](const host_id& from, const raft_envelope& envelope) {
        m_network.send(from, envelope.to.host, [this, envelope] {
            for (auto& control : m_controls) {
                if (control->member().host == envelope.to.host) {
                    control->on_raft(envelope);
                }
            }
        });
    };
    hooks.send_control = [this](const host_id& from, const host_id& to, const control_message& message) {
        m_network.send(from, to, [this, to, message] { deliver_control(to, message); });
    };
    hooks.answer = [this](const host_id& from, std::uint64_t operation, const auto& answer) {
        on_answer(from, operation, answer);
    };
    hooks.order_answer = [this](const host_id& from, std::uint64_t operation, const outcome<done>& answer) {
        if (succeeded(answer) && !m_order_answers_lost) {
            m_network.send(from, operators, [this, operation] { on_order_acknowledged(operation); });
        }
    };
    return hooks;
}

entry_process_hooks control_world::entry_hooks() {
    entry_process_hooks hooks;
    hooks.send_control = [this](const host_id& from, const host_id& to, const control_message& message) {
        m_network.send(from, to, [this, to, message] { deliver_control(to, message); });
    };
    hooks.run = [this](const claim& ran) {
        m_checks.on_run(ran);
        return true;
    };
    hooks.answer = [this](const claim& asked, const claim_answer& answer) {
        m_checks.on_caller_answered(asked, answer);
        m_answers[asked.key] = answer;
    };
    return hooks;
}

void control_world::deliver_control(const host_id& to, const control_message& message) {
    const auto decoded = decode_control_message(encode_control_message(message));
    require_invariant(succeeded(decoded), "the codec reads what it writes");
    for (auto& control : m_controls) {
        if (control->member().host == to) {
            control->on_control(value_of(decoded));
        }
    }
    for (auto& entry : m_entries) {
        if (entry->self() == to) {
            entry->on_control(value_of(decoded));
        }
    }
}

void control_world::boot() {
    std::vector<member_id> voters;
    for (auto& control : m_controls) {
        control->start();
        voters.push_back(control->member());
    }
    for (auto& entry : m_entries) {
        entry->start();
    }
    m_controls[0]->bootstrap(voters);
    run_until([this] { return leader() < control_count() && !entry(0).client().leader().empty(); }, 30s);
}

void control_world::run(duration time) {
    const time_point end = m_events.now() + time;
    while (m_events.now() < end) {
        m_events.run_until(std::min(end, m_events.now() + sample_interval));
        m_checks.sample(m_events.now(), m_controls, m_entries);
    }
}

bool control_world::run_until(const std::function<bool()>& condition, duration max_time) {
    const time_point end = m_events.now() + max_time;
    while (!condition() && m_events.now() < end) {
        run(sample_interval);
    }
    return condition();
}

std::size_t control_world::leader() {
    std::size_t best = m_controls.size();
    log_term best_term = 0;
    for (std::size_t index = 0; index < m_controls.size(); ++index) {
        if (!m_controls[index]->leads()) {
            continue;
        }
        const log_term term = m_controls[index]->node().report(m_controls[index]->local_now()).term;
        if (term > best_term) {
            best = index;
            best_term = term;
        }
    }
    return best;
}

void control_world::submit(const ticket& candidate, std::size_t control) {
    const std::uint64_t operation = m_next_operation++;
    m_submitted[operation] = candidate;
    m_network.send(operators, control_name(control), [this, operation, control] {
        if (m_submitted.contains(operation)) {
            m_controls[control]->submit(operation, m_submitted.at(operation));
        }
    });
    m_events.after(operator_retry, [this, operation, control] {
        if (const auto open = m_submitted.extract(operation); !open.empty()) {
            submit(open.mapped(), (control + 1) % m_controls.size());
        }
    });
}

void control_world::order(const evacuation_order& order, std::size_t control) {
    const std::uint64_t operation = m_next_operation++;
    m_orders[operation] = order;
    m_network.send(operators, control_name(control), [this, operation, control] {
        if (m_orders.contains(operation)) {
            m_controls[control]->order(operation, m_orders.at(operation));
        }
    });
    m_events.after(operator_retry, [this, operation, control] {
        if (const auto open = m_orders.extract(operation); !open.empty()) {
            this->order(open.mapped(), (control + 1) % m_controls.size());
        }
    });
}

void control_world::on_order_acknowledged(std::uint64_t operation) {
    const auto open = m_orders.extract(operation);
    if (open.empty()) {
        return;
    }
    ++m_acknowledged_orders;
    if (open.mapped().active) {
        m_evacuated.insert(open.mapped().data_center);
    } else {
        m_evacuated.erase(open.mapped().data_center);
    }
}

bool control_world::all_know(const std::set<data_center_id>& evacuated) const {
    return std::all_of(m_entries.begin(), m_entries.end(), [&](const auto& entry) {
        return !entry->is_up() || (entry->client().evacuations_known() &&
                                   entry->client().evacuations().data_centers == evacuated);
    });
}

void control_world::on_answer(const host_id& from, std::uint64_t operation,
                              const outcome<ticket_answer>& answer) {
    const auto open = m_submitted.find(operation);
    if (open == m_submitted.end()) {
        return;
    }
    m_checks.on_ticket_answer(m_events.now(), open->second, answer);
    if (succeeded(answer)) {
        m_network.send(from, operators, [this, operation] { m_submitted.erase(operation); });
    }
}

void control_world::request(const std::string& key, std::size_t entry) {
    claim wanted;
    wanted.service = service_id{"finder"};
    wanted.key = idempotency_key{key};
    wanted.content = digest_of(key);
    wanted.issued_at = wall_time{4'600'000};
    if (m_entries[entry]->is_up()) {
        m_entries[entry]->request(wanted);
    }
}

const claim_answer* control_world::answer_to(const std::string& key) const {
    const auto found = m_answers.find(idempotency_key{key});
    return found == m_answers.end() ? nullptr : &found->second;
}

void control_world::isolate(const host_id& host, bool one_way) {
    for (const auto& other : all_hosts()) {
        m_network.cut(other, host);
        if (!one_way) {
            m_network.cut(host, other);
        }
    }
}

std::vector<host_id> control_world::all_hosts() const {
    std::vector<host_id> hosts{operators};
    for (std::size_t index = 0; index < m_controls.size(); ++index) {
        hosts.push_back(control_name(index));
    }
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        hosts.push_back(entry_name(index));
    }
    return hosts;
}

void control_world::settle_and_check() {
    m_network.heal();
    m_network.conditions = {};
    for (auto& control : m_controls) {
        if (!control->is_up()) {
            control->start();
        }
    }
    for (auto& entry : m_entries) {
        if (!entry->is_up()) {
            entry->start();
        }
    }
    run(20s);
    check_agreement();
}

void control_world::check_agreement() {
    const std::size_t leading = leader();
    if (leading == m_controls.size()) {
        m_checks.add("no leader after all faults ended");
        return;
    }
    const std::string state = control(leading).node().state().save();
    const ticket_number latest = control(leading).node().state().tickets().current().number;
    for (auto& other : m_controls) {
        if (other->node().state().save() != state) {
            m_checks.add(other->member().host.value() + " has another state than the leader");
        }
    }
    if (m_orders.empty() && control(leading).node().state().evacuations().data_centers != m_evacuated) {
        m_checks.add("an acknowledged evacuation order is lost");
    }
    for (auto& host : m_entries) {
        if (host->client().current().number != latest || (latest.value > 0 && !host->may_serve())) {
            m_checks.add(host->self().value() + " does not serve the latest ticket");
        }
        if (host->client().evacuations() != control(leading).node().state().evacuations()) {
            m_checks.add(host->self().value() + " has other evacuation orders than the leader");
        }
        if (host->client().unrecorded_results() > 0) {
            m_checks.add(host->self().value() + " still has results to record");
        }
    }
    if (latest < m_checks.latest_accepted()) {
        m_checks.add("an accepted ticket is lost");
    }
}

} // namespace tamarack
