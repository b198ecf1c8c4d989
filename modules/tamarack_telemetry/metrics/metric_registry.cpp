#include "metric_registry.h"

#include "labelled_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <deque>
#include <sstream>
#include <vector>

namespace tamarack {

namespace {

using prometheus::Counter;
using prometheus::Gauge;
using prometheus::Histogram;

template <typename Builder>
auto& register_family(Builder builder, const metric_description& description,
                      prometheus::Registry& registry) {
    return builder.Name(std::string{description.name}).Help(std::string{description.help}).Register(registry);
}

} // namespace

struct metric_registry::implementation {
    implementation();

    void add_counter(const metric_description& description);
    void add_gauge(const metric_description& description);
    void add_histogram(const metric_description& description);

    prometheus::Registry registry;
    std::deque<labelled_metrics<Counter>> counters;
    std::deque<labelled_metrics<Gauge>> gauges;
    std::deque<labelled_metrics<Histogram>> histograms;
};

metric_registry::implementation::implementation() {
    for (const metric_description& description : counter_descriptions()) {
        add_counter(description);
    }
    for (const metric_description& description : gauge_descriptions()) {
        add_gauge(description);
    }
    for (const metric_description& description : histogram_descriptions()) {
        add_histogram(description);
    }
}

void metric_registry::implementation::add_counter(const metric_description& description) {
    auto& family = register_family(prometheus::BuildCounter(), description, registry);
    counters.emplace_back(
        description, [&family](const prometheus::Labels& labels) -> Counter& { return family.Add(labels); });
}

void metric_registry::implementation::add_gauge(const metric_description& description) {
    auto& family = register_family(prometheus::BuildGauge(), description, registry);
    gauges.emplace_back(description,
                        [&family](const prometheus::Labels& labels) -> Gauge& { return family.Add(labels); });
}

void metric_registry::implementation::add_histogram(const metric_description& description) {
    auto& family = register_family(prometheus::BuildHistogram(), description, registry);
    histograms.emplace_back(description, [&family](const prometheus::Labels& labels) -> Histogram& {
        const auto bounds = histogram_bounds();
        return family.Add(labels, Histogram::BucketBoundaries{bounds.begin(), bounds.end()});
    });
}

metric_registry::metric_registry() : m_implementation(std::make_unique<implementation>()) {}

metric_registry::~metric_registry() = default;

void metric_registry::count(counter_id id, std::string_view label, double by) {
    m_implementation->counters.at(static_cast<std::size_t>(id)).at(label).Increment(by);
}

void metric_registry::set(gauge_id id, double value) {
    m_implementation->gauges.at(static_cast<std::size_t>(id)).at({}).Set(value);
}

void metric_registry::observe(histogram_id id, duration value, std::string_view label) {
    const double seconds = std::chrono::duration<double>(value).count();
    m_implementation->histograms.at(static_cast<std::size_t>(id)).at(label).Observe(seconds);
}

std::string metric_registry::serialize() const {
    std::ostringstream text;
    prometheus::TextSerializer{}.Serialize(text, m_implementation->registry.Collect());
    return text.str();
}

} // namespace tamarack
