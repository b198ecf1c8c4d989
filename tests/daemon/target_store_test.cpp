#include "hosts/target_store.h"

#include "support/temporary_folder.h"

#include <gtest/gtest.h>

#include <fstream>
#include <thread>

namespace tamarack {
namespace {

constexpr time_point start{1h};

target_record target(const std::string& id) {
    target_record record;
    record.latest.target = target_id{id};
    record.latest.incarnation = incarnation_id{100};
    record.latest.sequence = 7;
    record.latest.address = endpoint{"10.0.0.1:80"};
    record.latest.data_center = data_center_id{"dc"};
    record.latest.service = service_id{"s"};
    record.latest.state = target_state::ready;
    record.registrar = host_id{"a"};
    record.alive = true;
    record.version = 14;
    record.incarnation_order = 100;
    return record;
}

struct target_memory_test : ::testing::Test {
    opened_folder open() const {
        random_source random{1};
        return value_of(open_data_folder(m_folder.path().string(), host_id{"a"}, random));
    }
    std::string file() const { return (m_folder.path() / "targets.json").string(); }

    /** Writes records and waits until they are on the disk. */
    void save(const std::vector<target_record>& records) const {
        target_store store{open()};
        store.start();
        store.save(start, records);
        EXPECT_FALSE(store.is_due(start + 1s)) << "the minimum interval between writes has not passed";
        while (!store.is_due(start + 1h)) {
            std::this_thread::yield();
        }
    }

    temporary_folder m_folder;
};

TEST_F(target_memory_test, reads_back_records_saved_by_an_earlier_process) {
    save({target("i-1"), target("i-2")});
    const std::vector<target_record> read = target_store{open()}.read();
    EXPECT_EQ(read, (std::vector<target_record>{target("i-1"), target("i-2")}));
}

TEST_F(target_memory_test, reads_nothing_from_a_fresh_folder) {
    EXPECT_TRUE(target_store{open()}.read().empty());
}

TEST_F(target_memory_test, restores_nothing_from_a_damaged_file) {
    save({target("i-1")});
    std::ofstream{file()} << R"([{"latest":{"target":"i-1")";
    EXPECT_TRUE(target_store{open()}.read().empty());
    std::ofstream{file()} << R"([{"latest":{}}])";
    EXPECT_TRUE(target_store{open()}.read().empty());
    std::ofstream{file()} << R"({"kind":"news"})";
    EXPECT_TRUE(target_store{open()}.read().empty());
}

} // namespace
} // namespace tamarack
