#include "figures.h"

#include <cstdio>
#include <string>

/** Usage: bench_consensus replacement | cost | journal FOLDER */
int main(int count, char** arguments) {
    const std::string what = count > 1 ? arguments[1] : "";
    if (what == "replacement") {
        tamarack::measure_leader_replacement();
    } else if (what == "cost") {
        tamarack::measure_leader_cost();
    } else if (what == "journal" && count > 2) {
        tamarack::measure_journal(arguments[2]);
    } else {
        std::fputs("usage: bench_consensus replacement | cost | journal FOLDER\n", stderr);
        return 2;
    }
    return 0;
}
