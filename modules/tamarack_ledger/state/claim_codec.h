#pragma once

#include "claim.h"

#include <json/value.h>

namespace tamarack {

/** @return the claim as JSON */
Json::Value encode_claim(const claim& value);
/** @return the claim, or an error that describes what is wrong with the JSON */
outcome<claim> decode_claim(const Json::Value& json);

/** @return the result as JSON */
Json::Value encode_claim_result(const claim_result& value);
/** @return the result, or an error that describes what is wrong with the JSON */
outcome<claim_result> decode_claim_result(const Json::Value& json);

/** @return the answer as JSON */
Json::Value encode_claim_answer(const claim_answer& value);
/** @return the answer, or an error that describes what is wrong with the JSON */
outcome<claim_answer> decode_claim_answer(const Json::Value& json);

} // namespace tamarack
