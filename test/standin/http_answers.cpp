#include "http_answers.h"

#include <array>
#include <civetweb.h>

namespace cassiaspan::standin {

int answer(mg_connection* connection, int status, const std::string& body, const std::string& headers) {
    const std::string text = "HTTP/1.1 " + std::to_string(status) +
                             " x\r\nContent-Length: " + std::to_string(body.size()) +
                             "\r\nConnection: keep-alive\r\n" + headers + "\r\n" + body;
    mg_write(connection, text.data(), text.size());
    return status;
}

std::string read_body(mg_connection* connection) {
    std::string body;
    std::array<char, 16384> buffer{};
    for (int count = 1; count > 0;) {
        count = mg_read(connection, buffer.data(), buffer.size());
        if (count > 0) {
            body.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }
    return body;
}

std::string query_value(const mg_request_info& info, const std::string& name) {
    const std::string query = info.query_string == nullptr ? "" : info.query_string;
    std::array<char, 512> value{};
    const int size = mg_get_var(query.data(), query.size(), name.c_str(), value.data(), value.size());
    return size > 0 ? std::string(value.data(), static_cast<std::size_t>(size)) : "";
}

std::string header_value(mg_connection* connection, const std::string& name) {
    const char* value = mg_get_header(connection, name.c_str());
    return value == nullptr ? "" : value;
}

} // namespace cassiaspan::standin
