// Stand-in for a target: serves with slots, sheds load, writes down each run, and misbehaves on demand.
#pragma once

#include "http_server.h"

#include <atomic>
#include <fstream>
#include <mutex>
#include <string>

namespace cassiaspan::standin {

// How a target behaves.
struct target_options {
    std::string name;
    std::size_t slots = 0;
    milliseconds service_time{};
    // One line for each run, written before the answer.
    std::string record_file;
    // A request whose body contains this text ends the process.
    std::string poison;
};

class target_standin {
public:
    target_standin(target_options options_in, const clock& clock_in);
    int serve(mg_connection* connection, const mg_request_info& info);

private:
    int serve_work(mg_connection* connection, const mg_request_info& info);
    int misbehave(mg_connection* connection, const std::string& mode);
    void record(mg_connection* connection, const mg_request_info& info, const std::string& body);

    target_options options;
    const clock& time;
    std::atomic<std::size_t> busy{0};
    std::mutex mutex;
    std::ofstream records;
    std::string mode;
};

} // namespace cassiaspan::standin
