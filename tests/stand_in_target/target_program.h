#pragma once

#include "announcer.h"
#include "target_model.h"

#include "support/net/event_loop.h"
#include "support/net/http_listener.h"

#include <memory>

namespace tamarack::stand_in {

/** Runs a stand-in target as a process: listens, announces the target, drains on SIGTERM. */
class target_program {
public:
    explicit target_program(const target_options& options);

    /** Runs until the target has drained. @return the exit code */
    int run();

private:
    void handle(const testing_support::plain_request& request,
                const testing_support::plain_responder& respond);
    void handle_run(const testing_support::plain_request& request,
                    const testing_support::plain_responder& respond);
    testing_support::plain_response handle_set(const std::string& body);
    testing_support::plain_response handle_record() const;
    void drain();
    void stop_when_idle();

    testing_support::event_loop m_loop;
    target_model m_model;
    testing_support::http_listener m_listener;
    std::unique_ptr<announcer> m_announcer;
    bool m_stopping = false;
};

} // namespace tamarack::stand_in
