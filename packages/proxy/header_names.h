// Names of the platform-specific HTTP headers. Filled in by the platform adapter.
#pragma once

#include <compare>
#include <string>

namespace cassiaspan {

struct header_names {
    // Identifies one attempt of a caller. Targets echo it in their responses.
    std::string request_id;
    // How long the sender waits for the response, in milliseconds.
    std::string deadline_ms;
    // Affinity key: the name of the object that a request is about.
    std::string affinity_key;
    // A target's signature over its response. A 2xx response without it does not come from a target.
    std::string response_seal;
    // The workspace on whose behalf a target runs the request.
    std::string workspace;
    // Id of the only target that may run the request. Any other target rejects it with status 421.
    std::string target_instance;
    // The target's running requests, waiting requests and slots, separated by commas. Set in responses.
    std::string target_load;
    // Set by a target that did not run the request.
    std::string not_executed;
    // How much longer the responding target is cold, in milliseconds.
    std::string cold_ms;
    // "1" in the responses of a target that is leaving.
    std::string leaving;
    auto operator<=>(const header_names&) const = default;
};

} // namespace cassiaspan
