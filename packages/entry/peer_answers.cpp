#include "peer_answers.h"

namespace cassiaspan {

schema::PeerReply answer_peer(const peer_parts& parts, const schema::PeerRequest& request) {
    schema::PeerReply reply;
    switch (request.body_case()) {
    case schema::PeerRequest::kPull:
        *reply.mutable_pull() = parts.node.answer_pull(request.pull());
        break;
    case schema::PeerRequest::kFetch: {
        const auto value = parts.node.find_content(request.fetch().name());
        reply.mutable_fetch()->set_found(value.has_value());
        reply.mutable_fetch()->set_value(value.value_or(""));
        break;
    }
    case schema::PeerRequest::kNotify: {
        const auto present = parts.node.current();
        if (!present || present->head.generation() < request.notify().generation()) {
            parts.on_newer(request.from().peer_address());
        }
        reply.mutable_notify();
        break;
    }
    case schema::PeerRequest::kBorrow: {
        const auto& borrow = request.borrow();
        const milliseconds duration = parts.loan;
        const auto granted = parts.budgets.lend_to(borrow.workspace(), request.from().incarnation(),
                                                   {borrow.rate(), borrow.cap()}, duration);
        reply.mutable_borrow();
        if (granted) {
            reply.mutable_borrow()->set_rate(granted->amount.rate);
            reply.mutable_borrow()->set_cap(granted->amount.cap);
            reply.mutable_borrow()->set_tokens(granted->tokens);
            reply.mutable_borrow()->set_duration_ms(static_cast<std::uint32_t>(duration.count()));
        }
        break;
    }
    case schema::PeerRequest::kClaim:
        *reply.mutable_claim() = parts.records.answer(request.claim());
        break;
    case schema::PeerRequest::kComplete:
        *reply.mutable_complete() = parts.records.answer(request.complete());
        break;
    case schema::PeerRequest::kHandover:
        *reply.mutable_handover() = parts.records.answer(request.handover());
        break;
    case schema::PeerRequest::kSuspect:
        parts.quarantines.note(request.suspect());
        reply.mutable_suspect();
        break;
    case schema::PeerRequest::BODY_NOT_SET:
        break;
    }
    return reply;
}

} // namespace cassiaspan
