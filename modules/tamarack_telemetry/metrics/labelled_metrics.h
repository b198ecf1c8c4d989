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

/** Label value that stands for all values beyond the limit. */
constexpr std::string_view overflow_label = "other";

/** Maximum number of label values of one metric. */
constexpr std::size_t max_label_values = 100;

/**
 * The metrics of one family by label value, with a limit on their number.
 *
 * Thread-safe; access to an existing label value takes one shared lock and one look-up.
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

    /** @return the metric of a label value; an unlabelled family ignores the value */
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
