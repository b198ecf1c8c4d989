#include "control/control_worker.h"

#include "support/checks/eventually.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

namespace tamarack {
namespace {

using testing_support::eventually;

/** A journal in memory whose disk can be full. */
class full_disk_journal final : public journal {
public:
    full_disk_journal(const std::atomic<bool>& is_full, std::atomic<int>& refused)
        : m_is_full(is_full), m_refused(refused) {}

    const journal_content& recovered() const override { return m_content; }
    outcome<done> store(const journal_write& /*change*/) override {
        if (m_is_full) {
            ++m_refused;
            return error{error_code::input_output, "can't write: no space left on device"};
        }
        return done{};
    }
    const std::optional<error>& cleanup_failure() const override { return m_cleanup_failure; }
    std::uint64_t size_on_disk() const override { return 0; }

private:
    journal_content m_content;
    std::optional<error> m_cleanup_failure;
    const std::atomic<bool>& m_is_full;
    std::atomic<int>& m_refused;
};

/** A control host that is the only voter, so that it leads whenever it takes part in the log. */
struct control_worker_test : ::testing::Test {
    control_worker_test() {
        m_settings.host = host_id{"a"};
        m_folder.identity = {host_id{"a"}, incarnation_id{1}};
        recovered_log log;
        log.fresh = true;
        control_hooks hooks;
        hooks.send_raft = [](const raft_envelope&) { return true; };
        hooks.send_control = [](const send_control_message&) { return true; };
        hooks.committed = [](const shared_configuration&) { return true; };
        m_worker.emplace(m_settings, m_folder, std::make_unique<full_disk_journal>(m_is_full, m_refused),
                         std::move(log), m_metrics, std::move(hooks));
        m_worker->start();
    }
    ~control_worker_test() override { m_worker->stop(); }
    control_worker_test(const control_worker_test&) = delete;
    control_worker_test& operator=(const control_worker_test&) = delete;
    control_worker_test(control_worker_test&&) = delete;
    control_worker_test& operator=(control_worker_test&&) = delete;

    raft_role role() {
        std::promise<raft_role> asked;
        m_worker->post_overview(
            [&](const control_overview& overview) { asked.set_value(overview.report.role); });
        return asked.get_future().get();
    }
    bool becomes(raft_role wanted) {
        return eventually([this, wanted] { return role() == wanted; });
    }
    void submit(std::uint64_t number) {
        ticket candidate;
        candidate.number = ticket_number{number};
        m_worker->post_ticket(candidate, [](const outcome<ticket_answer>&, const host_id&) {});
    }

    settings m_settings;
    opened_folder m_folder;
    metric_registry m_metrics;
    std::atomic<bool> m_is_full{false};
    std::atomic<int> m_refused{0};
    std::optional<control_worker> m_worker;
};

/** Guards against a control host that takes no part in the log any more after its disk was full for a moment.
 */
TEST_F(control_worker_test, leads_again_once_a_full_disk_has_room) {
    m_worker->post_bootstrap({m_worker->self()}, [](const outcome<done>&) {});
    ASSERT_TRUE(becomes(raft_role::leader));
    for (std::uint64_t round = 1; round <= 2; ++round) {
        m_refused = 0;
        m_is_full = true;
        submit(round);
        ASSERT_TRUE(becomes(raft_role::learner));
        EXPECT_TRUE(eventually([this] { return m_refused >= 3; })) << "it tries again while the disk is full";
        EXPECT_EQ(role(), raft_role::learner);
        m_is_full = false;
        EXPECT_TRUE(becomes(raft_role::leader)) << "round " << round;
    }
}

} // namespace
} // namespace tamarack
