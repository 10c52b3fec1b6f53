#include "whinyard/peer/Peers.h"

#include <algorithm>

namespace whinyard::peer {

const Member* findMember(const MembershipView& view, const InstanceName& name)
{
    const auto found = std::lower_bound(view.members.begin(), view.members.end(), name, [](const Member& member, const InstanceName& wanted) { return member.name < wanted; });
    return found != view.members.end() && found->name == name ? &*found : nullptr;
}

std::optional<Member> rendezvousOwner(const MembershipView& view, std::uint32_t partition)
{
    const Member* owner = nullptr;
    std::uint64_t highest = 0;
    for (const Member& member : view.members) {
        if (member.state != MemberState::alive && member.state != MemberState::suspect)
            continue;
        const std::uint64_t hash = stableHash(member.name.value, partition);
        if (!owner || hash > highest) {
            owner = &member;
            highest = hash;
        }
    }
    if (!owner)
        return std::nullopt;
    return *owner;
}

}
