#ifndef EGRETLATCH_FAKES_ROSTER_FLEET_HPP
#define EGRETLATCH_FAKES_ROSTER_FLEET_HPP

#include <memory>
#include <string>
#include <vector>

#include <egretlatch/manifest/manifest.hpp>
#include <egretlatch/protocol/messages.hpp>

namespace fakes
{

/**
 * @brief Builds a manifest with one service, `roster`, with two slots.
 * @param read Specification of its kind `read`; its other kind, `entry`, is the same but not idempotent.
 * @return The manifest.
 */
[[nodiscard]] inline std::shared_ptr<const egretlatch::manifest::Manifest> rosterManifest(egretlatch::manifest::KindSpec read)
{
    read.name = "read";
    egretlatch::manifest::KindSpec entry = read;
    entry.name = "entry";
    entry.idempotent = false;
    egretlatch::manifest::ServiceSpec service;
    service.name = "roster";
    service.slots = 2;
    service.connections = 10;
    service.kinds = {read, entry};
    return egretlatch::manifest::ManifestBuilder{}.addService(service).build();
}

/**
 * @brief Builds a gossip message that lists daemons as serving `roster`.
 * @param names Ids of the daemons.
 * @param incarnation Incarnation of each daemon.
 * @return The message.
 */
[[nodiscard]] inline egretlatch::protocol::Gossip rosterGossip(const std::vector<std::string> &names, const egretlatch::Incarnation incarnation)
{
    egretlatch::protocol::Gossip gossip;
    for (const std::string &name : names) {
        egretlatch::membership::Member member;
        member.id = {name};
        member.incarnation = incarnation;
        member.revision = 1;
        member.state = egretlatch::membership::MemberState::serving;
        member.service = "roster";
        member.slots = 2;
        member.endpoint = "tcp://peer";
        gossip.members.push_back(member);
    }
    return gossip;
}

} // namespace fakes

#endif
