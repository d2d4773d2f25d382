// One VM that stands alone, with one target: for tests of its input.
#pragma once

#include "http_client.h"
#include "process.h"
#include "test_fleet.h"

#include <string>
#include <vector>

namespace cassiaspan::test {

// Serves "/work" for workspaces one and two, "/other" for workspace one, and "/open" for all.
class standalone_vm {
public:
    explicit standalone_vm(const std::vector<std::string>& flags, bool tls = false);

    [[nodiscard]] socket_address address() const {
        return parse_address(this->fleet.caller_address(0)).value();
    }
    [[nodiscard]] tl::expected<http_answer, http_failure> call(const test_call& request) {
        return this->fleet.call(0, request);
    }
    // Makes a keyed request over TLS and returns its status code.
    [[nodiscard]] std::string call_over_tls() const;
    // Requests that have reached the target.
    [[nodiscard]] std::size_t runs() const { return this->fleet.runs().size(); }
    [[nodiscard]] const clock& time() const { return this->fleet.time(); }

private:
    test_fleet fleet;
};

} // namespace cassiaspan::test
