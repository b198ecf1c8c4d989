#include "answer_builder.h"

namespace tamarack {

namespace {

query_answer begin_answer(const query_run& run, ticket_number ticket) {
    query_answer answer;
    answer.number = run.request.number;
    answer.id = run.request.id;
    answer.ticket = ticket;
    return answer;
}

void list_missing(const query_run& run, query_answer& answer) {
    for (const auto& part : run.shards) {
        if (part.progress != shard_progress::covered) {
            answer.missing.push_back({part.shard->id, part.reason});
        }
    }
}

} // namespace

query_answer build_answer(query_run& run, ticket_number ticket) {
    query_answer answer = begin_answer(run, ticket);
    answer.version = run.version.version;
    for (auto& part : run.shards) {
        if (part.progress != shard_progress::covered) {
            continue;
        }
        require_invariant(part.stated_version == run.version.version,
                          "every part of an answer is of the answer's index version");
        answer.covered.push_back({part.shard->id, std::move(part.body)});
    }
    list_missing(run, answer);
    require_invariant(answer.covered.size() + answer.missing.size() == run.shards.size(),
                      "each shard of an answer is either covered or missing");
    answer.outcome = answer.missing.empty() ? request_outcome::answered : request_outcome::partial;
    return answer;
}

query_answer build_refusal(const query_run& run, ticket_number ticket, request_outcome outcome,
                           refusal_reason reason, duration retry_after) {
    query_answer answer = begin_answer(run, ticket);
    answer.outcome = outcome;
    answer.reason = reason;
    answer.retry_after = retry_after;
    list_missing(run, answer);
    return answer;
}

} // namespace tamarack
