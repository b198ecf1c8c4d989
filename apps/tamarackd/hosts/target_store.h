#pragma once

#include <tamarack_membership/tamarack_membership.h>
#include <tamarack_storage/tamarack_storage.h>
#include <tamarack_transport/tamarack_transport.h>

#include <atomic>
#include <memory>
#include <vector>

namespace tamarack {

/**
 * Stores the known targets on the disk of a control host. After a restart of all hosts they are used until
 * the targets have announced themselves.
 *
 * Intended for targets that announce themselves rarely. Restored records may be outdated: a target may no
 * longer exist, and its address may be in use by something else. To a restored target, send only
 * exchanges that name their target.
 *
 * @see target_registry::restore
 */
class target_store {
public:
    /** @param folder  the host's data folder; remains locked for the lifetime of this object */
    explicit target_store(opened_folder folder);
    ~target_store();
    target_store(const target_store&) = delete;
    target_store& operator=(const target_store&) = delete;
    target_store(target_store&&) = delete;
    target_store& operator=(target_store&&) = delete;

    void start();
    void stop();

    /** @return the records saved last; empty if there are none. Read errors are logged and also give an empty
     * result. */
    std::vector<target_record> read() const;

    /** @return whether records may be saved now: the minimum interval has passed and no write is in progress
     */
    bool is_due(time_point now) const;

    /** Replaces the saved records. Writes them on a separate thread. */
    void save(time_point now, std::vector<target_record> records);

private:
    void write(const std::vector<target_record>& records);

    opened_folder m_folder;
    worker_thread m_thread;
    std::atomic<bool> m_writing{false};
    time_point m_saved_at{};
};

} // namespace tamarack
