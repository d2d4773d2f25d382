// A plain TCP connection, for bytes that no client library would send.
#pragma once

#include "address.h"
#include "clock.h"

#include <string>

namespace cassiaspan::test {

class raw_connection {
public:
    explicit raw_connection(const socket_address& server);
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    raw_connection(raw_connection&& other) noexcept;
    raw_connection& operator=(raw_connection&&) = delete;
    ~raw_connection();

    // Sends bytes; false when the connection is gone.
    bool send(const std::string& bytes) const;
    // Returns what comes until the server closes, nothing comes for `quiet`, or `enough` is contained.
    [[nodiscard]] std::string receive(milliseconds quiet, const std::string& enough = "") const;
    // Whether the server has closed the connection.
    [[nodiscard]] bool is_closed() const;

private:
    int descriptor;
};

} // namespace cassiaspan::test
