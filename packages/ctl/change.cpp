#include "change.h"

#include "config_check.h"
#include "digest.h"
#include "head_change.h"

#include <algorithm>
#include <thread>

namespace cassiaspan {

namespace {

constexpr int max_tries = 8;
constexpr milliseconds retry_pause{150};

// Where one try of a change led.
enum class try_outcome { done, moved, unclear };

const schema::HistoryEntry* find_change(const schema::Head& head, const std::string& change_id) {
    for (const auto& entry : head.history()) {
        if (entry.change_id() == change_id) {
            return &entry;
        }
    }
    return nullptr;
}

change_result done(std::uint64_t generation, const std::string& text) {
    return {exit_code::accepted, text, generation};
}

change_result fail(exit_code code, const std::string& text) {
    return {code, text, 0};
}

change_result conflict_with(const schema::Head& head) {
    std::string text = "conflict: generation " + std::to_string(head.generation()) + " is in force";
    if (head.history_size() > 0) {
        // The members' own changes do not concern operators.
        const auto last = std::find_if(head.history().rbegin(), head.history().rend(), [](const auto& entry) {
            return entry.operator_name() != system_operator_name;
        });
        if (last != head.history().rend()) {
            text += ", by change " + last->change_id() + " of " + last->operator_name() + " (" +
                    last->summary() + ")";
        }
    }
    return fail(exit_code::conflict, text);
}

schema::Head make_head(const schema::Head& former, const change_request& request, const std::string& name) {
    schema::Head next = next_generation(former, {request.change_id, request.operator_name, request.summary});
    next.set_configuration_name(name);
    return next;
}

// The body is named by its content, so writing it twice, or finding it there, is the same.
bool write_body(store_client& store, const std::string& name, const std::string& body) {
    const std::string key = configuration_key_prefix + name;
    if (store.compare_and_swap(key, body, 0)) {
        return true;
    }
    const auto present = store.get(key);
    return present && present->value == body;
}

} // namespace

tl::expected<stored_configuration, std::string> read_configuration(store_client& store) {
    const auto stored_head = store.get(head_key);
    if (!stored_head) {
        return tl::make_unexpected("the store does not answer");
    }
    stored_configuration result;
    result.revision = stored_head->revision;
    if (result.revision == 0) {
        return result;
    }
    if (!result.head.ParseFromString(stored_head->value)) {
        return tl::make_unexpected("the head in the store cannot be read");
    }
    const auto body = store.get(configuration_key_prefix + result.head.configuration_name());
    if (!body || !result.configuration.ParseFromString(body->value)) {
        return tl::make_unexpected("configuration " + result.head.configuration_name() + " cannot be read");
    }
    return result;
}

change_result make_change(store_client& store, const change_request& request) {
    std::string first_name;
    for (int i = 0; i < max_tries; ++i) {
        if (i > 0) {
            std::this_thread::sleep_for(retry_pause * i);
        }
        const auto present = read_configuration(store);
        if (!present) {
            continue;
        }
        const schema::Head& head = present->head;
        if (const auto* made = find_change(head, request.change_id)) {
            return done(made->generation(), "written as generation " + std::to_string(made->generation()));
        }
        const bool moved = !first_name.empty() && head.configuration_name() != first_name;
        const bool other_base = request.base != 0 && head.generation() != request.base;
        if (other_base || (moved && !request.repeat_on_newer)) {
            return conflict_with(head);
        }
        first_name = head.configuration_name();
        schema::Configuration wanted = present->configuration;
        findings found = request.edit(wanted);
        if (found.empty()) {
            found = check_configuration(wanted);
        }
        if (!found.empty()) {
            return fail(exit_code::invalid, render(found, "configuration"));
        }
        const std::string body = wanted.SerializeAsString();
        const std::string name = sha256_hex(body);
        if (name == head.configuration_name()) {
            return done(head.generation(),
                        "in force already, generation " + std::to_string(head.generation()));
        }
        if (!write_body(store, name, body)) {
            continue;
        }
        // Whether a write without an answer took effect shows in the next round, by the change's name.
        static_cast<void>(store.compare_and_swap(head_key, make_head(head, request, name).SerializeAsString(),
                                                 present->revision));
    }
    return fail(exit_code::failed, "the store gave no clear answer to change " + request.change_id +
                                       "; run the command again, it changes nothing twice");
}

acceptance judge_acceptance(const schema::Head& head, std::uint64_t generation,
                            const std::vector<std::pair<std::uint64_t, std::uint64_t>>& held) {
    acceptance result;
    result.accepted = true;
    for (const auto& list : head.lists()) {
        int votes = 0;
        for (const auto& member : list.members()) {
            const bool holds = std::any_of(held.begin(), held.end(), [&](const auto& entry) {
                return entry.first == member.incarnation() && entry.second >= generation;
            });
            votes += holds ? 1 : 0;
            (holds ? result.holding : result.missing).push_back(member.vm());
        }
        result.accepted = result.accepted && 2 * votes > list.members_size();
    }
    return result;
}

} // namespace cassiaspan
