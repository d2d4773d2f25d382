#include "standalone_vm.h"

#include <array>
#include <civetweb.h>
#include <cppunit/TestAssert.h>
#include <fstream>
#include <google/protobuf/util/json_util.h>

namespace cassiaspan::test {

namespace {

fleet_options make_options() {
    fleet_options options;
    options.vms = 1;
    options.targets = 1;
    return options;
}

// Makes a certificate of its own for the test.
void make_certificate(const std::string& folder) {
    process openssl({"/usr/bin/openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-subj",
                     "/CN=localhost", "-days", "2", "-keyout", folder + "/key.pem", "-out",
                     folder + "/certificate.pem"},
                    folder + "/openssl.log");
    CPPUNIT_ASSERT(openssl.wait(milliseconds{20'000}) == 0);
    std::ofstream both(folder + "/both.pem");
    both << std::ifstream(folder + "/certificate.pem").rdbuf() << std::ifstream(folder + "/key.pem").rdbuf();
}

} // namespace

standalone_vm::standalone_vm(const std::vector<std::string>& flags, bool tls) : fleet(make_options()) {
    schema::Configuration configuration = this->fleet.configuration();
    for (const std::string name : {"other", "open"}) {
        auto* service = configuration.add_services();
        *service = configuration.services(0);
        service->set_name(name);
        service->set_path_prefix("/" + name);
        service->set_open(name == "open");
        service->clear_targets();
    }
    configuration.mutable_workspaces(0)->add_services("other");
    std::string json;
    static_cast<void>(google::protobuf::util::MessageToJsonString(configuration, &json));
    std::ofstream(this->fleet.file("alone.json")) << json;
    std::vector<std::string> all = flags;
    if (tls) {
        make_certificate(this->fleet.file(""));
        all.push_back("--tls-certificate-file=" + this->fleet.file("both.pem"));
    }
    this->fleet.start_alone(this->fleet.file("alone.json"), all);
    this->fleet.wait_until("it serves", [&] {
        const auto status = this->fleet.status(0);
        return status && status->licensed();
    });
}

std::string standalone_vm::call_over_tls() const {
    const socket_address server = this->address();
    mg_init_library(MG_FEATURES_TLS);
    std::array<char, 256> text{};
    mg_connection* connection =
        mg_connect_client(server.host.c_str(), server.port, 1, text.data(), text.size());
    if (connection == nullptr) {
        return text.data();
    }
    mg_printf(connection, "GET /work/x HTTP/1.1\r\nHost: x\r\nX-Api-Key: key-one\r\n\r\n");
    const bool answered = mg_get_response(connection, text.data(), text.size(), 3000) >= 0;
    const std::string status =
        answered ? std::to_string(mg_get_response_info(connection)->status_code) : text.data();
    mg_close_connection(connection);
    return status;
}

} // namespace cassiaspan::test
