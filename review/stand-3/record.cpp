#include "record.h"

#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <string_view>

namespace review {

case_record::case_record(const std::string& path) : m_file(path) {}

std::chrono::milliseconds case_record::elapsed() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_begin);
}

void case_record::line(const std::string& text) {
    const std::scoped_lock lock{m_mutex};
    m_file << std::setw(7) << elapsed().count() << " ms  " << text << '\n' << std::flush;
}

int case_record::end(verdict result, const std::string& reason) {
    const char* const name = result == verdict::held     ? "held"
                             : result == verdict::broken ? "broken"
                                                         : "could not run";
    line(std::string{name} + ": " + reason);
    std::cout << name << ": " << reason << std::endl;
    return static_cast<int>(result);
}

bool trouble_wanted() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view{value} != "0";
}

} // namespace review
