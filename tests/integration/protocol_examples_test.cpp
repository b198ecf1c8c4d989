#include "cluster.h"

#include "support/net/http_call.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace tamarack::integration {
namespace {

using testing_support::call_and_wait;
using testing_support::plain_request;
using testing_support::plain_response;

/** One request from the protocol page with its documented response. */
struct example {
    std::string section;
    plain_request request;
    plain_response response;
};

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

/** Reads header fields up to an empty line, then the remaining text as the body. */
void read_message(std::istream& text, testing_support::header_fields& fields, std::string& body) {
    std::string line;
    while (std::getline(text, line) && !line.empty()) {
        const std::size_t colon = line.find(": ");
        fields[lower(line.substr(0, colon))] = line.substr(colon + 2);
    }
    while (std::getline(text, line)) {
        body += (body.empty() ? "" : "\n") + line;
    }
}

void add_block(const std::string& section, const std::string& block, std::vector<example>& examples) {
    std::istringstream text{block};
    std::string first;
    std::string second;
    std::string rest;
    text >> first >> second;
    std::getline(text, rest);
    if (first.starts_with("HTTP/")) {
        plain_response& response = examples.back().response;
        response.status = static_cast<unsigned>(std::stoul(second));
        read_message(text, response.fields, response.body);
        return;
    }
    example& added = examples.emplace_back();
    added.section = section;
    added.request.method = first;
    added.request.path = second;
    read_message(text, added.request.fields, added.request.body);
}

std::vector<example> read_page() {
    std::ifstream page{std::string{TAMARACK_DOCS} + "/PROTOCOL.md"};
    std::vector<example> examples;
    std::string section;
    std::string block;
    bool inside = false;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("## ")) {
            section = line.substr(3);
        } else if (line == "```http") {
            inside = true;
        } else if (line == "```" && inside) {
            add_block(section, block, examples);
            block.clear();
            inside = false;
        } else if (inside) {
            block += line + "\n";
        }
    }
    return examples;
}

/** Members whose values, not just their types, must match the example. */
const std::set<std::string> exact_members{"verdict", "outcome", "reason",  "error",  "path",
                                          "shard",   "version", "service", "ticket", "in_force"};

/** @return the first difference in members, types or exact values, or an empty string */
std::string difference(const Json::Value& shown, const Json::Value& actual, const std::string& place) {
    if (shown.isNumeric() && actual.isNumeric()) {
        return {};
    }
    if (shown.type() != actual.type()) {
        return place + " has a different type";
    }
    if (shown.isObject()) {
        if (shown.getMemberNames() != actual.getMemberNames()) {
            return place + " has different members";
        }
        for (const std::string& name : shown.getMemberNames()) {
            std::string inner_place = place;
            inner_place.append(".").append(name);
            const std::string inner = difference(shown[name], actual[name], inner_place);
            const bool exact = exact_members.count(name) != 0;
            if (!inner.empty() || (exact && shown[name] != actual[name])) {
                return inner.empty() ? inner_place + " has a different value" : inner;
            }
        }
    }
    if (shown.isArray() && !shown.empty()) {
        return actual.empty() ? place + " is empty" : difference(shown[0], actual[0], place + "[0]");
    }
    return {};
}

std::string difference(const plain_response& shown, const plain_response& actual) {
    if (shown.status != actual.status) {
        return "status " + std::to_string(actual.status);
    }
    for (const auto& [name, value] : shown.fields) {
        if (actual.fields.count(name) == 0 ||
            (name == "exchange-status" && actual.fields.at(name) != value)) {
            return "field " + name;
        }
    }
    const Json::Value json = to_json(shown.body);
    if (shown.body.empty()) {
        return {};
    }
    if (json.isNull()) {
        return shown.body == actual.body ? "" : "body";
    }
    return difference(json, to_json(actual.body), "body");
}

/** Raises the sequence number of a repeated announcement, as a real target does. */
void raise_sequence(std::string& body, unsigned attempt) {
    const std::string first = "\"sequence\": 1";
    if (const std::size_t place = body.find(first); place != std::string::npos) {
        body.replace(place, first.size(), "\"sequence\": " + std::to_string(attempt));
    }
}

class protocol_page : public ::testing::Test {
protected:
    std::string address_for(const example& shown) const {
        if (shown.section == "Operators") {
            const std::string leader = m_running.operators_get("host-a", "/v1/state")["leader"].asString();
            return m_running.operators(leader.empty() ? "host-a" : leader);
        }
        const bool to_target = shown.section == "Targets" && shown.request.path != "/v1/targets/announce";
        return to_target ? m_running.processes().address("s1-r0") : m_running.callers("host-b");
    }

    /** Repeats an example until the response matches: earlier changes may not have reached the host yet. */
    void expect_as_shown(const example& shown) {
        std::string last = "no answer";
        unsigned attempt = 0;
        const bool matched = eventually([&] {
            plain_request request = shown.request;
            raise_sequence(request.body, ++attempt);
            const auto actual = call_and_wait(address_for(shown), request, std::chrono::seconds{10});
            last = actual ? difference(shown.response, *actual) + "\n" + actual->body : "no answer";
            return actual && difference(shown.response, *actual).empty();
        });
        EXPECT_TRUE(matched) << shown.request.method << " " << shown.request.path << ": " << last << "\n"
                             << m_running.processes().logs();
    }

    mutable cluster m_running;
};

TEST_F(protocol_page, examples_match_actual_responses) {
    std::vector<example> examples = read_page();
    ASSERT_GE(examples.size(), 15U);
    m_running.start_hosts();
    m_running.start_targets();
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto issued_at = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    for (example& shown : examples) {
        if (shown.request.fields.count("idempotency-issued-at") != 0) {
            shown.request.fields["idempotency-issued-at"] = std::to_string(issued_at);
        }
        expect_as_shown(shown);
        if (::testing::Test::HasFailure()) {
            return;
        }
    }
}

} // namespace
} // namespace tamarack::integration
