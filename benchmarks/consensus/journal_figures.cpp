#include "figures.h"

#include "apps/tamarackd/control/recovery.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <optional>

namespace tamarack {

namespace {

namespace files = std::filesystem;
using clock = std::chrono::steady_clock;

constexpr std::size_t content_bytes = 300;

double milliseconds_since(clock::time_point start) {
    return std::chrono::duration<double, std::milli>(clock::now() - start).count();
}

/** A member that forms a majority alone, on a real journal; syncs before each acknowledgement. */
class durable_member {
public:
    explicit durable_member(const std::string& folder) {
        files::create_directories(folder);
        random_source random{1};
        m_folder = value_of(open_data_folder(folder, host_id{"a"}, random));
        m_journal = value_of(open_journal(*m_folder, system_file_hooks()));
        recovered_log recovered = value_of(recover_log(m_journal->recovered()));
        m_node.emplace(member_id{host_id{"a"}, m_folder->identity.incarnation}, std::move(recovered),
                       raft_options{}, random, m_now);
        carry_out(m_node->start());
    }

    void lead() {
        if (m_node->last().index == 0) {
            carry_out(value_of(m_node->bootstrap(m_now, {m_node->self()})));
        }
        m_now = m_node->next_timer();
        carry_out(m_node->on_timer(m_now));
    }

    /** Proposes several entries at once and returns when all are committed. */
    void commit(std::size_t entries) {
        raft_actions all;
        for (std::size_t entry = 0; entry < entries; ++entry) {
            raft_actions actions;
            static_cast<void>(m_node->propose(m_now, std::string(content_bytes, 'x'), actions));
            all.insert(all.end(), actions.begin(), actions.end());
        }
        carry_out(all);
    }

    void compact_log(std::size_t state_bytes) {
        carry_out(m_node->on_snapshot(m_now, m_node->committed(), std::string(state_bytes, 's')));
    }

    std::uint64_t size_on_disk() const { return m_journal->size_on_disk(); }
    log_index last() const { return m_node->last().index; }

private:
    void carry_out(const raft_actions& actions) {
        for (const raft_action& action : actions) {
            if (const auto* change = std::get_if<persist_change>(&action)) {
                require_invariant(succeeded(m_journal->store(to_journal_write(*change))),
                                  "the disk takes writes");
                carry_out(m_node->on_persisted(m_now, change->number));
            }
        }
    }

    std::optional<opened_folder> m_folder;
    std::unique_ptr<journal> m_journal;
    std::optional<raft_node> m_node;
    time_point m_now{1s};
};

void measure_rate(const std::string& folder) {
    for (const std::size_t at_once : {1U, 8U, 64U, 512U}) {
        const std::string place = folder + "/rate-" + std::to_string(at_once);
        durable_member member{place};
        member.lead();
        std::size_t committed = 0;
        const auto start = clock::now();
        while (milliseconds_since(start) < 2'000) {
            member.commit(at_once);
            committed += at_once;
        }
        const double rate = static_cast<double>(committed) * 1'000 / milliseconds_since(start);
        std::printf("proposals at once %4zu  entries per second %8.0f\n", at_once, rate);
    }
}

void measure_restart(const std::string& folder) {
    for (const std::size_t entries : {1'000U, 20'000U}) {
        const std::string place = folder + "/restart-" + std::to_string(entries);
        {
            durable_member member{place};
            member.lead();
            for (std::size_t done_so_far = 0; done_so_far < entries; done_so_far += 500) {
                member.commit(500);
            }
            std::printf("entries %6zu  folder %8.0f KB", entries,
                        static_cast<double>(member.size_on_disk()) / 1'024);
        }
        const auto start = clock::now();
        durable_member member{place};
        std::printf("  restart %7.1f ms", milliseconds_since(start));
        member.lead();
        constexpr std::size_t state_bytes = 100'000;
        member.compact_log(state_bytes);
        std::printf("  after a snapshot of 100 KB %6.0f KB\n",
                    static_cast<double>(member.size_on_disk()) / 1'024);
    }
}

} // namespace

void measure_journal(const std::string& folder) {
    measure_rate(folder);
    measure_restart(folder);
}

} // namespace tamarack
