#include "process_group.h"

#include <csignal>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace tamarack::testing_support {

namespace {

constexpr std::chrono::milliseconds poll_interval{5};

/** @return the words of the line "listening ...", or an empty list until that line is complete */
std::vector<std::string> listening_words(const std::string& output) {
    const std::size_t start = output.find("listening ");
    const std::size_t end = output.find('\n', start);
    if (start == std::string::npos || end == std::string::npos) {
        return {};
    }
    std::istringstream line{output.substr(start, end - start)};
    std::vector<std::string> words;
    for (std::string word; line >> word;) {
        words.push_back(word);
    }
    return words;
}

} // namespace

child_process& process_group::start(const std::string& name, const std::string& program,
                                    const std::vector<std::string>& arguments) {
    const std::string base = (m_folder.path() / (name + "-" + std::to_string(++m_started))).string();
    auto& child = m_children[name];
    child = std::make_unique<child_process>(program, arguments, base);
    const auto deadline = std::chrono::steady_clock::now() + test_timeout;
    while (listening_words(child->output()).empty()) {
        if (child->poll() || std::chrono::steady_clock::now() > deadline) {
            throw std::runtime_error{name + " failed to start:\n" + child->errors()};
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return *child;
}

std::string process_group::address(const std::string& name, const std::string& key) const {
    const std::vector<std::string> words = listening_words(m_children.at(name)->output());
    if (key.empty()) {
        return words.at(1);
    }
    for (const std::string& word : words) {
        if (word.starts_with(key + "=")) {
            return word.substr(key.size() + 1);
        }
    }
    throw std::runtime_error{name + " printed no address " + key};
}

process_end process_group::stop(const std::string& name) {
    child_process& child = at(name);
    child.send_signal(SIGTERM);
    const auto end = child.wait(test_timeout);
    if (!end) {
        throw std::runtime_error{name + " failed to stop:\n" + child.errors()};
    }
    return *end;
}

void process_group::kill(const std::string& name) {
    child_process& child = at(name);
    child.send_signal(SIGKILL);
    child.wait(test_timeout);
}

std::string process_group::logs() const {
    std::string text;
    for (const auto& [name, child] : m_children) {
        text += "--- " + name + "\n" + child->output() + child->errors();
    }
    return text;
}

} // namespace tamarack::testing_support
