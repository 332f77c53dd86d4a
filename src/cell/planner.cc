#include "cell/planner.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <utility>

#include "cell/range_plan.h"

namespace gentianreach::cell {

namespace {

class Planner {
 public:
  Planner(const Record& current, const PlanInput& input)
      : input_(input), plan_{current, {}} {}

  void Elect() {
    Record& record = plan_.record;
    AddAuditEvent("elect", "assigner", record.assigner, input_.self, "");
    ++record.epoch;
    record.assigner = input_.self;
    changed_ = true;
  }

  void Run() {
    PlanMembers();
    AddServers();
    for (const auto& it : plan_.record.servers) {
      PlanServer(*it);
    }
    DropServers();
    RangePlanner ranges(plan_, input_);
    changed_ = ranges.Run() || changed_;
  }

  [[nodiscard]] bool changed() const { return changed_; }
  Plan Take() { return std::move(plan_); }

 private:
  void AddAuditEvent(std::string what,
                     std::string object,
                     std::string from,
                     std::string to,
                     std::string why) {
    plan_.audit.push_back({input_.self, std::move(what), std::move(object),
                           std::move(from), std::move(to), std::move(why),
                           ObjectVersion()});
  }

  void PlanMembers() {
    Record& record = plan_.record;
    std::erase_if(record.previous_views, [this](const auto& it) {
      const bool drop = input_.droppable_views.contains(it->version);
      changed_ = changed_ || drop;
      return drop;
    });
    auto before = std::make_unique<stored::ViewT>();
    before->version = record.view;
    for (const auto& it : record.members) {
      before->members.push_back(it->daemon);
    }
    const bool removed = RemoveMembers();
    const bool added = AddMembers();
    if (!removed && !added) {
      return;
    }
    if (!before->members.empty()) {
      record.previous_views.push_back(std::move(before));
    }
    ++record.view;
    changed_ = true;
  }

  bool RemoveMembers() {
    if (!input_.may_remove_members) {
      return false;
    }
    const auto n = std::erase_if(plan_.record.members, [this](const auto& it) {
      const bool gone = input_.members_to_remove.contains(it->daemon) &&
                        it->daemon != input_.self;
      if (gone) {
        AddAuditEvent("member_removed", it->daemon, "", "",
                      "silent or leaving");
      }
      return gone;
    });
    return n > 0;
  }

  bool AddMembers() {
    bool added = false;
    for (const auto& it : input_.joiners) {
      if (FindMember(plan_.record, it.daemon) != nullptr) {
        continue;
      }
      AddAuditEvent("member_added", it.daemon, "", it.peer_address, "");
      plan_.record.members.push_back(std::make_unique<stored::MemberT>(it));
      added = true;
    }
    return added;
  }

  [[nodiscard]] const CellService* Service(const std::string& name) const {
    for (const auto& it : input_.services) {
      if (it.name.value() == name) {
        return &it;
      }
    }
    return nullptr;
  }

  void AddServers() {
    for (const auto& it : input_.listed_servers) {
      const CellService* const service = Service(it.service.value());
      if (service == nullptr || it.leaving) {
        continue;
      }
      stored::ServerT* const known = FindServer(plan_.record, it.id.value());
      if (known != nullptr) {
        UpdateAddress(*known, it);
        continue;
      }
      auto server = std::make_unique<stored::ServerT>();
      server->id = it.id.value();
      server->address = it.address;
      server->zone = it.zone.value();
      server->service = it.service.value();
      server->checks_giver = service->checks_giver;
      server->watches_deadline = service->watches_deadline;
      AddAuditEvent("server_added", server->id, "", server->address, "listed");
      plan_.record.servers.push_back(std::move(server));
      changed_ = true;
    }
  }

  // The address of a server that may still be serving is never changed.
  void UpdateAddress(stored::ServerT& server, const ListedServer& seen) {
    const bool idle = Facts(server.id).leases_expired || server.generation == 0;
    if (server.address == seen.address || !idle) {
      return;
    }
    AddAuditEvent("server_address", server.id, server.address, seen.address,
                  "listed");
    server.address = seen.address;
    changed_ = true;
  }

  [[nodiscard]] ServerFacts Facts(const std::string& server) const {
    const auto it = input_.servers.find(server);
    return it == input_.servers.end() ? ServerFacts{} : it->second;
  }

  void PlanServer(stored::ServerT& server) {
    const ServerFacts facts = Facts(server.id);
    const bool same = facts.incarnation.value() == server.incarnation;
    if (server.state == stored::ServerState::Fenced) {
      if (facts.reachable && !facts.silent && (same || facts.leases_expired)) {
        StartGeneration(server, facts,
                        same ? "answers again" : "new incarnation");
      }
      return;
    }
    if (facts.draining && server.state == stored::ServerState::Live) {
      AddAuditEvent("drain", server.id, "live", "draining", "leaving");
      server.state = stored::ServerState::Draining;
      changed_ = true;
    }
    const bool holds = HoldsRanges(plan_.record, server.id);
    if (facts.reachable && !same) {
      if (server.generation == 0 || !holds) {
        StartGeneration(server, facts, "first contact");
      } else if (input_.may_fence) {
        Fence(server, "new incarnation");
      }
      return;
    }
    if (facts.silent && holds && input_.may_fence && HasSuccessor(server)) {
      Fence(server, "silent");
    }
  }

  // Returns whether another server could take over what `server` owns.
  [[nodiscard]] bool HasSuccessor(const stored::ServerT& server) const {
    return std::any_of(plan_.record.servers.begin(), plan_.record.servers.end(),
                       [&](const auto& it) {
                         return it->id != server.id &&
                                it->service == server.service &&
                                it->generation != 0 && !Facts(it->id).silent;
                       });
  }

  void Fence(stored::ServerT& server, std::string why) {
    AddAuditEvent("fence", server.id, "live", "fenced", std::move(why));
    server.state = stored::ServerState::Fenced;
    changed_ = true;
  }

  // Starts a new lease generation. If the server has a new incarnation, its
  // ranges get new tokens, because the previous incarnation has used the
  // current ones.
  void StartGeneration(stored::ServerT& server,
                       const ServerFacts& facts,
                       std::string why) {
    const bool same = facts.incarnation.value() == server.incarnation;
    AddAuditEvent("generation", server.id, std::to_string(server.generation),
                  std::to_string(plan_.record.next_token), std::move(why));
    server.generation = plan_.record.next_token++;
    server.incarnation = facts.incarnation.value();
    server.state = facts.draining ? stored::ServerState::Draining
                                  : stored::ServerState::Live;
    changed_ = true;
    if (same) {
      return;
    }
    for (const auto& it : plan_.record.ranges) {
      if (it->owner == server.id && it->moving_to.empty()) {
        it->token = plan_.record.next_token++;
      }
    }
  }

  // Removes servers that own no ranges, are silent and are not listed.
  void DropServers() {
    std::erase_if(plan_.record.servers, [this](const auto& it) {
      const bool listed = std::any_of(
          input_.listed_servers.begin(), input_.listed_servers.end(),
          [&it](const auto& seen) { return seen.id.value() == it->id; });
      const bool drop = !input_.listed_servers.empty() && !listed &&
                        input_.may_fence && Facts(it->id).silent &&
                        !HoldsRanges(plan_.record, it->id);
      if (drop) {
        AddAuditEvent("server_dropped", it->id, "", "",
                      "silent and not listed");
        changed_ = true;
      }
      return drop;
    });
  }

  const PlanInput& input_;
  Plan plan_;
  bool changed_ = false;
};

}  // namespace

std::optional<Plan> MakePlan(const Record& current, const PlanInput& input) {
  Planner planner(current, input);
  planner.Run();
  if (!planner.changed()) {
    return std::nullopt;
  }
  Plan plan = planner.Take();
  CheckSuccessor(current, plan.record);
  return plan;
}

Plan MakeElection(const Record& current, const PlanInput& input) {
  Planner planner(current, input);
  planner.Elect();
  planner.Run();
  Plan plan = planner.Take();
  CheckSuccessor(current, plan.record);
  return plan;
}

}  // namespace gentianreach::cell
