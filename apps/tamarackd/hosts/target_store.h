#pragma once

#include <tamarack_membership/tamarack_membership.h>
#include <tamarack_storage/tamarack_storage.h>
#include <tamarack_transport/tamarack_transport.h>

#include <atomic>
#include <memory>
#include <vector>

namespace tamarack {

/**
 * Keeps the known targets on the disk of a control host, for the time after a start of all hosts in which no
 * target has announced itself yet.
 *
 * Use it where targets announce themselves seldom. What is read back is old: targets may have gone and
 * addresses may be in other use, so that only exchanges that name their target may be sent there.
 *
 * @see target_registry::restore
 */
class target_store {
public:
    /** @param folder  the host's data folder; stays locked for as long as this lives */
    explicit target_store(opened_folder folder);
    ~target_store();
    target_store(const target_store&) = delete;
    target_store& operator=(const target_store&) = delete;
    target_store(target_store&&) = delete;
    target_store& operator=(target_store&&) = delete;

    void start();
    void stop();

    /** @return what was kept last; empty when there is nothing or it can't be read, which is logged */
    std::vector<target_record> read() const;

    /** @return whether keep would write now: not too soon after the last time, nor while it still writes */
    bool is_due(time_point now) const;

    /** Writes the records on a thread of its own, in place of those kept before. */
    void save(time_point now, std::vector<target_record> records);

private:
    void write(const std::vector<target_record>& records);

    opened_folder m_folder;
    worker_thread m_thread;
    std::atomic<bool> m_writing{false};
    time_point m_saved_at{};
};

} // namespace tamarack
