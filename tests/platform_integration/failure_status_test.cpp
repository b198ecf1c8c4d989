#include "platform_deployment.h"

#include <gtest/gtest.h>

namespace tamarack::platform_integration {
namespace {

constexpr unsigned status_bad_gateway = 502;

std::string document(const std::string& type) {
    return R"({"version":1,"routes":[
 {"name":"fetch","host":"x.example","path-prefix":"/fetch/","type":")" +
           type + R"(","timeout-ms":2500,"target-latency-ms":250,
  "priority":2,"service":"orders","max-attempts":2}],
 "services":[{"name":"orders","health-check-path":"/health","max-connections":45}]})";
}

/** The parameter is the type of the route. */
class failure_status : public ::testing::TestWithParam<const char*> {};

/**
 * Guards against a replica's own 429 or 503 that its caller takes for the promise that the request has not
 * run: the caller would send an order again that has run.
 */
TEST_P(failure_status, of_a_request_that_ran_never_tells_the_caller_that_it_has_not) {
    platform_deployment deployment{3, 0};
    stand_in_replica& replica = deployment.add_replica("orders");
    deployment.start_all();
    ASSERT_EQ(deployment.submit(document(GetParam())), 200U) << deployment.logs();
    deployment.start_heartbeats();
    const auto status = [&] {
        const auto response = deployment.request(0, "x.example", "/fetch/1");
        return response ? response->status : 0U;
    };
    ASSERT_TRUE(eventually([&] { return status() == status_ok; })) << deployment.logs();
    const auto request_that_fails = [&](unsigned failure) {
        replica.fails = false;
        EXPECT_EQ(status(), status_ok); // a replica that fails several times in a row gets no requests
        replica.failure_status = failure;
        replica.fails = true;
        const unsigned before = replica.runs;
        auto response = deployment.request(0, "x.example", "/fetch/1");
        EXPECT_EQ(replica.runs, before + 1) << failure;
        return response;
    };
    for (const unsigned denying : {408U, 429U, 503U}) {
        const auto response = request_that_fails(denying);
        ASSERT_TRUE(response) << denying;
        EXPECT_EQ(response->status, status_bad_gateway) << denying;
        EXPECT_EQ(response->fields.count("x-tamarackstand-response-stamp"), 0U)
            << "a failure with the replica's stamp must have the replica's status";
        EXPECT_EQ(response->fields.count("retry-after"), 0U);
    }
    EXPECT_EQ(deployment.requests_run_after_refusal(), std::vector<std::string>{});
    const auto passed_on = request_that_fails(500);
    ASSERT_TRUE(passed_on);
    EXPECT_EQ(passed_on->status, 500U);
    EXPECT_EQ(passed_on->fields.count("x-tamarackstand-response-stamp"), 1U);
}

INSTANTIATE_TEST_SUITE_P(routes, failure_status, ::testing::Values("unsafe", "safe"),
                         [](const auto& information) { return std::string{information.param}; });

} // namespace
} // namespace tamarack::platform_integration
