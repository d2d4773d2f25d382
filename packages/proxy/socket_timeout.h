// Closes a socket when its time is over.
#pragma once

#include "asio_types.h"
#include "node_core.h"

#include <memory>

namespace cassiaspan {

// Closes the socket after the time, unless the object has gone before. Whatever waits on the socket then
// ends.
class socket_timeout {
public:
    socket_timeout(node_core& core, std::shared_ptr<tcp::socket> socket, milliseconds time)
        : timeout(core.deadlines, now_of(core) + time, [socket = std::move(socket)] {
              error_code ignored;
              socket->close(ignored);
          }) {}

private:
    scoped_deadline timeout;
};

} // namespace cassiaspan
