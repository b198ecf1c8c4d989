#pragma once

#include "metric_catalogue.h"

#include <prometheus/family.h>

#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <utility>

namespace tamarack {

/** Label value under which all values beyond the bound are counted together. */
constexpr std::string_view overflow_label = "other";

/** How many values of its label one metric may have. */
constexpr std::size_t max_label_values = 100;

/**
 * The metrics of one family by the value of their label, with a bound on their number.
 *
 * Thread-safe; a value seen before costs one shared lock and one look-up.
 */
template <typename Metric>
class labelled_metrics {
public:
    using factory = std::function<Metric&(const prometheus::Labels&)>;

    labelled_metrics(const metric_description& description, factory make)
        : m_description(&description), m_make(std::move(make)) {
        if (m_description->label.empty()) {
            m_metrics.emplace("", &m_make({}));
        }
    }

    /** @return the metric for a label's value; for an unlabelled family the value is ignored */
    Metric& at(std::string_view label) {
        if (m_description->label.empty()) {
            return *m_metrics.begin()->second;
        }
        {
            const std::shared_lock lock{m_mutex};
            if (const auto found = m_metrics.find(label); found != m_metrics.end()) {
                return *found->second;
            }
        }
        const std::unique_lock lock{m_mutex};
        return add(label);
    }

private:
    Metric& add(std::string_view label) {
        const bool full = m_metrics.size() >= max_label_values;
        const std::string value{full ? overflow_label : label};
        const auto [position, is_new] = m_metrics.try_emplace(value, nullptr);
        if (is_new) {
            position->second = &m_make({{std::string{m_description->label}, value}});
        }
        return *position->second;
    }

    const metric_description* m_description;
    factory m_make;
    std::shared_mutex m_mutex;
    std::map<std::string, Metric*, std::less<>> m_metrics;
};

} // namespace tamarack
