#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace tamarack {

/**
 * A strongly typed text identifier: identifiers with different tags are different types.
 *
 * @tparam Tag  tag type that stands for the kind of thing identified
 */
template <typename Tag>
class text_id {
public:
    text_id() = default;
    explicit text_id(std::string value) : m_value(std::move(value)) {}

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend bool operator==(const text_id&, const text_id&) = default;
    friend std::strong_ordering operator<=>(const text_id& left, const text_id& right) {
        return left.m_value.compare(right.m_value) <=> 0;
    }

private:
    std::string m_value;
};

/** Name of a host (one daemon), from its settings; stable across restarts. */
using host_id = text_id<struct host_id_tag>;
/** Name of a data centre. */
using data_center_id = text_id<struct data_center_id_tag>;
/** Name of a service, as tickets define it. */
using service_id = text_id<struct service_id_tag>;
/** Name of a shard within a service. */
using shard_id = text_id<struct shard_id_tag>;
/** Name of a target (one replica process), as given in its announcements. */
using target_id = text_id<struct target_id_tag>;
/** Identifier of a caller's request, unique per caller. */
using request_id = text_id<struct request_id_tag>;
/** Version of a service's index; one answer uses one version. */
using index_version = text_id<struct index_version_tag>;
/** Key under which a non-idempotent request runs at most once. */
using idempotency_key = text_id<struct idempotency_key_tag>;

/** IP address and port as text, such as "127.0.0.1:8080". */
using endpoint = text_id<struct endpoint_tag>;

/**
 * Distinguishes successive processes or data folders of a host, or processes of a target, that have the same
 * name.
 *
 * Generated at random when the data folder is created or the process starts; zero means "none".
 */
struct incarnation_id {
    std::uint64_t value = 0;

    friend bool operator==(const incarnation_id&, const incarnation_id&) = default;
    friend std::strong_ordering operator<=>(const incarnation_id& left, const incarnation_id& right) {
        return left.value <=> right.value;
    }
};

/** Number of a ticket; zero means that no ticket has been accepted yet. */
struct ticket_number {
    std::uint64_t value = 0;

    friend bool operator==(const ticket_number&, const ticket_number&) = default;
    friend std::strong_ordering operator<=>(const ticket_number& left, const ticket_number& right) {
        return left.value <=> right.value;
    }
};

} // namespace tamarack

template <typename Tag>
struct std::hash<tamarack::text_id<Tag>> {
    std::size_t operator()(const tamarack::text_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.value());
    }
};
