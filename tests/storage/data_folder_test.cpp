#include "temporary_folder.h"

#include <tamarack_storage/tamarack_storage.h>

#include <gtest/gtest.h>

#include <fstream>

namespace tamarack {
namespace {

namespace files = std::filesystem;

class data_folder_test : public testing::Test {
protected:
    data_folder_test() { files::create_directory(m_folder.data()); }

    outcome<opened_folder> open(const std::string& name = "a") {
        return open_data_folder(m_folder.data(), host_id{name}, m_random);
    }

    temporary_folder m_folder;
    random_source m_random{1};
};

TEST_F(data_folder_test, starts_an_incarnation_and_locks_the_folder) {
    const opened_folder first = value_of(open());
    EXPECT_EQ(first.condition, folder_condition::fresh);
    EXPECT_NE(first.identity.incarnation.value, 0U);
    EXPECT_EQ(error_of(open()).code, error_code::conflict) << "the folder is locked";
}

TEST_F(data_folder_test, is_intact_when_opened_again) {
    const folder_identity first = value_of(open()).identity;
    const opened_folder second = value_of(open());
    EXPECT_EQ(second.condition, folder_condition::intact);
    EXPECT_EQ(second.identity.incarnation, first.incarnation);
    EXPECT_EQ(second.identity.host, host_id{"a"});
}

TEST_F(data_folder_test, refuses_the_folder_of_another_host) {
    EXPECT_TRUE(succeeded(open()));
    EXPECT_EQ(error_of(open("b")).code, error_code::conflict);
}

TEST_F(data_folder_test, detects_a_folder_restored_from_a_copy) {
    EXPECT_TRUE(succeeded(open()));
    files::copy(m_folder.data(), m_folder.other(), files::copy_options::recursive);
    files::remove_all(m_folder.data());
    files::rename(m_folder.other(), m_folder.data());
    EXPECT_EQ(value_of(open()).condition, folder_condition::copied);
}

TEST_F(data_folder_test, detects_a_damaged_identity) {
    EXPECT_TRUE(succeeded(open()));
    std::fstream identity{m_folder.data() + "/identity"};
    const bool begins_with_seven = identity.peek() == '7';
    identity.seekp(0) << (begins_with_seven ? '8' : '7');
    identity.close();
    EXPECT_EQ(value_of(open()).condition, folder_condition::damaged);
    files::remove(m_folder.data() + "/identity");
    files::create_directory(m_folder.data() + "/journal");
    EXPECT_EQ(value_of(open()).condition, folder_condition::damaged);
}

TEST_F(data_folder_test, begins_a_new_incarnation_when_renewed) {
    opened_folder first = value_of(open());
    ASSERT_TRUE(succeeded(value_of(open_journal(first, system_file_hooks()))->store({"vote", 0, {}, 0, {}})));
    const opened_folder renewed = value_of(renew_data_folder(first, m_random));
    EXPECT_EQ(renewed.condition, folder_condition::fresh);
    EXPECT_NE(renewed.identity.incarnation, first.identity.incarnation);
    EXPECT_TRUE(value_of(open_journal(renewed, system_file_hooks()))->recovered().vote.empty());
    EXPECT_TRUE(files::exists(m_folder.data() + "/set-aside/journal"));
    EXPECT_FALSE(succeeded(open())) << "still locked";
}

} // namespace
} // namespace tamarack
