#include <tamarack_consensus/state/entry_log.h>

#include <gtest/gtest.h>

namespace tamarack {
namespace {

/** Appends entries of one size, and takes a snapshot after each few of them. */
entry_log log_with(std::size_t entries, std::size_t entry_bytes, log_index entries_between_snapshots) {
    entry_log log{{}, {}};
    for (log_index index = 1; index <= entries; ++index) {
        log.append({1, index, entry_kind::command, std::string(entry_bytes, 'x'), {}});
        if (index % entries_between_snapshots == 0) {
            log.compact(index, "state");
        }
    }
    return log;
}

std::size_t entries_in_memory(const entry_log& log) {
    return log.last().index + 1 - log.first();
}

/** Guards against control hosts that run out of memory: each change of a large configuration is an entry of
 * hundreds of kilobytes. */
TEST(entry_log, bounds_the_bytes_of_the_entries_before_a_snapshot) {
    constexpr std::size_t entry_bytes = 600 * kibibyte;
    const entry_log log = log_with(400, entry_bytes, 8);
    EXPECT_LE(entries_in_memory(log) * entry_bytes, 2 * mebibyte);
    EXPECT_GE(entries_in_memory(log), 1U);
    EXPECT_EQ(log.snapshot()->last.index, 400U);
    EXPECT_EQ(log.term_at(log.first() - 1), 1U);
}

TEST(entry_log, keeps_an_entry_after_the_snapshot_however_large_it_is) {
    entry_log log = log_with(8, 100, 8);
    log.append({1, 9, entry_kind::command, std::string(10 * mebibyte, 'x'), {}});
    log.compact(8, "state");
    EXPECT_EQ(log.at(9).content.size(), 10 * mebibyte);
    log.compact(9, "state");
    EXPECT_EQ(entries_in_memory(log), 0U);
    log.append({1, 10, entry_kind::command, "next", {}});
    EXPECT_EQ(log.at(10).content, "next");
}

TEST(entry_log, keeps_a_thousand_small_entries_before_a_snapshot) {
    const entry_log log = log_with(4'000, 100, 8);
    EXPECT_EQ(entries_in_memory(log), 1'024U);
}

} // namespace
} // namespace tamarack
