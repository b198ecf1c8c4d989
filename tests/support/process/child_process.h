#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace tamarack::testing_support {

/** Exit status of a process. */
struct process_end {
    int exit_code = -1; ///< -1 if a signal ended the process
    int signal = 0;
};

/** A program started by a test; its output is written to files. */
class child_process {
public:
    /**
     * Starts a program.
     *
     * @param program      path of the program
     * @param arguments    without the program's name
     * @param output_base  path of the output files without their extension
     */
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  std::string output_base);
    /** Kills the process if it is still running. */
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    void send_signal(int signal) const;

    /** @return its exit status, or std::nullopt while it runs */
    std::optional<process_end> poll();

    /** Waits until it ends. @return its exit status, or std::nullopt if it still runs after the limit */
    std::optional<process_end> wait(std::chrono::milliseconds limit);

    /** @return its standard output so far */
    std::string output() const;

    /** @return its standard error so far */
    std::string errors() const;

    /** @return the most memory that it had in use at any time, in KiB; 0 if it has ended */
    std::size_t peak_memory_kib() const;

    /** @return the number of its open file descriptors; 0 if it has ended */
    std::size_t open_descriptors() const;

private:
    std::string m_output_base;
    pid_t m_id = -1;
    std::optional<process_end> m_end;
};

} // namespace tamarack::testing_support
