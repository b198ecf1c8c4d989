#include "cluster.h"

#include "support/net/http_call.h"

#include <gtest/gtest.h>

#include <atomic>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace tamarack::integration {
namespace {

using clock = std::chrono::steady_clock;
using testing_support::call_and_wait;
using testing_support::plain_request;

/**
 * A caller that follows the protocol: it queries the directory, caches the answer for as long as allowed, and
 * sends requests to the returned addresses.
 */
class caller {
public:
    caller(std::vector<std::string> hosts, int number) : m_hosts(std::move(hosts)), m_number(number) {}

    /** Sends requests until `stop` is set. */
    void run(const std::atomic<bool>& stop) {
        while (!stop) {
            if (clock::now() >= m_expires_at && !refresh_directory()) {
                continue;
            }
            send();
        }
    }

    unsigned answered() const { return m_answered; }
    const std::vector<std::string>& failures() const { return m_failures; }

private:
    bool refresh_directory() {
        for (const std::string& host : m_hosts) {
            plain_request request;
            request.path = "/v1/entries?service=parts&caller=" + std::to_string(m_number);
            const auto requested_at = clock::now();
            const auto response = call_and_wait(host, request, std::chrono::seconds{5});
            if (response && response->status == 200U &&
                apply_directory(to_json(response->body), requested_at)) {
                return true;
            }
        }
        return false;
    }

    bool apply_directory(const Json::Value& directory, clock::time_point requested_at) {
        if (directory["addresses"].empty()) {
            return false;
        }
        m_addresses.clear();
        for (const Json::Value& address : directory["addresses"]) {
            m_addresses.push_back(address.asString());
        }
        for (const std::string& address : m_addresses) {
            std::erase(m_hosts, address);
            m_hosts.insert(m_hosts.begin(), address);
        }
        m_expires_at = requested_at + std::chrono::milliseconds{directory["keep_for_ms"].asInt64()};
        return true;
    }

    void send() {
        Json::Value query_body;
        query_body["request_id"] = "load-" + std::to_string(m_number) + "-" + std::to_string(m_answered);
        query_body["body"] = "load";
        plain_request request;
        request.method = "POST";
        request.path = "/v1/services/parts/requests";
        request.body = to_text(query_body);
        const std::string& address = m_addresses[m_answered % m_addresses.size()];
        const auto response = call_and_wait(address, request, std::chrono::seconds{30});
        if (response && to_json(response->body)["outcome"] == "answered") {
            ++m_answered;
            return;
        }
        m_failures.push_back(address + ": " + (response ? response->body : "no answer"));
        ++m_answered;
    }

    std::vector<std::string> m_hosts;
    int m_number;
    std::vector<std::string> m_addresses;
    clock::time_point m_expires_at{};
    unsigned m_answered = 0;
    std::vector<std::string> m_failures;
};

TEST(rolling_restart, fails_no_request) {
    cluster running;
    running.start_serving();
    std::vector<std::string> addresses;
    for (const std::string& host : running.hosts()) {
        addresses.push_back(running.callers(host));
    }
    std::atomic<bool> stop{false};
    std::deque<caller> callers;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int number = 0; number < 4; ++number) {
        caller& started = callers.emplace_back(addresses, number);
        threads.emplace_back([&started, &stop] { started.run(stop); });
    }
    for (const std::string& host : running.hosts()) {
        const auto end = running.processes().stop(host);
        EXPECT_EQ(end.exit_code, 0) << running.processes().at(host).errors();
        running.start_host(host);
        running.wait_until_serving(host);
    }
    stop = true;
    for (std::thread& thread : threads) {
        thread.join();
    }
    for (const caller& ended : callers) {
        EXPECT_GT(ended.answered(), 0U);
        EXPECT_TRUE(ended.failures().empty())
            << ended.failures().size() << " failed, first: " << ended.failures().front();
    }
}

} // namespace
} // namespace tamarack::integration
