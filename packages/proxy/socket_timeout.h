// A timeout for operations on a socket.
#pragma once

#include "asio_types.h"
#include "node_core.h"

#include <memory>
#include <optional>

namespace cassiaspan {

// Cancels the pending operations on the socket once `time` has passed, and those that are started later,
// until the object is destroyed. The socket stays open: an operation that has completed keeps its result,
// also if its handler has not run yet.
class socket_timeout {
public:
    socket_timeout(node_core& core_in, std::shared_ptr<tcp::socket> socket_in, milliseconds time)
        : core(core_in), socket(std::move(socket_in)) {
        this->cancel_from(now_of(this->core) + time);
    }
    // Lets the time end now.
    void expire() {
        error_code ignored;
        this->socket->cancel(ignored);
        this->cancel_from(now_of(this->core));
    }

private:
    void cancel_from(instant when) {
        this->deadline.emplace(this->core.deadlines, when, [this] {
            error_code ignored;
            this->socket->cancel(ignored);
            // Between the reads or writes of a composed operation, there is nothing to cancel.
            this->cancel_from(now_of(this->core));
        });
    }

    node_core& core;
    std::shared_ptr<tcp::socket> socket;
    std::optional<scoped_deadline> deadline;
};

} // namespace cassiaspan
