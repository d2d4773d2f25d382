#include "vm_list_standin.h"

#include "http_answers.h"

#include <civetweb.h>
#include <google/protobuf/util/json_util.h>

namespace cassiaspan::standin {

int vm_list_standin::serve(mg_connection* connection, const mg_request_info& info) {
    const std::string path = info.local_uri;
    const std::scoped_lock lock(this->mutex);
    if (path == "/v1/vms") {
        return answer(connection, 200, this->list.SerializeAsString());
    }
    if (path == "/control/remove") {
        this->remove(query_value(info, "vm"));
    } else if (path == "/control/leaving") {
        this->set_leaving(query_value(info, "vm"));
    } else if (path == "/control/add") {
        static_cast<void>(
            google::protobuf::util::JsonStringToMessage(read_body(connection), this->list.add_vms()));
    } else {
        return answer(connection, 404, "");
    }
    return answer(connection, 200, "ok");
}

void vm_list_standin::remove(const std::string& name) {
    for (int i = this->list.vms_size() - 1; i >= 0; --i) {
        if (this->list.vms(i).name() == name) {
            this->list.mutable_vms()->DeleteSubrange(i, 1);
        }
    }
}

void vm_list_standin::set_leaving(const std::string& name) {
    for (auto& vm : *this->list.mutable_vms()) {
        if (vm.name() == name) {
            vm.set_leaving(true);
        }
    }
}

} // namespace cassiaspan::standin
