#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

namespace tamarack {

/**
 * Beast's body type for received messages: a string that grows as bytes arrive.
 *
 * Beast's own string_body allocates the declared length at once, so that a header alone takes the memory of
 * its body, and a length that can't be allocated raises std::bad_alloc.
 */
struct received_body {
    using value_type = std::string;

    class reader {
    public:
        template <bool is_request, class Fields>
        reader(boost::beast::http::header<is_request, Fields>& /*header*/, value_type& body) : m_body(body) {}

        template <class Length>
        void init(const Length& declared, boost::system::error_code& failure) {
            constexpr std::size_t first_allocation = 16'384;
            if (declared) {
                m_declared = static_cast<std::size_t>(*declared);
                m_body.reserve(std::min(m_declared, first_allocation));
            }
            failure = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& failure) {
            std::size_t size = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                make_room(m_body.size() + buffer.size());
                m_body.append(static_cast<const char*>(buffer.data()), buffer.size());
                size += buffer.size();
            }
            failure = {};
            return size;
        }

        static void finish(boost::system::error_code& failure) { failure = {}; }

    private:
        /** Enlarges the allocation for a body of declared length in few steps, and not beyond that length, as
         * std::string would: what is allocated counts towards the limit on memory. */
        void make_room(std::size_t needed) {
            constexpr std::size_t growth = 4;
            if (needed <= m_body.capacity() || m_declared < needed) {
                return;
            }
            value_type larger;
            larger.reserve(std::max(needed, std::min(growth * m_body.capacity(), m_declared)));
            larger.append(m_body);
            m_body.swap(larger);
        }

        value_type& m_body;
        std::size_t m_declared = 0;
    };
};

/** Beast's type of a received request. */
using received_request = boost::beast::http::request<received_body>;
/** Beast's type of a received response. */
using received_response = boost::beast::http::response<received_body>;

} // namespace tamarack
