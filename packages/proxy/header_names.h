// Names of the HTTP headers with a meaning of their own. The platform's adapter fills them in.
#pragma once

#include <compare>
#include <string>

namespace cassiaspan {

struct header_names {
    // Identifies one attempt of a caller; targets repeat it in their answers.
    std::string request_id;
    // Milliseconds that the sender will wait.
    std::string deadline_ms;
    // Names the object that a request concerns.
    std::string affinity_key;
    // A target's signature over its answer; a success without it is not a target's.
    std::string response_seal;
    // The workspace in whose name a target runs the request.
    std::string workspace;
    // The only target that may run the request.
    std::string target_instance;
    // A target's running requests, waiting requests and slots, separated by commas.
    std::string target_load;
    // A target's statement that it did not run the request.
    std::string not_executed;
    // Milliseconds that the answering target stays cold.
    std::string cold_ms;
    auto operator<=>(const header_names&) const = default;
};

} // namespace cassiaspan
