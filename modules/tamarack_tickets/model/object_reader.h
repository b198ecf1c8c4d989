#pragma once

#include <tamarack_base/tamarack_base.h>

#include <json/value.h>

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {

/** A fault in a document: where it is, and what is wrong or what is allowed there. */
struct ticket_fault {
    std::string path; ///< such as "services[0].least_coverage"
    std::string problem;

    bool operator==(const ticket_fault&) const = default;
};

using ticket_faults = std::vector<ticket_fault>;

/** @return an error with code malformed that lists the faults, of which there must be at least one */
error error_of_faults(const ticket_faults& faults);

/** Whether a member must be present. */
enum class presence {
    required,
    optional,
};

/** How members that were not read are treated. */
enum class unknown_members {
    refused,
    ignored,
};

/**
 * Reads typed members of a JSON object and collects every fault instead of stopping at the first.
 *
 * A member that is missing or has another type reads as the given fallback. Call refuse_unknown last, since
 * it refuses each member that was not read before.
 */
class object_reader {
public:
    /**
     * @param json    the object; any other type is a fault
     * @param path    path of the object within the document; empty for the document itself
     * @param faults  receives the faults
     */
    object_reader(const Json::Value& json, std::string path, ticket_faults& faults);

    std::string text(const std::string& name, presence needed = presence::required);
    bool flag(const std::string& name, bool fallback);
    double real(const std::string& name, double fallback);
    std::uint64_t number(const std::string& name, presence needed = presence::required,
                         std::uint64_t fallback = 0,
                         std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
    std::uint32_t small_number(const std::string& name, std::uint32_t fallback);
    /** @return a whole number of milliseconds */
    duration milliseconds(const std::string& name, duration fallback);
    /** @return a member of any type; null when it is missing */
    const Json::Value& any(const std::string& name, presence needed = presence::required);
    /** @return a list of strings */
    std::vector<std::string> texts(const std::string& name);

    /** @return a list of typed ids */
    template <typename Id>
    std::vector<Id> ids(const std::string& name) {
        std::vector<Id> result;
        for (auto& value : texts(name)) {
            result.emplace_back(std::move(value));
        }
        return result;
    }

    /** @return an enumerator, looked up by its name */
    template <typename Enum>
    Enum choice(const std::string& name, Enum fallback, presence needed = presence::optional) {
        const std::string value = text(name, needed);
        if (value.empty()) {
            return fallback;
        }
        if (const auto found = from_name<Enum>(value)) {
            return *found;
        }
        add_fault(name, "is not one of the allowed names");
        return fallback;
    }

    /**
     * Reads an optional list of objects.
     *
     * @param read     called with each item's object_reader; returns the item
     * @param unknown  how members that `read` doesn't read are treated
     */
    template <typename Item, typename Read>
    std::vector<Item> objects(const std::string& name, Read read,
                              unknown_members unknown = unknown_members::refused) {
        std::vector<Item> result;
        const Json::Value& list = array(name);
        for (Json::ArrayIndex index = 0; index < list.size(); ++index) {
            object_reader item{list[index], path_of(name) + "[" + std::to_string(index) + "]", m_faults};
            result.push_back(read(item));
            if (unknown == unknown_members::refused) {
                item.refuse_unknown();
            }
        }
        return result;
    }

    /** Adds a fault for each member that was not read. */
    void refuse_unknown();

    void add_fault(const std::string& name, std::string problem);
    std::string path_of(const std::string& name) const;
    ticket_faults& faults() { return m_faults; }

private:
    const Json::Value* find(const std::string& name, presence needed);
    const Json::Value& array(const std::string& name);

    const Json::Value& m_json;
    std::string m_path;
    ticket_faults& m_faults;
    std::set<std::string> m_read_members;
};

} // namespace tamarack
