#pragma once

#include "event_loop.h"

#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <memory>
#include <vector>

namespace tamarack::testing_support {

/** Implementation of event_loop, only for sources that use Boost.Asio directly. */
struct event_loop::implementation {
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{context.get_executor()};
    std::vector<std::unique_ptr<boost::asio::signal_set>> signals;
};

} // namespace tamarack::testing_support
