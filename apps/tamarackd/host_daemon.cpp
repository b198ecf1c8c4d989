#include "host_daemon.h"

#include "control/recovery.h"
#include "system_random.h"

#include <algorithm>
#include <future>
#include <thread>
#include <utility>

namespace tamarack {

namespace {

constexpr duration leave_grace_time = 300ms;

/** @return an incarnation from the wall clock, so that it increases with each start of a host */
incarnation_id new_process_incarnation() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return incarnation_id{
        static_cast<std::uint64_t>(std::chrono::duration_cast<duration>(since_epoch).count())};
}

bool is_control_host(const settings& host_settings) {
    return host_settings.role != host_role::entry;
}
bool accepts_callers(const settings& host_settings) {
    return host_settings.role != host_role::control;
}

/** The state that a control host loads from its disk. */
struct opened_log {
    opened_folder folder;
    std::unique_ptr<journal> records;
    recovered_log log;
};

outcome<opened_log> open_log(const opened_folder& folder) {
    auto records = open_journal(folder, system_file_hooks());
    if (!succeeded(records)) {
        return error_of(records);
    }
    opened_log opened;
    opened.folder = folder;
    opened.records = value_of(std::move(records));
    if (opened.records->recovered().damaged) {
        return error{error_code::damaged, "checksum mismatch in a record of the journal"};
    }
    auto log = recover_log(opened.records->recovered());
    if (!succeeded(log)) {
        return error{error_code::damaged, error_of(log).message};
    }
    opened.log = value_of(std::move(log));
    return opened;
}

/** Opens the log in the data folder. If the folder can't be trusted, sets it aside and starts a new
 * incarnation. */
outcome<opened_log> open_trusted_log(const settings& host_settings) {
    random_source random = system_random();
    const copy_check check =
        host_settings.recognise_copies ? copy_check::by_file_fingerprint : copy_check::none;
    auto folder = open_data_folder(host_settings.data_folder, host_settings.host, random, check);
    if (!succeeded(folder)) {
        return error_of(folder);
    }
    const folder_condition condition = value_of(folder).condition;
    std::string reason{to_name(condition)};
    if (condition == folder_condition::fresh || condition == folder_condition::intact) {
        auto opened = open_log(value_of(folder));
        if (succeeded(opened) || error_of(opened).code != error_code::damaged) {
            return opened;
        }
        reason = error_of(opened).message;
    }
    log_state_change(log_level::error, "data_folder_set_aside", {}, {{"reason", reason}});
    const auto renewed = renew_data_folder(value_of(folder), random);
    if (!succeeded(renewed)) {
        return error_of(renewed);
    }
    return open_log(value_of(renewed));
}

} // namespace

host_daemon::host_daemon(settings host_settings, std::function<void()> ask_to_drain, edge_protocol edge)
    : m_settings(std::move(host_settings)), m_ask_to_drain(std::move(ask_to_drain)),
      m_incarnation(new_process_incarnation()), m_edge(std::move(edge)) {}

host_daemon::~host_daemon() {
    stop();
}

outcome<done> host_daemon::open_control() {
    if (!is_control_host(m_settings)) {
        return done{};
    }
    auto opened = open_trusted_log(m_settings);
    if (!succeeded(opened)) {
        return error_of(opened);
    }
    opened_log log = value_of(std::move(opened));
    log_state_change(log_level::info, "data_folder_opened", {},
                     {{"condition", std::string{to_name(log.folder.condition)}},
                      {"life", std::to_string(log.folder.identity.incarnation.value)}});
    if (m_settings.edge.kind == edge_kind::platform) {
        m_target_store = std::make_unique<target_store>(log.folder);
    }
    m_control = std::make_unique<control_worker>(m_settings, log.folder, std::move(log.records),
                                                 std::move(log.log), m_metrics, make_control_hooks());
    return done{};
}

outcome<endpoint> host_daemon::start_callers() {
    if (m_settings.edge.kind == edge_kind::own) {
        m_serving =
            std::make_unique<serving_worker>(m_settings, m_incarnation, m_metrics, make_serving_hooks());
        return m_serving->start();
    }
    forwarding_hooks hooks;
    hooks.broadcast_crash_loss = [this](const crash_loss& loss) { m_hosts->post_crash_loss(loss); };
    hooks.report_target_leaving = [this](const target_id& target, incarnation_id incarnation) {
        m_hosts->post_target_leaving(target, incarnation);
    };
    hooks.report_request_limit = [this](const broadcast_request_limit& report) {
        m_hosts->post_request_limit(report);
    };
    hooks.report_team_use = [this](team_use report) { m_hosts->post_team_use(std::move(report)); };
    m_forwarding = std::make_unique<forwarding_worker>(m_settings, m_edge, m_metrics, std::move(hooks));
    m_control_edge = std::make_unique<control_edge>(m_settings, m_edge, m_metrics,
                                                    control_edge_hooks{m_hosts.get(), m_control.get()});
    return m_forwarding->start();
}

outcome<daemon_addresses> host_daemon::start() {
    auto tokens = operator_tokens::read_file(m_settings.token_file);
    if (!succeeded(tokens)) {
        return error_of(tokens);
    }
    if (const auto opened = open_control(); !succeeded(opened)) {
        return error_of(opened);
    }
    const member_id identity = m_control ? m_control->self() : member_id{};
    m_hosts =
        std::make_unique<hosts_worker>(m_settings, m_incarnation, identity, m_metrics, make_hosts_hooks());
    m_operators =
        std::make_unique<operators_edge>(m_settings, m_metrics, value_of(std::move(tokens)),
                                         operators_hooks{m_hosts.get(), m_control.get(), m_ask_to_drain});

    daemon_addresses addresses;
    if (accepts_callers(m_settings)) {
        const auto callers = start_callers();
        if (!succeeded(callers)) {
            return error_of(callers);
        }
        addresses.callers = value_of(callers);
    }
    const auto hosts = m_hosts->listen(addresses.callers);
    if (!succeeded(hosts)) {
        return error_of(hosts);
    }
    addresses.hosts = value_of(hosts);
    if (m_control) {
        m_control->start();
    }
    if (m_target_store) {
        m_target_store->start();
    }
    m_hosts->start();
    if (m_control_edge) {
        if (const auto control = m_control_edge->start(); !succeeded(control)) {
            return error_of(control);
        }
    }
    const auto operators = m_operators->start();
    if (!succeeded(operators)) {
        return error_of(operators);
    }
    addresses.operators = value_of(operators);
    m_started = true;
    return addresses;
}

void host_daemon::apply(const settings& changed) {
    m_hosts->post_seeds(changed.seeds);
}

void host_daemon::leave_directory() {
    m_hosts->post_draining();
    if (m_forwarding) {
        m_forwarding->post_leaving();
    }
}

bool host_daemon::finish_requests(duration limit) {
    m_requests_end_at = steady_now() + limit;
    return wait_for_callers([this](const std::function<void()>& done) {
        // A request that is read from now on might have to be cut off at the limit.
        const auto ignore_closed = [] {};
        return m_serving ? m_serving->post_close(ignore_closed) && m_serving->post_drain(done)
                         : m_forwarding->post_close(ignore_closed) && m_forwarding->post_drain(done);
    });
}

bool host_daemon::close_callers() {
    return wait_for_callers([this](const std::function<void()>& done) {
        return m_serving ? m_serving->post_close(done) : m_forwarding->post_close(done);
    });
}

bool host_daemon::wait_for_callers(const std::function<bool(std::function<void()>)>& post) {
    if (!m_serving && !m_forwarding) {
        return true;
    }
    auto finished_promise = std::make_shared<std::promise<void>>();
    auto finished = finished_promise->get_future();
    const auto left = [this] { return std::max(m_requests_end_at - steady_now(), duration{0}); };
    return post([finished_promise] { finished_promise->set_value(); }) &&
           finished.wait_for(left()) == std::future_status::ready;
}

void host_daemon::stop() {
    if (!m_started) {
        return;
    }
    m_started = false;
    if (m_control) {
        m_control->post_transfer_leadership();
    }
    m_hosts->post_leave();
    std::this_thread::sleep_for(leave_grace_time);
    if (!close_callers()) {
        log_state_change(log_level::warning, "connections_cut", {}, {});
    }
    m_operators->stop();
    if (m_control_edge) {
        m_control_edge->stop();
    }
    if (m_serving) {
        m_serving->stop();
    }
    if (m_forwarding) {
        m_forwarding->stop();
    }
    if (m_control) {
        m_control->stop();
    }
    m_hosts->stop();
    if (m_target_store) {
        m_target_store->stop();
    }
}

serving_hooks host_daemon::make_serving_hooks() {
    serving_hooks hooks;
    hooks.announce = [this](announcement value, std::function<void(outcome<announcement_receipt>)> answer) {
        return m_hosts->post_announcement(std::move(value), std::move(answer));
    };
    hooks.commit = [this](commit_claim claim) { return m_hosts->post_commit(std::move(claim)); };
    hooks.record = [this](record_claim_result ended) { return m_hosts->post_record(std::move(ended)); };
    hooks.broadcast_suspicion = [this](broadcast_crash_suspicion found, std::function<void()> on_confirmed) {
        return m_hosts->post_crash_suspicion(std::move(found), std::move(on_confirmed));
    };
    hooks.quarantine = [this](const broadcast_quarantine& found) { return m_hosts->post_quarantine(found); };
    return hooks;
}

hosts_hooks host_daemon::make_hosts_hooks() {
    hosts_hooks hooks;
    hooks.stored_targets = m_target_store.get();
    if (m_control) {
        hooks.to_raft = [this](raft_envelope envelope) { return m_control->post_raft(std::move(envelope)); };
        hooks.to_control = [this](control_message message) {
            return m_control->post_control(std::move(message));
        };
    }
    hooks.to_serving = [this](serving_inputs inputs) {
        return !m_serving || m_serving->post_inputs(std::move(inputs));
    };
    hooks.to_forwarding = [this](forwarding_inputs inputs) {
        return !m_forwarding || m_forwarding->post_inputs(std::move(inputs));
    };
    if (m_control) {
        hooks.bootstrap = [this](std::vector<member_id> voters) {
            return m_control->post_bootstrap(std::move(voters), [](const outcome<done>& formed) {
                log_state_change(
                    log_level::info, "history_formed", {},
                    {{"result", succeeded(formed) ? std::string{"done"} : error_of(formed).message}});
            });
        };
        hooks.voter_candidates = [this](std::vector<voter_candidate> known) {
            return m_control->post_voter_candidates(std::move(known));
        };
    }
    hooks.lease = [this](time_point ends_at) {
        if (m_forwarding) {
            return m_forwarding->post_lease(ends_at);
        }
        return !m_serving || m_serving->post_lease(ends_at);
    };
    hooks.claim_answer_for = [this](request_number request, claim_answer answer) {
        return m_serving && m_serving->post_claim_answer(request, std::move(answer));
    };
    hooks.claim_failed_for = [this](request_number request) {
        return m_serving && m_serving->post_claim_failed(request);
    };
    hooks.crash_suspicion = [this](broadcast_crash_suspicion suspicion) {
        return !m_serving || m_serving->post_crash_suspicion(std::move(suspicion));
    };
    hooks.request_limit = [this](target_incarnation target, limit_statement statement) {
        return !m_forwarding || m_forwarding->post_remote_request_limit(std::move(target), statement);
    };
    hooks.team_grant = [this](team_grant grant) {
        return !m_forwarding || m_forwarding->post_team_grant(std::move(grant));
    };
    hooks.exchange_count = [this] { return m_forwarding ? m_forwarding->exchange_count() : 0; };
    hooks.quarantine = [this](const crash_loss& loss) {
        if (m_forwarding) {
            return m_forwarding->post_remote_crash_loss(loss);
        }
        return !m_serving || m_serving->post_quarantine(loss.content);
    };
    return hooks;
}

control_hooks host_daemon::make_control_hooks() {
    control_hooks hooks;
    hooks.send_raft = [this](raft_envelope envelope) { return m_hosts->post_raft(std::move(envelope)); };
    hooks.send_control = [this](send_control_message message) {
        return m_hosts->post_control(std::move(message));
    };
    hooks.committed = [this](shared_configuration latest) {
        return m_hosts->post_committed(std::move(latest));
    };
    return hooks;
}

} // namespace tamarack
