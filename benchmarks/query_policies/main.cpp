#include "policy_variants.h"
#include "scenarios.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

namespace tamarack {
namespace {

/**
 * Command line: `--service NAME`, `--scenario NAME`, `--policy NAME`, `--load X`, `--seeds N`, `--hosts N`,
 * `--json`. Several scenarios or policies are separated by commas.
 */
struct arguments {
    std::string service = "recall-finder";
    std::string scenario_name;
    std::string policy;
    double load = 0;
    std::uint64_t seeds = 5;
    std::size_t hosts = 3;
    bool json = false;
};

/** The values of one figure over several seeds. */
struct spread {
    std::vector<double> values;

    void add(double value) { values.push_back(value); }
    double mean() const {
        double sum = 0;
        for (const double value : values) {
            sum += value;
        }
        return values.empty() ? 0.0 : sum / static_cast<double>(values.size());
    }
    double deviation() const {
        double sum = 0;
        const double middle = mean();
        for (const double value : values) {
            sum += (value - middle) * (value - middle);
        }
        return values.size() < 2 ? 0.0 : std::sqrt(sum / static_cast<double>(values.size() - 1));
    }
};

/** Results of one policy under one scenario and load. */
struct figures {
    spread median_ms;
    spread p99_ms;
    spread p999_ms;
    spread whole;
    spread refused;
    spread extra;
    spread opened;
    spread useful;
    spread refusal_p99_ms;
};

double milliseconds(duration length) {
    return static_cast<double>(length.count()) / 1'000.0;
}

void add_report(figures& seen, const world_options& options, const world_report& report) {
    const auto latency = [&](double share) {
        return milliseconds(world_report::percentile(report.answer_latencies, share));
    };
    const double seconds = milliseconds(report.length) / 1'000.0;
    seen.median_ms.add(latency(0.5));
    seen.p99_ms.add(latency(0.99));
    seen.p999_ms.add(latency(0.999));
    seen.whole.add(report.complete_share());
    seen.refused.add(report.refused_share());
    seen.extra.add(report.extra_load());
    seen.opened.add(static_cast<double>(report.connections_opened));
    seen.useful.add(static_cast<double>(report.ended[0]) / (capacity_per_second(options) * seconds));
    seen.refusal_p99_ms.add(milliseconds(world_report::percentile(report.refusal_latencies, 0.99)));
}

figures measure(const arguments& wanted, const scenario& played, const policy_variant& policy, double load) {
    figures seen;
    for (std::uint64_t seed = 1; seed <= wanted.seeds; ++seed) {
        world_options options = deployed_service(wanted.service);
        options.load = load;
        options.seed = seed;
        options.hosts = wanted.hosts;
        played.prepare(options);
        policy.apply(options);
        model_world world(options);
        played.inject(world);
        add_report(seen, options, world.run());
    }
    return seen;
}

void print_table_row(const std::string& scenario_name, double load, const std::string& policy,
                     const figures& seen) {
    std::printf("| %s | %.0f%% | %s | %.1f±%.1f | %.1f±%.1f | %.1f±%.1f | %.4f±%.4f | %.4f | %.4f | %.0f | "
                "%.3f | %.1f |\n",
                scenario_name.c_str(), load * 100, policy.c_str(), seen.median_ms.mean(),
                seen.median_ms.deviation(), seen.p99_ms.mean(), seen.p99_ms.deviation(), seen.p999_ms.mean(),
                seen.p999_ms.deviation(), seen.whole.mean(), seen.whole.deviation(), seen.refused.mean(),
                seen.extra.mean(), seen.opened.mean(), seen.useful.mean(), seen.refusal_p99_ms.mean());
}

void print_json_line(const std::string& scenario_name, double load, const std::string& policy,
                     const figures& seen) {
    std::printf("{\"scenario\":\"%s\",\"load\":%.2f,\"policy\":\"%s\",\"median_ms\":%.3f,\"p99_ms\":%.3f,"
                "\"p99_ms_deviation\":%.3f,\"p999_ms\":%.3f,\"whole\":%.5f,\"refused\":%.5f,\"extra\":%.5f,"
                "\"opened\":%.0f,\"useful\":%.4f,\"refusal_p99_ms\":%.3f}\n",
                scenario_name.c_str(), load, policy.c_str(), seen.median_ms.mean(), seen.p99_ms.mean(),
                seen.p99_ms.deviation(), seen.p999_ms.mean(), seen.whole.mean(), seen.refused.mean(),
                seen.extra.mean(), seen.opened.mean(), seen.useful.mean(), seen.refusal_p99_ms.mean());
}

void print_head(const arguments& wanted) {
    std::printf("service %s, %llu seeds, mean ± standard deviation over seeds\n\n", wanted.service.c_str(),
                static_cast<unsigned long long>(wanted.seeds));
    std::printf("| scenario | load | policy | median ms | p99 ms | p99.9 ms | whole | refused | extra load | "
                "connections opened | useful of capacity | refusal p99 ms |\n"
                "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
}

bool parse(int count, char** words, arguments& wanted) {
    for (int index = 1; index < count; ++index) {
        const std::string word = words[index];
        if (word == "--json") {
            wanted.json = true;
            continue;
        }
        if (index + 1 == count) {
            return false;
        }
        const std::string value = words[++index];
        if (word == "--service") {
            wanted.service = value;
        } else if (word == "--scenario") {
            wanted.scenario_name = value;
        } else if (word == "--policy") {
            wanted.policy = value;
        } else if (word == "--load") {
            wanted.load = std::strtod(value.c_str(), nullptr);
        } else if (word == "--seeds") {
            wanted.seeds = std::strtoull(value.c_str(), nullptr, 10);
        } else if (word == "--hosts") {
            wanted.hosts = std::strtoull(value.c_str(), nullptr, 10);
        } else {
            return false;
        }
    }
    return true;
}

/** @return whether the name is in the comma-separated list */
bool is_listed(const std::string& list, const std::string& name) {
    return ("," + list + ",").find("," + name + ",") != std::string::npos;
}

std::vector<double> loads_of(const arguments& wanted) {
    return wanted.load > 0 ? std::vector<double>{wanted.load} : std::vector<double>{0.3, 0.6, 0.9, 1.5};
}

void run(const arguments& wanted) {
    if (!wanted.json) {
        print_head(wanted);
    }
    for (const auto& played : scenarios()) {
        if (!wanted.scenario_name.empty() && !is_listed(wanted.scenario_name, played.name)) {
            continue;
        }
        for (const double load : loads_of(wanted)) {
            for (const auto& policy : policy_variants()) {
                if (!wanted.policy.empty() && !is_listed(wanted.policy, policy.name)) {
                    continue;
                }
                const figures seen = measure(wanted, played, policy, load);
                const auto print = wanted.json ? print_json_line : print_table_row;
                print(played.name, load, policy.name, seen);
            }
        }
    }
}

} // namespace
} // namespace tamarack

int main(int count, char** words) {
    tamarack::arguments wanted;
    if (!tamarack::parse(count, words, wanted)) {
        std::cerr
            << "usage: bench_query_policies [--service NAME] [--scenario NAME] [--policy NAME] [--load X] "
               "[--seeds N] [--hosts N] [--json]\n";
        return 2;
    }
    tamarack::run(wanted);
    return 0;
}
