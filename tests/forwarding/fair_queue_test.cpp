#include <tamarack_forwarding/tamarack_forwarding.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <list>
#include <map>

namespace tamarack {
namespace {

constexpr time_point start{1h};

waiting_part part_of(const std::string& team, forward_number number, double work = 100.0) {
    waiting_part part;
    part.request = number;
    part.objective_at = start;
    part.team = team;
    part.work = work;
    return part;
}

void add(waiting_list& list, waiting_part part) {
    list.charge(part);
    list.insert(std::move(part));
}

/** @return the teams of the first parts, in order; removes them as sent */
std::map<std::string, int> serve(waiting_list& list, int count) {
    std::map<std::string, int> served;
    for (int index = 0; index < count; ++index) {
        ++served[list.begin()->team];
        list.erase_sent(list.begin());
    }
    return served;
}

/** Load pattern: one team has a hundred waiting parts, ten others have one each behind them. */
TEST(fair_queue, serves_a_team_with_a_long_backlog_no_more_often_than_others) {
    waiting_list list;
    for (forward_number number = 0; number < 100; ++number) {
        add(list, part_of("large", number));
    }
    for (int team = 0; team < 10; ++team) {
        add(list, part_of("small-" + std::to_string(team), 1'000));
    }
    EXPECT_EQ(serve(list, 11)["large"], 1);
}

/** Guards against a team that is served by number of requests although its requests take longer. */
TEST(fair_queue, counts_work_and_not_requests) {
    waiting_list list;
    for (forward_number number = 0; number < 100; ++number) {
        add(list, part_of("long", number, 300.0));
        add(list, part_of("short", number, 100.0));
    }
    auto served = serve(list, 80);
    EXPECT_NEAR(served["long"], 20, 1);
}

/** Guards against an urgent part of a team with a long backlog that moves the others behind that backlog. */
TEST(fair_queue, keeps_the_places_of_less_urgent_parts_when_urgent_ones_are_sent) {
    waiting_list list;
    for (forward_number number = 0; number < 100; ++number) {
        waiting_part part = part_of("large", number);
        part.priority = 2;
        add(list, part);
    }
    add(list, part_of("large", 1'000));
    EXPECT_EQ(list.begin()->request, 1'000U);
    list.erase_sent(list.begin());
    waiting_part part = part_of("small", 1'001);
    part.priority = 2;
    add(list, part);
    EXPECT_EQ(serve(list, 2)["small"], 1);
}

/** Guards against starvation: a team that was idle must neither wait behind the others' past work nor be
 * served alone because of its own idle time. */
TEST(fair_queue, lets_an_idle_team_start_at_the_current_virtual_time) {
    waiting_list list;
    for (forward_number number = 0; number < 400; ++number) {
        add(list, part_of("busy", number));
    }
    serve(list, 200);
    for (forward_number number = 0; number < 100; ++number) {
        add(list, part_of("returning", number));
    }
    auto served = serve(list, 20);
    EXPECT_NEAR(served["returning"], 10, 1);
}

/** Guards against a team that pays for parts which were given up before they were sent. */
TEST(fair_queue, does_not_charge_withdrawn_parts) {
    waiting_list list;
    for (forward_number number = 0; number < 100; ++number) {
        add(list, part_of("unlucky", number));
    }
    while (list.size() > 0) {
        list.erase_withdrawn(list.begin());
    }
    for (forward_number number = 0; number < 10; ++number) {
        add(list, part_of("other", number));
        add(list, part_of("unlucky", number));
    }
    EXPECT_EQ(serve(list, 10)["unlucky"], 5);
}

TEST(fair_queue, forgets_idle_teams) {
    fair_queue queue;
    for (int team = 0; team < 10'000; ++team) {
        queue.on_served(queue.start("team-" + std::to_string(team), 100.0));
        queue.on_served(queue.start("steady", 100.0));
    }
    EXPECT_LT(queue.teams(), 200U);
}

/** The order before there were teams, found by a search of the whole list. */
void insert_by_search(std::list<waiting_part>& list, const waiting_part& part) {
    const auto later = std::find_if(list.begin(), list.end(), [&](const waiting_part& other) {
        return other.priority > part.priority ||
               (other.priority == part.priority && other.objective_at > part.objective_at);
    });
    list.insert(later, part);
}

/** Guards deployments without teams: parts wait in the same order as before, hedges in front included. */
TEST(waiting_list, keeps_the_order_of_priority_and_objective_without_teams) {
    random_source random{7};
    waiting_list list;
    std::list<waiting_part> expected;
    for (forward_number number = 0; number < 3'000; ++number) {
        waiting_part part;
        part.request = number;
        part.priority = static_cast<std::uint32_t>(random.below(3));
        part.objective_at = start + std::chrono::milliseconds{random.below(50)};
        if (random.below(20) == 0) {
            list.push_front(part);
            expected.push_front(part);
        } else {
            list.charge(part);
            list.insert(part);
            insert_by_search(expected, part);
        }
        if (random.below(3) == 0) {
            auto at = list.begin();
            auto at_expected = expected.begin();
            for (std::uint64_t skipped = random.below(list.size()); skipped > 0; --skipped) {
                ++at;
                ++at_expected;
            }
            list.erase_sent(at);
            expected.erase(at_expected);
        }
    }
    ASSERT_EQ(list.size(), expected.size());
    auto at = list.begin();
    for (const waiting_part& part : expected) {
        ASSERT_EQ(at->request, part.request);
        ++at;
    }
}

} // namespace
} // namespace tamarack
