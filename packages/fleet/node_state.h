// What this VM knows: the configuration in force and its freshness, its peers, and the platform's list of
// VMs.
#pragma once

#include "config_freshness.h"
#include "config_snapshot.h"
#include "head.pb.h"
#include "peer.pb.h"
#include "platform.pb.h"
#include "steer.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cassiaspan {

// The generation in force, as one immutable value.
struct generation_view {
    schema::Head head;
    std::shared_ptr<const config_snapshot> configuration;
    // Serialised configuration, as other VMs fetch it.
    std::string configuration_body;
    std::vector<incarnation_list> electorates;
};

// What a peer's last answer said.
struct peer_knowledge {
    schema::Member member;
    instant asked;
    std::uint64_t generation = 0;
    bool synced = false;
    bool leaving = false;
    bool licensed = false;
    bool relay = false;
    std::uint64_t handed_over_generation = 0;
    std::vector<schema::TargetLoad> target_loads;
};

// The platform's list of VMs as of an instant.
struct vm_list_view {
    schema::VmList list;
    std::string name;
    std::string body;
    instant read;
};

// Shared by all threads of the daemon; every member function may be called from any of them.
class node_state {
public:
    node_state(schema::Member self_in, nanoseconds freshness_in, const clock& clock_in);

    [[nodiscard]] const schema::Member& self() const { return this->self_member; }

    // Returns the generation in force; null before the first one.
    [[nodiscard]] std::shared_ptr<const generation_view> current() const;
    // Puts a newer generation in force; false when it is not newer than the present one.
    bool adopt_generation(const std::shared_ptr<const generation_view>& next);
    // Called with each generation that comes into force, from the thread that adopted it.
    void on_generation(std::function<void(const generation_view&)> listener);

    // Checks whether authenticated requests may be served now.
    [[nodiscard]] freshness_status verdict();
    // Takes in a confirmation by the store.
    void note_store(generation_report proof);
    // Age of the newest proof from the store; nothing before the first.
    [[nodiscard]] std::optional<nanoseconds> proof_age() const;
    // Returns whether a majority of every unsettled list, less the ended members, holds `generation`.
    [[nodiscard]] bool is_generation_accepted(const incarnation_list& ended, std::uint64_t generation) const;

    // Answers a pull.
    [[nodiscard]] schema::PullReply answer_pull(const schema::Pull& pull);
    // Takes in a peer's answer to a pull sent at `asked`.
    void note_pull_reply(const schema::PullReply& reply, instant asked);
    // Returns what the peers last said.
    [[nodiscard]] std::vector<peer_knowledge> peers() const;
    // Returns the incarnation last heard at a peer address; 0 when none was.
    [[nodiscard]] std::uint64_t incarnation_at(const std::string& peer_address) const;

    // Returns whether the member's VM was last heard to run another incarnation.
    [[nodiscard]] bool is_replaced(const schema::Member& member) const;

    // Takes in a list of VMs, unless a newer one is there.
    void note_vm_list(const schema::VmList& list, instant read);
    [[nodiscard]] vm_list_view vm_list() const;

    // Returns a content-named value that peers may fetch: the configuration in force or the list of VMs.
    [[nodiscard]] std::optional<std::string> find_content(const std::string& name) const;

    // What the VM says about itself.
    void set_leaving();
    [[nodiscard]] bool is_leaving() const;
    void set_relay(bool relay);
    [[nodiscard]] bool is_relay() const;
    void set_handed_over(std::uint64_t lists_generation);
    [[nodiscard]] bool is_synced() const;
    void set_target_loads(std::vector<schema::TargetLoad> loads);

    // Returns the VMs that a caller may be sent to.
    [[nodiscard]] std::vector<vm_candidate> steerable_vms();

private:
    [[nodiscard]] freshness_status judge_locked();

    schema::Member self_member;
    nanoseconds freshness;
    const clock& time;
    mutable std::mutex mutex;
    std::shared_ptr<const generation_view> generation;
    std::vector<std::function<void(const generation_view&)>> listeners;
    freshness_state config_freshness;
    std::map<std::uint64_t, peer_knowledge> known_peers;
    vm_list_view known_vms;
    std::vector<schema::TargetLoad> loads;
    std::uint64_t handed_over = 0;
    bool leaving = false;
    bool relay = false;
};

// Checks the body against the head's content name and compiles it; nothing when it does not fit.
[[nodiscard]] std::shared_ptr<const generation_view> make_generation(const schema::Head& head,
                                                                     const std::string& body);

} // namespace cassiaspan
