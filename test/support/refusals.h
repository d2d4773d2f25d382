// What an answer says, as tests compare it.
#pragma once

#include "caller.pb.h"
#include "http_client.h"

#include <google/protobuf/util/json_util.h>
#include <string>

namespace cassiaspan::test {

// Returns "200", or "reason/run" of a refusal, or "no answer".
inline std::string outcome_of(const tl::expected<http_answer, http_failure>& answer) {
    if (!answer) {
        return "no answer";
    }
    schema::Refusal refusal;
    if (answer->status >= 400 && google::protobuf::util::JsonStringToMessage(answer->body, &refusal).ok()) {
        return refusal.reason() + "/" + refusal.run();
    }
    return std::to_string(answer->status);
}

} // namespace cassiaspan::test
