// Stand-in for the platform's list of VMs: a list that a test reads in and edits.
#pragma once

#include "http_server.h"
#include "platform.pb.h"

#include <mutex>

namespace cassiaspan::standin {

class vm_list_standin {
public:
    explicit vm_list_standin(schema::VmList list_in) : list(std::move(list_in)) {}
    int serve(mg_connection* connection, const mg_request_info& info);

private:
    void remove(const std::string& name);
    void set_leaving(const std::string& name);

    std::mutex mutex;
    schema::VmList list;
};

} // namespace cassiaspan::standin
