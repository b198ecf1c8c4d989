#pragma once

#include "net.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

class replica;

/** A request that a replica has begun to run. */
struct received_request {
    std::string id;
    http_message message;
};

/** How a replica answers. The defaults are those of a sound one. */
struct replica_behaviour {
    milliseconds work{5};
    /** Called instead of the sound answer; returns whether the connection may be used again. */
    std::function<bool(replica&, const tcp_socket&, const received_request&)> answer;
};

/** A stand-in replica: it announces itself, checks for whom a request is, runs it and answers. */
class replica {
public:
    /** @param controls  addresses that take heartbeats, tried in turn */
    replica(std::string id, std::string service, std::string zone, unsigned slots,
            std::vector<address> controls, replica_behaviour behaviour);
    ~replica();
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;
    replica(replica&&) = delete;
    replica& operator=(replica&&) = delete;

    /** Sends the sound answer. */
    bool answer_soundly(const tcp_socket& to, const received_request& request) const;
    /** @return the head of the sound answer, without its end and without a length */
    std::string head_of(const received_request& request, int status) const;
    std::string body_of(const received_request& request) const { return "answer to " + request.id + "\n"; }
    std::string stamp_of(const received_request& request) const { return m_id + "." + request.id; }
    const std::string& id() const { return m_id; }
    /** @return the requests that it has begun to run so far */
    std::vector<received_request> runs() const;
    bool is_ending() const { return m_ending; }

private:
    void announce();
    void accept_connections();
    void serve(const tcp_socket& connection);
    std::string heartbeat();

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    unsigned m_slots;
    std::vector<address> m_controls;
    replica_behaviour m_behaviour;
    address m_at{"127.0.0.1", 0};
    tcp_socket m_listener;
    std::uint64_t m_born;
    std::uint64_t m_sequence = 0;
    std::atomic<unsigned> m_running{0};
    std::atomic<bool> m_ending{false};
    mutable std::mutex m_mutex; ///< guards m_runs and m_connections
    std::vector<received_request> m_runs;
    std::vector<std::thread> m_connections;
    std::thread m_announcer;
    std::thread m_acceptor;
};

} // namespace review
