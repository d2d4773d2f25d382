// Messages of peers that must be refused.

#include "peer_channel.h"
#include "table_test.h"

namespace cassiaspan::test {
namespace {

constexpr std::uint64_t self = 7;

// How a message differs from a good one.
struct message_row {
    std::string name;
    std::string secret;
    std::uint64_t to;
    bool borrow;
    bool doubled;
    bool changed;
    bool accepted;
};

void check_message(const message_row& row) {
    int handled = 0;
    peer_gate gate("secret", self, [&](const schema::PeerRequest& /*request*/) {
        ++handled;
        return schema::PeerReply{};
    });
    schema::PeerRequest request;
    request.mutable_from()->set_incarnation(9);
    request.set_to_incarnation(row.to);
    request.set_sequence(5);
    if (row.borrow) {
        request.mutable_borrow();
    } else {
        request.mutable_pull();
    }
    peer_message message{"", request.SerializeAsString()};
    message.code = authenticate(row.secret, message_direction::request, "", message.body);
    if (row.changed) {
        message.body += '\0';
    }
    if (row.doubled) {
        CPPUNIT_ASSERT(gate.answer(message).has_value());
        handled = 0;
    }
    const auto reply = gate.answer(message);
    CPPUNIT_ASSERT_EQUAL(row.accepted, reply.has_value());
    CPPUNIT_ASSERT_EQUAL(row.accepted ? 1 : 0, handled);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{row.accepted ? 0U : 1U}, gate.refused());
    // A request's code is no good as the code of a reply.
    CPPUNIT_ASSERT(!reply ||
                   reply->code != authenticate("secret", message_direction::request, "", reply->body));
}

const test_table<message_row>
    messages("peer_message",
             {{"good pull", "secret", self, false, false, false, true},
              {"good borrow", "secret", self, true, false, false, true},
              {"pull of a stranger", "secret", 0, false, false, false, true},
              {"borrow without the incarnation", "secret", 0, true, false, false, false},
              {"other incarnation", "secret", 8, true, false, false, false},
              {"foreign secret", "other", self, true, false, false, false},
              {"changed message", "secret", self, true, false, true, false},
              {"replayed message", "secret", self, true, true, false, false}},
             check_message);

void overtaking_messages_are_taken_once() {
    replay_guard guard;
    CPPUNIT_ASSERT(guard.accept(1, 10));
    CPPUNIT_ASSERT(guard.accept(1, 8));
    CPPUNIT_ASSERT(!guard.accept(1, 8));
    CPPUNIT_ASSERT(guard.accept(2, 8));
    CPPUNIT_ASSERT(guard.accept(1, 200));
    CPPUNIT_ASSERT(!guard.accept(1, 100));
    CPPUNIT_ASSERT(guard.accept(1, 199));
}

const test_table<scenario>
    scenarios("replay", {{"overtaking messages are taken once", overtaking_messages_are_taken_once}},
              run_scenario);

} // namespace
} // namespace cassiaspan::test
