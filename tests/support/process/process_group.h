#pragma once

#include "child_process.h"

#include "support/temporary_folder.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tamarack::testing_support {

/** Time-out for every condition that a test waits for; results never depend on how long it took. */
constexpr std::chrono::seconds test_timeout{60};

/** The processes of one test, by name; those still running are killed on destruction. */
class process_group {
public:
    /**
     * Starts a program and waits until it prints the line "listening ...".
     *
     * @param name       name of the process and its output files; may be reused after the process has ended
     * @param program    path of the program
     * @param arguments  without the program's name
     */
    child_process& start(const std::string& name, const std::string& program,
                         const std::vector<std::string>& arguments);

    child_process& at(const std::string& name) { return *m_children.at(name); }

    /** @return the address that the process printed after "listening" or, if a key is given, after "KEY=" */
    std::string address(const std::string& name, const std::string& key = {}) const;

    /** Sends SIGTERM to a process and waits until it ends. @return its exit status */
    process_end stop(const std::string& name);

    /** Sends SIGKILL to a process and waits until it ends. */
    void kill(const std::string& name);

    /** @return the output of all processes, for messages of failed tests */
    std::string logs() const;

    const temporary_folder& folder() const { return m_folder; }

private:
    temporary_folder m_folder;
    unsigned m_started = 0;
    std::map<std::string, std::unique_ptr<child_process>> m_children;
};

} // namespace tamarack::testing_support
