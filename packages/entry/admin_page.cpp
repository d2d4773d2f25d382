#include "admin_page.h"

#include <algorithm>
#include <civetweb.h>
#include <google/protobuf/util/json_util.h>
#include <map>

namespace cassiaspan {

namespace {

int answer(mg_connection* connection, int status, const std::string& type, const std::string& body) {
    const std::string text = "HTTP/1.1 " + std::to_string(status) + " " +
                             mg_get_response_code_text(connection, status) + "\r\nContent-Type: " + type +
                             "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    mg_write(connection, text.data(), text.size());
    return status;
}

void fill_peers(schema::Status& status, const admin_parts& parts) {
    for (const peer_knowledge& peer : parts.node.peers()) {
        auto* row = status.add_peers();
        row->set_vm(peer.member.vm());
        row->set_generation(peer.generation);
        row->set_synced(peer.synced);
        const auto age = std::chrono::duration_cast<milliseconds>(parts.time.now() - peer.asked);
        row->set_heard_ms_ago(static_cast<std::uint64_t>(age.count()));
    }
}

void fill_budgets(schema::Status& status, const admin_parts& parts) {
    constexpr double unit = microrequests_per_request;
    for (const budget_row& row : parts.budgets.rows()) {
        auto* entry = status.add_budgets();
        entry->set_workspace(row.workspace);
        entry->set_tokens(static_cast<double>(row.tokens) / unit);
        entry->set_rate_per_second(static_cast<double>(row.effective.rate) / unit);
        entry->set_cap_requests(static_cast<double>(row.effective.cap) / unit);
        const double moved = static_cast<double>(row.effective.rate - row.base.rate) / unit;
        entry->set_lent_rate_per_second(std::max(0.0, -moved));
        entry->set_borrowed_rate_per_second(std::max(0.0, moved));
    }
}

void fill_targets(schema::Status& status, const admin_parts& parts) {
    std::map<std::string, target_row> rows;
    for (target_row& row : parts.targets.rows()) {
        auto* entry = status.add_targets();
        entry->set_target(row.target);
        entry->set_in_flight(static_cast<std::uint32_t>(row.in_flight));
        entry->set_ejected(row.ejected);
        entry->set_draining(row.leaving);
        rows[row.target] = row;
    }
    const auto generation = parts.node.current();
    if (!generation) {
        return;
    }
    const auto unix_now =
        std::chrono::duration_cast<seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    for (const auto& drain : generation->configuration->source().drains()) {
        auto* entry = status.add_drains();
        entry->set_name(drain.name());
        entry->set_started(drain.start().seconds() <= unix_now);
        for (const auto& service : generation->configuration->services()) {
            for (const auto& target : service.targets) {
                if (drain_applies_to(drain, target)) {
                    entry->set_in_flight(entry->in_flight() +
                                         static_cast<std::uint32_t>(rows[target.name].in_flight));
                }
            }
        }
    }
}

std::string render_status(const admin_parts& parts) {
    std::string text;
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = true;
    options.always_print_primitive_fields = true;
    static_cast<void>(google::protobuf::util::MessageToJsonString(make_status(parts), &text, options));
    return text;
}

std::string render_metrics(const admin_parts& parts) {
    std::string text = parts.metrics.render();
    const schema::Status status = make_status(parts);
    const auto gauge = [&text](const char* name, double value) {
        text += std::string("# TYPE ") + name + " gauge\n" + name + " " + std::to_string(value) + "\n";
    };
    gauge("cassiaspan_generation", static_cast<double>(status.generation()));
    gauge("cassiaspan_licensed", status.licensed() ? 1 : 0);
    gauge("cassiaspan_store_calls", static_cast<double>(status.store_calls()));
    gauge("cassiaspan_control_bytes_sent", static_cast<double>(status.control_bytes_sent()));
    gauge("cassiaspan_control_bytes_received", static_cast<double>(status.control_bytes_received()));
    return text;
}

} // namespace

schema::Status make_status(const admin_parts& parts) {
    schema::Status status;
    *status.mutable_self() = parts.node.self();
    const freshness_status verdict = parts.node.verdict();
    status.set_licensed(allows_authenticated_requests(verdict));
    status.set_licence_reason(std::string(to_string(verdict)));
    status.set_synced(parts.node.is_synced());
    status.set_leaving(parts.node.is_leaving());
    status.set_relay(parts.node.is_relay());
    if (const auto generation = parts.node.current()) {
        status.set_generation(generation->head.generation());
        status.set_configuration_name(generation->head.configuration_name());
        const int lists = generation->head.lists_size();
        status.set_unsettled_lists(static_cast<std::uint64_t>(std::max(0, lists - 1)));
        status.set_members(lists == 0 ? 0
                                      : static_cast<std::uint64_t>(generation->head.lists(0).members_size()));
    }
    if (const auto age = parts.node.proof_age()) {
        status.set_proof_age_ms(
            static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(*age).count()));
    }
    fill_peers(status, parts);
    fill_budgets(status, parts);
    fill_targets(status, parts);
    for (auto& sample : parts.metrics.burn()) {
        *status.add_burn() = std::move(sample);
    }
    parts.counts(status);
    return status;
}

int serve_admin(const admin_parts& parts, mg_connection* connection, const mg_request_info& info) {
    const std::string path = info.local_uri == nullptr ? "" : info.local_uri;
    if (path == "/healthz") {
        return answer(connection, 200, "text/plain", "ok\n");
    }
    if (path == "/readyz") {
        const freshness_status verdict = parts.node.verdict();
        const bool ready = allows_authenticated_requests(verdict) && !parts.node.is_leaving();
        return answer(connection, ready ? 200 : 503, "text/plain", std::string(to_string(verdict)) + "\n");
    }
    if (path == "/metrics") {
        return answer(connection, 200, "text/plain; version=0.0.4", render_metrics(parts));
    }
    if (path == "/statusz") {
        return answer(connection, 200, "application/json", render_status(parts));
    }
    return answer(connection, 404, "text/plain", "no such page: " + path + "\n");
}

} // namespace cassiaspan
