#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/** Exit codes of a case. */
enum class verdict { held = 0, broken = 1, not_run = 2 };

/** Writes what was sent, answered and run to a file, with the time since the start, and the verdict to
 * standard output. */
class case_record {
public:
    explicit case_record(const std::string& path);

    void line(const std::string& text);
    /** Records the end of the case. @return the exit code */
    int end(verdict result, const std::string& reason);
    std::chrono::milliseconds elapsed() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_begin = std::chrono::steady_clock::now();
};

/** @return whether the disruption is wanted: TROUBLE=0 switches it off */
bool trouble_wanted();

} // namespace review
