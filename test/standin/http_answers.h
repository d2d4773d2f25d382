// Short helpers that the stand-ins share.
#pragma once

#include <string>

struct mg_connection;
struct mg_request_info;

namespace cassiaspan::standin {

// Sends a whole answer and returns its status code.
int answer(mg_connection* connection, int status, const std::string& body, const std::string& headers = "");
// Reads the whole body.
std::string read_body(mg_connection* connection);
// Returns the value of a query parameter, empty when it is not there.
std::string query_value(const mg_request_info& info, const std::string& name);
// Returns a header's value, empty when it is not there.
std::string header_value(mg_connection* connection, const std::string& name);

} // namespace cassiaspan::standin
