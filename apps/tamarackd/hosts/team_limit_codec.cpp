#include "host_methods.h"

#include <algorithm>
#include <array>
#include <initializer_list>
#include <limits>

namespace tamarack {

namespace {

/** Bound on the items of a message; a ticket with more teams is reported in part. */
constexpr Json::ArrayIndex max_items = 20'000;
constexpr std::size_t use_members = 6;
constexpr std::size_t grant_members = 4;

/** Omits zeros at the end. The most frequent item, one request admitted, is the team's number alone. */
Json::Value encode_item(std::initializer_list<std::uint32_t> members) {
    auto end = members.end();
    while (end != members.begin() && *(end - 1) == 0) {
        --end;
    }
    if (end - members.begin() == 2 && *(end - 1) == 1) {
        return Json::UInt{*members.begin()};
    }
    Json::Value item{Json::arrayValue};
    for (const auto* member = members.begin(); member != end; ++member) {
        item.append(Json::UInt{*member});
    }
    return item;
}

/** @return whether `json` is a list of items with at most `Size` numbers, of which missing ones are 0 */
template <std::size_t Size, typename Add>
bool decode_items(const Json::Value& json, Add add) {
    if (json.isNull()) {
        return true;
    }
    if (!json.isArray() || json.size() > max_items) {
        return false;
    }
    for (const Json::Value& item : json) {
        std::array<std::uint32_t, Size> members{};
        if (item.isUInt()) {
            members[0] = item.asUInt();
            members[1] = 1;
            add(members);
            continue;
        }
        if (!item.isArray() || item.size() > Size) {
            return false;
        }
        for (Json::ArrayIndex index = 0; index < item.size(); ++index) {
            if (!item[index].isUInt()) {
                return false;
            }
            members[index] = item[index].asUInt();
        }
        add(members);
    }
    return true;
}

std::uint32_t whole_milliseconds(duration time) {
    const auto count = std::chrono::ceil<std::chrono::milliseconds>(time).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

Json::Value encode_team_use(const team_use& value) {
    Json::Value parameters;
    parameters["host"] = value.host.value();
    parameters["n"] = Json::UInt64{value.sequence};
    parameters["attached"] = value.attached;
    for (const team_use_item& item : value.items) {
        parameters["use"].append(encode_item(
            {item.team, item.admitted, item.spent, item.refused, item.wanted, item.metered ? 1U : 0U}));
    }
    return parameters;
}

Json::Value encode_team_grant(const team_grant& value) {
    Json::Value parameters;
    parameters["server"] = Json::UInt64{value.server};
    parameters["n"] = Json::UInt64{value.sequence};
    parameters["valid_ms"] = Json::UInt{whole_milliseconds(value.tokens_valid)};
    for (const team_grant_item& item : value.items) {
        parameters["teams"].append(encode_item(
            {item.team, item.metered ? 1U : 0U, item.tokens, whole_milliseconds(item.until_tokens)}));
    }
    return parameters;
}

outcome<team_use> decode_team_use(const Json::Value& parameters) {
    team_use result;
    const bool readable =
        parameters["host"].isString() && parameters["n"].isUInt64() && parameters["attached"].isBool() &&
        decode_items<use_members>(parameters["use"], [&result](const auto& item) {
            result.items.push_back({item[0], item[1], item[2], item[3], item[4], item[5] != 0});
        });
    if (!readable) {
        return error{error_code::malformed, "team use: a member is missing or has the wrong type"};
    }
    result.host = host_id{parameters["host"].asString()};
    result.sequence = parameters["n"].asUInt64();
    result.attached = parameters["attached"].asBool();
    return result;
}

outcome<team_grant> decode_team_grant(const Json::Value& parameters) {
    team_grant result;
    const bool readable = parameters["server"].isUInt64() && parameters["n"].isUInt64() &&
                          parameters["valid_ms"].isUInt() &&
                          decode_items<grant_members>(parameters["teams"], [&result](const auto& item) {
                              const std::int64_t until = item[3];
                              result.items.push_back({item[0], item[1] != 0, item[2], until * 1ms});
                          });
    if (!readable) {
        return error{error_code::malformed, "team grant: a member is missing or has the wrong type"};
    }
    result.server = parameters["server"].asUInt64();
    result.sequence = parameters["n"].asUInt64();
    result.tokens_valid =
        std::min<std::int64_t>(parameters["valid_ms"].asUInt(), team_limit_server::token_validity / 1ms) *
        1ms;
    return result;
}

} // namespace tamarack
