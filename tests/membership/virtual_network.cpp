#include "virtual_network.h"

#include <json/reader.h>
#include <json/writer.h>

#include <ctime>
#include <utility>

namespace tamarack::testing {

namespace {

constexpr std::uint64_t first_port = 20'000;
constexpr duration announce_timeout = 300ms;

duration processor_time() {
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::duration_cast<duration>(std::chrono::seconds{used.tv_sec} +
                                                std::chrono::nanoseconds{used.tv_nsec});
}

std::string write_json(const Json::Value& json) {
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder made;
        made["indentation"] = "";
        return made;
    }();
    return Json::writeString(builder, json);
}

Json::Value read_json(const std::string& text) {
    static const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    Json::Value json;
    std::string problem;
    require_invariant(reader->parse(text.data(), text.data() + text.size(), &json, &problem),
                      "encoded JSON text can be parsed");
    return json;
}

endpoint address_of(std::size_t index) {
    return endpoint{"10.0.0.1:" + std::to_string(first_port + index)};
}

} // namespace

virtual_network::virtual_network(std::uint64_t seed, network_conditions initial_conditions)
    : conditions(initial_conditions), m_random(seed) {}

void virtual_network::schedule(time_point when, std::function<void()> action) {
    m_events.push({when, m_order++, std::move(action)});
}

std::size_t virtual_network::add_host(const std::string& data_center) {
    const std::size_t index = m_hosts.size();
    host_record record;
    record.host = host_id{"host-" + std::to_string(index)};
    record.data_center = data_center_id{data_center};
    record.hosts_address = address_of(index);
    record.callers_address = address_of(index);
    m_hosts.emplace_back();
    m_hosts.back().record = record;
    return index;
}

void virtual_network::start_host(std::size_t index) {
    virtual_host& host = m_hosts[index];
    ++host.record.incarnation.value;
    std::vector<host_record> known;
    for (std::size_t seed = 0; seed < seeds && seed < m_hosts.size(); ++seed) {
        host_record record;
        record.hosts_address = address_of(seed);
        known.push_back(record);
    }
    host.detector = std::make_unique<failure_detector>(host.record, known, detector,
                                                       random_source{m_random.next()}, m_now);
    host.registry = std::make_unique<target_registry>(host.record.host, registry, m_now);
    host.up = true;
    host.started_at = m_now;
    host.wakes_at = time_point::max();
    after_event(index, {});
}

void virtual_network::kill_host(std::size_t index) {
    m_hosts[index].up = false;
}

void virtual_network::leave_host(std::size_t index) {
    after_event(index, m_hosts[index].detector->leave(m_now));
    kill_host(index);
}

void virtual_network::drain_host(std::size_t index, bool draining) {
    after_event(index, m_hosts[index].detector->set_draining(m_now, draining));
}

template <typename Call>
auto virtual_network::measured(virtual_host& host, Call call) {
    const duration before = processor_time();
    auto result = call();
    host.busy += processor_time() - before;
    return result;
}

void virtual_network::wake(std::size_t index) {
    virtual_host& host = m_hosts[index];
    if (!host.up || host.wakes_at > m_now) {
        return;
    }
    host.wakes_at = time_point::max();
    const auto actions = measured(host, [&] {
        host.registry->on_timer(m_now);
        return host.detector->on_timer(m_now, *host.registry);
    });
    after_event(index, actions);
}

void virtual_network::after_event(std::size_t index, const membership_actions& actions) {
    for (const membership_action& action : actions) {
        if (const auto* sent = std::get_if<send_membership>(&action)) {
            send(index, *sent);
        } else if (const auto* multicast = std::get_if<multicast_membership>(&action)) {
            send(index, *multicast);
        } else if (on_host_changed) {
            on_host_changed(index, std::get<host_changed>(action).record);
        }
    }
    virtual_host& host = m_hosts[index];
    const time_point due = host.registry->changes_due()
                               ? m_now
                               : std::min(host.detector->next_timer(), host.registry->next_timer());
    const time_point next = std::max(due, m_now);
    if (next < host.wakes_at) {
        host.wakes_at = next;
        schedule(next, [this, index] { wake(index); });
    }
}

std::string virtual_network::text_of(std::size_t from, const membership_message& message) {
    if (!conditions.as_text) {
        return {};
    }
    return measured(m_hosts[from], [&] { return write_json(encode_membership_message(message)); });
}

void virtual_network::send(std::size_t from, const send_membership& sent) {
    send(from, host_at(sent.address), text_of(from, sent.message), sent.message);
}

void virtual_network::send(std::size_t from, const multicast_membership& multicast) {
    const membership_message message = multicast.push;
    const std::string text = text_of(from, message);
    for (const multicast_membership::receiver& receiver : multicast.to) {
        send(from, host_at(receiver.address), text, message);
    }
}

void virtual_network::send(std::size_t from, std::size_t to, const std::string& text,
                           const membership_message& sent) {
    virtual_host& host = m_hosts[from];
    ++host.messages_sent;
    host.bytes_sent += text.size();
    host.bytes_of_kind[sent.index()] += text.size();
    if (m_hosts[to].record.data_center != host.record.data_center) {
        host.bytes_to_other_data_centers += text.size();
    }
    const bool lost = !host.up || m_random.chance(conditions.loss) || (partition && partition(from, to));
    if (lost) {
        return;
    }
    const duration delay = m_random.between(conditions.min_delay, conditions.max_delay);
    membership_message message = conditions.as_text ? membership_message{} : sent;
    schedule(m_now + delay, [this, to, text, message = std::move(message)] { deliver(to, text, message); });
}

void virtual_network::deliver(std::size_t to, const std::string& text, const membership_message& message) {
    virtual_host& host = m_hosts[to];
    if (!host.up) {
        return;
    }
    host.bytes_received += text.size();
    const auto actions = measured(host, [&] {
        if (text.empty()) {
            return host.detector->on_message(m_now, message, *host.registry);
        }
        const auto decoded = decode_membership_message(read_json(text));
        require_invariant(succeeded(decoded), "encoded messages can be decoded");
        return host.detector->on_message(m_now, value_of(decoded), *host.registry);
    });
    after_event(to, actions);
}

std::size_t virtual_network::host_at(const endpoint& address) const {
    return std::stoul(address.value().substr(address.value().rfind(':') + 1)) - first_port;
}

std::size_t virtual_network::add_target(const std::string& data_center, const std::string& service,
                                        const std::string& shard, std::uint32_t replica) {
    const std::size_t index = m_targets.size();
    virtual_target target;
    target.value.target = target_id{service + "-" + shard + "-" + std::to_string(replica)};
    target.value.incarnation = incarnation_id{m_random.next() | 1U};
    target.value.address = endpoint{"10.1.0.1:" + std::to_string(1 + index)};
    target.value.data_center = data_center_id{data_center};
    target.value.service = service_id{service};
    target.value.shard = shard_id{shard};
    target.value.replica = replica;
    target.value.versions = {{index_version{"v1"}, "map"}};
    target.value.slots = 5;
    target.value.connections = 40;
    target.value.state = target_state::ready;
    m_targets.push_back(target);
    schedule(m_now + m_random.between(0us, registry.heartbeat), [this, index] { announce_next(index); });
    return index;
}

void virtual_network::introduce_hosts() {
    membership_updates everyone;
    for (const virtual_host& host : m_hosts) {
        everyone.hosts.push_back(host.detector->self());
    }
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        after_event(index, m_hosts[index].detector->on_message(m_now, update_push{host_id{"all"}, everyone},
                                                               *m_hosts[index].registry));
    }
}

void virtual_network::register_target_everywhere(std::size_t index) {
    virtual_target& target = m_targets[index];
    const std::vector<host_id> registrars = m_hosts[0].registry->registrars_of(target.value);
    for (virtual_host& host : m_hosts) {
        if (host.record.host == registrars.front()) {
            ++target.value.sequence;
            const auto receipt = host.registry->on_announcement(m_now, target.value, in_force);
            target.hosts = value_of(receipt).announce_to;
            const std::vector<target_record> placed = host.registry->take_changes();
            for (virtual_host& other : m_hosts) {
                other.registry->on_changes(m_now, placed);
            }
        }
    }
}

void virtual_network::restart_target(std::size_t index) {
    virtual_target& target = m_targets[index];
    target.value.incarnation = incarnation_id{m_random.next() | 1U};
    target.value.sequence = 0;
    target.value.state = target_state::ready;
    target.hosts.clear();
    target.silent = false;
}

void virtual_network::set_target_state(std::size_t index, target_state state) {
    m_targets[index].value.state = state;
}

void virtual_network::deregister(std::size_t target, std::size_t host,
                                 const std::function<void()>& acknowledged) {
    m_targets[target].silent = true;
    virtual_host& receiver = m_hosts[host];
    const target_id& id = m_targets[target].value.target;
    const auto ended = receiver.registry->on_deregistration(m_now, id, m_targets[target].value.incarnation);
    require_invariant(succeeded(ended), "the target is known");
    after_event(host, receiver.detector->replicate(m_now, id, *receiver.registry,
                                                   [acknowledged](const outcome<done>& replicated) {
                                                       if (succeeded(replicated)) {
                                                           acknowledged();
                                                       }
                                                   }));
}

outcome<announcement_receipt> virtual_network::announce(std::size_t target, std::size_t host) {
    ++m_targets[target].value.sequence;
    virtual_host& receiver = m_hosts[host];
    auto receipt = measured(receiver, [&] {
        if (!conditions.as_text) {
            return receiver.registry->on_announcement(m_now, m_targets[target].value, in_force);
        }
        const std::string text = write_json(encode_announcement(m_targets[target].value));
        const auto decoded = decode_announcement(read_json(text));
        return receiver.registry->on_announcement(m_now, value_of(decoded), in_force);
    });
    after_event(host, {});
    return receipt;
}

void virtual_network::announce_next(std::size_t index) {
    virtual_target& target = m_targets[index];
    if (target.hosts.empty()) {
        for (std::size_t seed = 0; seed < seeds && seed < m_hosts.size(); ++seed) {
            target.hosts.push_back(address_of(seed));
        }
        target.next_host = m_random.below(target.hosts.size());
    }
    duration next = announce_timeout;
    const std::size_t host = host_at(target.hosts[target.next_host % target.hosts.size()]);
    const bool reached = m_hosts[host].up && !(target_partition && target_partition(index, host));
    if (target.silent) {
        next = registry.heartbeat;
    } else if (!reached) {
        ++target.next_host;
        if (target.next_host >= target.hosts.size()) {
            target.hosts.clear();
        }
    } else {
        const auto answer = announce(index, host);
        next = registry.heartbeat;
        if (succeeded(answer)) {
            ++target.receipts;
            next = value_of(answer).next_within;
            if (!value_of(answer).announce_to.empty()) {
                target.hosts = value_of(answer).announce_to;
            }
        }
        target.next_host = 0;
    }
    schedule(m_now + next, [this, index] { announce_next(index); });
}

void virtual_network::run_for(duration length) {
    const time_point end = m_now + length;
    while (!m_events.empty() && m_events.top().at <= end) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
    m_now = end;
}

host_state virtual_network::seen(std::size_t by, std::size_t host) const {
    for (const host_record& record : m_hosts[by].detector->hosts()) {
        if (record.host == m_hosts[host].record.host) {
            return record.state;
        }
    }
    return host_state::dead;
}

std::size_t virtual_network::count_seeing(std::size_t host, host_state state) const {
    std::size_t count = 0;
    for (std::size_t by = 0; by < m_hosts.size(); ++by) {
        count += (m_hosts[by].up && by != host && seen(by, host) == state) ? 1 : 0;
    }
    return count;
}

bool virtual_network::uses(std::size_t host, std::size_t target) const {
    const announcement& value = m_targets[target].value;
    const target_record* record = m_hosts[host].registry->find(value.target);
    return record != nullptr && record->alive && record->latest.state == target_state::ready &&
           record->latest.incarnation == value.incarnation;
}

std::size_t virtual_network::count_using(std::size_t target) const {
    std::size_t count = 0;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        count += (m_hosts[host].up && uses(host, target)) ? 1 : 0;
    }
    return count;
}

std::size_t virtual_network::up_hosts() const {
    std::size_t count = 0;
    for (const virtual_host& host : m_hosts) {
        count += host.up ? 1 : 0;
    }
    return count;
}

bool virtual_network::views_agree() const {
    for (std::size_t by = 0; by < m_hosts.size(); ++by) {
        if (!m_hosts[by].up) {
            continue;
        }
        std::size_t right = 0;
        for (const host_record& record : m_hosts[by].detector->hosts()) {
            const bool up = m_hosts[host_at(record.hosts_address)].up;
            if (up != (record.state == host_state::alive)) {
                return false;
            }
            right += up ? 1 : 0;
        }
        if (right != up_hosts()) {
            return false;
        }
        for (std::size_t target = 0; target < m_targets.size(); ++target) {
            const virtual_target& announced = m_targets[target];
            const bool wanted = !announced.silent && announced.value.state == target_state::ready;
            if (uses(by, target) != wanted) {
                return false;
            }
        }
    }
    return true;
}

} // namespace tamarack::testing
