#include "figures.h"

#include <tamarack_consensus/tamarack_consensus.h>

#include <json/writer.h>

#include <cstdio>
#include <ctime>
#include <deque>
#include <vector>

namespace tamarack {

namespace {

constexpr std::size_t content_bytes = 300;

double processor_microseconds() {
    timespec now{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

/** A leader whose simulated followers answer everything at once. */
class simulated_leader {
public:
    simulated_leader(std::size_t followers, bool encodes) : m_encodes(encodes) {
        std::vector<member_id> voters{m_self};
        for (std::size_t follower = 0; follower < followers; ++follower) {
            voters.push_back({host_id{"host-" + std::to_string(follower)}, {follower + 2}});
        }
        carry_out(value_of(m_node.bootstrap(m_now, voters)));
        m_now = m_node.next_timer();
        carry_out(m_node.on_timer(m_now));
    }

    void commit_one() {
        raft_actions actions;
        static_cast<void>(m_node.propose(m_now, std::string(content_bytes, 'x'), actions));
        carry_out(std::move(actions));
    }

    void send_heartbeats() {
        m_now = m_node.next_timer();
        carry_out(m_node.on_timer(m_now));
    }

    void compact_log() { carry_out(m_node.on_snapshot(m_now, m_node.committed(), "state")); }

    bool leads() const { return m_node.role() == raft_role::leader; }
    std::size_t bytes() const { return m_bytes; }

private:
    void carry_out(raft_actions actions) {
        m_queue.insert(m_queue.end(), std::make_move_iterator(actions.begin()),
                       std::make_move_iterator(actions.end()));
        while (!m_queue.empty()) {
            const raft_action action = std::move(m_queue.front());
            m_queue.pop_front();
            raft_actions more;
            if (const auto* change = std::get_if<persist_change>(&action)) {
                more = m_node.on_persisted(m_now, change->number);
            } else if (const auto* message = std::get_if<send_message>(&action)) {
                more = m_node.on_message(m_now, answer(message->envelope));
            }
            m_queue.insert(m_queue.end(), more.begin(), more.end());
        }
    }

    raft_envelope answer(const raft_envelope& envelope) {
        raft_envelope reply{envelope.to, envelope.from, {}};
        if (const auto* vote = std::get_if<vote_request>(&envelope.message)) {
            reply.message = vote_reply{vote->term, true, vote->pre_vote};
        } else if (const auto* append = std::get_if<append_request>(&envelope.message)) {
            const log_index match = append->previous.index + append->entries.size();
            reply.message = append_reply{append->term, true, match, {}, match, append->round};
        }
        return m_encodes ? round_trip_as_json(envelope, reply) : reply;
    }

    /** Encodes the request and decodes the reply, as the leader's host does. */
    raft_envelope round_trip_as_json(const raft_envelope& request, const raft_envelope& reply) {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        m_bytes += Json::writeString(builder, encode_envelope(request)).size();
        return value_of(decode_envelope(encode_envelope(reply)));
    }

    bool m_encodes;
    member_id m_self{host_id{"host"}, {1}};
    time_point m_now{1s};
    raft_node m_node{m_self, {}, {}, random_source{1}, m_now};
    std::deque<raft_action> m_queue;
    std::size_t m_bytes = 0;
};

struct cost {
    double microseconds = 0;
    double bytes = 0;
};

template <typename Step>
cost cost_of(simulated_leader& leader, std::size_t steps, Step step) {
    const std::size_t bytes = leader.bytes();
    const double start = processor_microseconds();
    for (std::size_t done_so_far = 0; done_so_far < steps; ++done_so_far) {
        step();
    }
    const auto count = static_cast<double>(steps);
    return {(processor_microseconds() - start) / count, static_cast<double>(leader.bytes() - bytes) / count};
}

void measure(std::size_t followers, bool encodes) {
    constexpr std::size_t steps = 20'000;
    simulated_leader leader{followers, encodes};
    const cost entry = cost_of(leader, steps, [&] { leader.commit_one(); });
    leader.compact_log();
    const cost beat = cost_of(leader, steps, [&] { leader.send_heartbeats(); });
    const auto each = static_cast<double>(followers);
    std::printf(
        "followers %zu %-15s entry %7.2f us %6.0f bytes  heartbeat %7.2f us %6.0f bytes  per follower: "
        "entry %6.2f us %5.0f bytes, heartbeat %6.2f us %5.0f bytes\n",
        followers, encodes ? "with JSON" : "decisions only", entry.microseconds, entry.bytes,
        beat.microseconds, beat.bytes, entry.microseconds / each, entry.bytes / each,
        beat.microseconds / each, beat.bytes / each);
}

} // namespace

void measure_leader_cost() {
    for (const bool encodes : {false, true}) {
        for (const std::size_t followers : {2U, 4U, 6U}) {
            measure(followers, encodes);
        }
    }
}

} // namespace tamarack
