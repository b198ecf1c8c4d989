#include "temporary_folder.h"

#include <tamarack_storage/tamarack_storage.h>

#include <gtest/gtest.h>

#include <cerrno>
#include <fstream>

namespace tamarack {
namespace {

namespace files = std::filesystem;

const host_id host{"a"};

class journal_test : public testing::Test {
protected:
    journal_test() { files::create_directory(m_folder.data()); }

    /** Reopens the folder and its journal, as a restarted daemon does. */
    const journal_content& reopen(const file_hooks& hooks = system_file_hooks()) {
        m_journal.reset();
        m_opened.reset();
        m_opened = value_of(open_data_folder(m_folder.data(), host, m_random));
        m_journal = value_of(open_journal(*m_opened, hooks));
        return m_journal->recovered();
    }

    bool store(const journal_write& change) { return succeeded(m_journal->store(change)); }

    bool append(std::uint64_t first, std::uint64_t last, std::size_t bytes = 20) {
        bool stored = true;
        for (std::uint64_t index = first; index <= last; ++index) {
            journal_write change;
            change.records.push_back({index, content_of(index, bytes)});
            stored = stored && store(change);
        }
        return stored;
    }

    static std::string content_of(std::uint64_t index, std::size_t bytes = 20) {
        return std::to_string(index) + std::string(bytes, 'x');
    }

    /** Changes the bytes of the first segment in place. */
    void edit_segment(const std::function<void(std::string&)>& edit) {
        const files::path segment = m_folder.data() + "/journal/segment-00000000000000000001";
        std::ifstream input{segment, std::ios::binary};
        std::string bytes{std::istreambuf_iterator<char>{input}, std::istreambuf_iterator<char>{}};
        edit(bytes);
        std::ofstream{segment, std::ios::binary | std::ios::trunc} << bytes;
    }

    temporary_folder m_folder;
    random_source m_random{1};
    std::optional<opened_folder> m_opened;
    std::unique_ptr<journal> m_journal;
};

TEST_F(journal_test, recovers_what_was_stored) {
    EXPECT_EQ(reopen().records.size(), 0U);
    EXPECT_TRUE(store({"vote 1", 0, {{1, "one"}, {2, "two"}, {3, "three"}}, 0, {}}));
    EXPECT_TRUE(store({"vote 2", 2, {{2, "other"}}, 0, {}}));
    const journal_content& found = reopen();
    EXPECT_EQ(found.vote, "vote 2");
    EXPECT_EQ(found.records, (std::vector<journal_record>{{1, "one"}, {2, "other"}}));
    EXPECT_FALSE(found.damaged);
}

TEST_F(journal_test, recovers_a_thousand_entries_after_a_restart) {
    reopen();
    EXPECT_TRUE(append(1, 1'000));
    const journal_content& found = reopen();
    ASSERT_EQ(found.records.size(), 1'000U);
    EXPECT_EQ(found.records.back(), (journal_record{1'000, content_of(1'000)}));
}

TEST_F(journal_test, bounds_its_size_with_snapshots) {
    reopen();
    constexpr std::uint64_t step = 50;
    constexpr std::size_t bytes = 10'000;
    std::uint64_t largest = 0;
    for (std::uint64_t index = 0; index < 20 * step; index += step) {
        EXPECT_TRUE(append(index + 1, index + step, bytes));
        EXPECT_TRUE(store({"vote", 0, {}, index + step - 5, "snapshot " + std::to_string(index)}));
        largest = std::max(largest, m_journal->size_on_disk());
    }
    EXPECT_LT(largest, 3 * step * bytes);
    const journal_content& found = reopen();
    EXPECT_EQ(found.snapshot_index, 995U);
    EXPECT_EQ(found.snapshot, "snapshot 950");
    EXPECT_EQ(found.vote, "vote");
    EXPECT_EQ(found.records.size(), 5U);
}

TEST_F(journal_test, accepts_a_gap_that_a_snapshot_covers) {
    reopen();
    EXPECT_TRUE(append(1, 3));
    EXPECT_TRUE(store({{}, 0, {{9, "nine"}, {10, "ten"}, {11, "eleven"}}, 10, "snapshot"}));
    EXPECT_TRUE(append(12, 12));
    const journal_content& found = reopen();
    EXPECT_FALSE(found.damaged);
    EXPECT_EQ(found.records, (std::vector<journal_record>{{11, "eleven"}, {12, content_of(12)}}));
}

TEST_F(journal_test, truncates_a_torn_tail) {
    reopen();
    EXPECT_TRUE(append(1, 10));
    edit_segment([](std::string& bytes) { bytes.resize(bytes.size() - 7); });
    const journal_content& found = reopen();
    EXPECT_TRUE(found.tail_truncated);
    EXPECT_FALSE(found.damaged);
    ASSERT_EQ(found.records.size(), 9U);
    EXPECT_TRUE(append(10, 12));
    EXPECT_EQ(reopen().records.size(), 12U);
    EXPECT_FALSE(m_journal->recovered().tail_truncated);
}

TEST_F(journal_test, detects_a_changed_bit_anywhere) {
    reopen();
    EXPECT_TRUE(append(1, 10));
    for (const std::size_t from_end : {2'000U, 500U, 100U, 60U, 5U}) {
        const auto flip = [from_end](std::string& bytes) {
            auto& changed = bytes[bytes.size() - std::min<std::size_t>(from_end, bytes.size() - 40)];
            changed = static_cast<char>(changed ^ 4);
        };
        edit_segment(flip);
        EXPECT_TRUE(reopen().damaged) << from_end;
        EXPECT_FALSE(store({"vote", 0, {}, 0, {}}));
        edit_segment(flip);
    }
    EXPECT_FALSE(reopen().damaged);
    EXPECT_EQ(m_journal->recovered().records.size(), 10U);
}

TEST_F(journal_test, detects_a_segment_restored_from_a_copy) {
    reopen();
    EXPECT_TRUE(append(1, 10));
    const files::path segment = m_folder.data() + "/journal/segment-00000000000000000001";
    files::copy(segment, m_folder.other());
    EXPECT_TRUE(append(11, 20));
    files::remove(segment);
    files::rename(m_folder.other(), segment);
    EXPECT_TRUE(reopen().damaged);
}

TEST_F(journal_test, detects_missing_files) {
    const std::string directory = m_folder.data() + "/journal";
    reopen();
    EXPECT_FALSE(reopen().damaged) << "an empty journal";
    EXPECT_TRUE(append(1, 10));
    files::remove(directory + "/segment-00000000000000000001");
    EXPECT_TRUE(reopen().damaged);
    files::remove_all(directory);
    EXPECT_TRUE(reopen().damaged);
}

TEST_F(journal_test, detects_a_missing_snapshot) {
    reopen();
    EXPECT_TRUE(append(1, 10));
    EXPECT_TRUE(store({"vote", 0, {}, 10, "snapshot"}));
    files::remove(m_folder.data() + "/journal/snapshot-00000000000000000010");
    EXPECT_TRUE(reopen().damaged);
}

/** File hooks of a disk that refuses writes or syncs on demand. */
struct faulty_disk {
    std::size_t free_bytes = 1'000'000;
    bool sync_fails = false;

    file_hooks hooks() {
        file_hooks result;
        result.write = [this](int file, const void* data, std::size_t size) -> long {
            const std::size_t fits = std::min(free_bytes, size);
            free_bytes -= fits;
            errno = ENOSPC;
            return fits == 0 ? -1 : system_file_hooks().write(file, data, fits);
        };
        result.sync = [this](int /*file*/) {
            errno = EIO;
            return sync_fails ? -1 : 0;
        };
        return result;
    }
};

TEST_F(journal_test, refuses_what_follows_a_change_that_a_failed_sync_left_out) {
    faulty_disk disk;
    reopen(disk.hooks());
    EXPECT_TRUE(append(1, 1));
    disk.sync_fails = true;
    EXPECT_FALSE(append(2, 2));
    disk.sync_fails = false;
    EXPECT_FALSE(append(3, 3)) << "the second record is missing";
    EXPECT_TRUE(append(2, 3));
    const journal_content& found = reopen();
    EXPECT_FALSE(found.damaged);
    EXPECT_EQ(found.records,
              (std::vector<journal_record>{{1, content_of(1)}, {2, content_of(2)}, {3, content_of(3)}}));
}

TEST_F(journal_test, refuses_everything_while_the_disk_is_full) {
    faulty_disk disk;
    reopen(disk.hooks());
    const std::size_t free_after_opening = disk.free_bytes;
    ASSERT_TRUE(append(1, 1));
    const std::size_t record_bytes = free_after_opening - disk.free_bytes;
    // The opening writes the journal's identity, whose length varies: count from here, so that the disk is
    // full in the middle of a record.
    constexpr std::size_t complete_records = 7;
    disk.free_bytes = complete_records * record_bytes + record_bytes / 2;
    EXPECT_FALSE(append(2, 100));
    const journal_content& torn = reopen(disk.hooks());
    EXPECT_TRUE(torn.tail_truncated);
    EXPECT_FALSE(torn.damaged);
    EXPECT_EQ(torn.records.size(), 1 + complete_records);
    const auto refused = m_journal->store({"vote", 0, {}, 0, {}});
    EXPECT_EQ(error_of(refused).code, error_code::input_output);
    disk.free_bytes = 1'000'000;
    EXPECT_FALSE(append(101, 101)) << "records are missing before it";
    EXPECT_TRUE(append(9, 100));
    const journal_content& found = reopen();
    EXPECT_FALSE(found.damaged);
    EXPECT_EQ(found.records.size(), 100U);
}

/** Guards against a journal that takes no change any more after a disk that was full for a moment. The disk
 * fills up after each number of bytes, so within each part of each kind of change. */
TEST_F(journal_test, stores_a_change_once_the_full_disk_has_room_again) {
    const std::vector<journal_write> changes{
        {"vote 1", 0, {{1, content_of(1)}, {2, content_of(2)}}, 0, {}},
        {"vote 2", 2, {{2, "other"}, {3, content_of(3)}}, 0, {}},
        {{}, 0, {{4, content_of(4)}}, 2, "snapshot"},
        {"vote 3", 0, {{5, content_of(5)}}, 0, {}},
    };
    bool room_for_all = false;
    for (std::size_t room = 0; !room_for_all; ++room) {
        files::remove_all(m_folder.data());
        files::create_directory(m_folder.data());
        faulty_disk disk;
        reopen(disk.hooks());
        disk.free_bytes = room;
        room_for_all = true;
        for (const journal_write& change : changes) {
            for (int refused = 0; !store(change); ++refused) {
                ASSERT_LT(refused, 2) << room;
                room_for_all = false;
                disk.free_bytes = refused == 0 ? 0 : 1'000'000;
            }
        }
        const journal_content& found = reopen();
        ASSERT_FALSE(found.damaged) << room;
        ASSERT_FALSE(found.tail_truncated) << room;
        ASSERT_EQ(found.vote, "vote 3") << room;
        ASSERT_EQ(found.snapshot, "snapshot") << room;
        ASSERT_EQ(found.records,
                  (std::vector<journal_record>{{3, content_of(3)}, {4, content_of(4)}, {5, content_of(5)}}))
            << room;
    }
}

/** As above with a failed sync, after which the kernel may have dropped the written bytes. */
TEST_F(journal_test, stores_a_change_again_after_each_failed_sync) {
    const journal_write first{"vote 1", 0, {{1, content_of(1)}}, 0, {}};
    const journal_write second{"vote 2", 0, {{2, content_of(2)}}, 1, "snapshot"};
    for (int failing = 0; failing < 12; ++failing) {
        files::remove_all(m_folder.data());
        files::create_directory(m_folder.data());
        int syncs = 0;
        file_hooks hooks = system_file_hooks();
        hooks.sync = [&](int file) { return syncs++ == failing ? -1 : system_file_hooks().sync(file); };
        m_journal.reset();
        m_opened.reset();
        m_opened = value_of(open_data_folder(m_folder.data(), host, m_random));
        auto opened = open_journal(*m_opened, hooks);
        if (!succeeded(opened)) {
            continue; // a fresh journal that can't be begun is not opened
        }
        m_journal = value_of(std::move(opened));
        for (const journal_write& change : {first, second}) {
            ASSERT_TRUE(store(change) || store(change)) << failing;
        }
        ASSERT_TRUE(store({"vote 3", 0, {}, 0, {}}) || store({"vote 3", 0, {}, 0, {}})) << failing;
        const journal_content& found = reopen();
        ASSERT_FALSE(found.damaged) << failing;
        ASSERT_EQ(found.vote, "vote 3") << failing;
        ASSERT_EQ(found.snapshot, "snapshot") << failing;
        ASSERT_EQ(found.records, (std::vector<journal_record>{{2, content_of(2)}})) << failing;
    }
}

/** A file that can't be removed must neither fail the change that is already stored nor be forgotten: a gap
 * between the files that remain would read as damage. */
TEST_F(journal_test, removes_with_a_later_change_what_it_could_not_remove) {
    reopen();
    EXPECT_TRUE(append(1, 2));
    const files::path covered = m_folder.data() + "/journal/segment-00000000000000000001";
    files::remove(covered);
    files::create_directories(covered / "not empty");
    EXPECT_TRUE(store({"vote 1", 0, {{3, content_of(3)}}, 2, "snapshot 2"}));
    ASSERT_TRUE(m_journal->cleanup_failure());
    EXPECT_EQ(m_journal->cleanup_failure()->code, error_code::input_output);
    EXPECT_TRUE(append(4, 4));
    EXPECT_TRUE(m_journal->cleanup_failure());
    files::remove(covered / "not empty");
    EXPECT_TRUE(append(5, 5));
    EXPECT_FALSE(m_journal->cleanup_failure());
    EXPECT_FALSE(files::exists(covered));
    const journal_content& found = reopen();
    EXPECT_FALSE(found.damaged);
    EXPECT_EQ(found.snapshot, "snapshot 2");
    EXPECT_EQ(found.records,
              (std::vector<journal_record>{{3, content_of(3)}, {4, content_of(4)}, {5, content_of(5)}}));
}

} // namespace
} // namespace tamarack
