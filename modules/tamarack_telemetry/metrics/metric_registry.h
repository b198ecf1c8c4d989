#pragma once

#include "metric_catalogue.h"

#include <memory>
#include <string>
#include <string_view>

namespace tamarack {

/**
 * The process's metrics, over a prometheus-cpp registry. All operations are thread-safe.
 *
 * @see metric_catalogue.h for the list of metrics
 */
class metric_registry {
public:
    metric_registry();
    ~metric_registry();
    metric_registry(const metric_registry&) = delete;
    metric_registry& operator=(const metric_registry&) = delete;
    metric_registry(metric_registry&&) = delete;
    metric_registry& operator=(metric_registry&&) = delete;

    /**
     * Adds to a counter.
     *
     * @param id     which counter
     * @param label  value of its label; empty when it has none
     * @param by     amount to add; not negative
     */
    void count(counter_id id, std::string_view label = {}, double by = 1.0);

    /** Sets a gauge. */
    void set(gauge_id id, double value);

    /**
     * Adds one observation to a histogram.
     *
     * @param id     which histogram
     * @param label  value of its label; empty when it has none
     * @param value  the observed time
     */
    void observe(histogram_id id, duration value, std::string_view label = {});

    /** @return all metrics in the Prometheus text format */
    std::string serialize() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace tamarack
