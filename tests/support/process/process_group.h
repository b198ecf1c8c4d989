#pragma once

#include "child_process.h"

#include "support/temporary_folder.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tamarack::testing_support {

/** Longest wait for anything that a test expects; a verdict never depends on how long it took. */
constexpr std::chrono::seconds test_timeout{60};

/** The processes of one test, by name; all that still run are killed at its end. */
class process_group {
public:
    /**
     * Starts a program, and waits until it prints its line "listening ...".
     *
     * @param name       names it and its output files; a name that ended may be used again
     * @param program    path
     * @param arguments  without the program's name
     */
    child_process& start(const std::string& name, const std::string& program,
                         const std::vector<std::string>& arguments);

    child_process& at(const std::string& name) { return *m_children.at(name); }

    /** @return the address after "listening", or after "listening ... KEY=" */
    std::string address(const std::string& name, const std::string& key = {}) const;

    /** Ends a process by SIGTERM and waits. @return how it ended */
    process_end stop(const std::string& name);

    /** Ends a process by SIGKILL and waits. */
    void kill(const std::string& name);

    /** @return the output of all processes, for a failed test */
    std::string logs() const;

    const temporary_folder& folder() const { return m_folder; }

private:
    temporary_folder m_folder;
    unsigned m_started = 0;
    std::map<std::string, std::unique_ptr<child_process>> m_children;
};

} // namespace tamarack::testing_support
