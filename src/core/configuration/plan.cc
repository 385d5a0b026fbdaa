#include "core/configuration/plan.h"

#include <algorithm>

namespace moorfold {
namespace {

constexpr MebiBytes kMebiPerGibi = 1024;

std::string FormatMemory(MebiBytes memory) {
  if (memory % kMebiPerGibi == 0) return std::to_string(memory / kMebiPerGibi) + "GiB";
  return std::to_string(memory) + "MiB";
}

std::string FormatReplicas(const ModelIntent& model) {
  std::string text;
  for (const auto& [zone, count] : model.replicas)
    text += (text.empty() ? "" : " ") + zone + "=" + std::to_string(count);
  return text;
}

std::string Describe(const ModelIntent& model) {
  return "version " + std::to_string(model.version) + ", " + FormatMemory(model.ReplicaMemory()) +
         " a replica, at most " + FormatReplicas(model) + ", " +
         std::to_string(model.adapters.size()) + " adapters";
}

void AddDifference(std::string& text, const std::string& name, const std::string& before,
                   const std::string& after) {
  if (before == after) return;
  if (!text.empty()) text += "; ";
  text += name + " " + before + " -> " + after;
}

std::string DescribeChange(const ModelIntent& before, const ModelIntent& after) {
  std::string text;
  AddDifference(text, "version", std::to_string(before.version), std::to_string(after.version));
  AddDifference(text, "memory", FormatMemory(before.memory), FormatMemory(after.memory));
  AddDifference(text, "adapter_memory", FormatMemory(before.adapter_memory),
                FormatMemory(after.adapter_memory));
  AddDifference(text, "replicas", FormatReplicas(before), FormatReplicas(after));
  AddDifference(text, "adapters", std::to_string(before.adapters.size()),
                std::to_string(after.adapters.size()));
  return text.empty() ? "serving options" : text;
}

void ListModelChanges(const Intent& before, const ConfigurationDelta& delta, Plan& plan) {
  for (const ModelIntent& model : delta.changed_models) {
    const auto old = before.models.find(model.name);
    if (old == before.models.end())
      plan.changes.push_back({ChangeKind::kAdd, "model " + model.name, Describe(model)});
    else
      plan.changes.push_back(
          {ChangeKind::kChange, "model " + model.name, DescribeChange(old->second, model)});
  }
  for (const ModelName& name : delta.removed_models)
    plan.changes.push_back({ChangeKind::kRemove, "model " + name, "its replicas are released"});
}

void ListServiceChanges(const Intent& before, const ConfigurationDelta& delta, Plan& plan) {
  for (const ServiceIntent& service : delta.changed_services) {
    const ChangeKind kind =
        before.services.contains(service.name) ? ChangeKind::kChange : ChangeKind::kAdd;
    plan.changes.push_back({kind, "service " + service.name, "deadline and paths"});
  }
  for (const std::string& name : delta.removed_services)
    plan.changes.push_back({ChangeKind::kRemove, "service " + name, "it is no longer reachable"});
}

void CheckModelInZone(const ModelIntent& model, const ZoneName& zone, std::uint32_t replicas,
                      const Fleet& fleet, Plan& plan) {
  const std::string subject = "model " + model.name + " in zone " + zone + ": ";
  const auto servers = fleet.server_memory.find(zone);
  if (servers == fleet.server_memory.end()) {
    plan.refusals.push_back(subject + "no server is listed there; name a zone with servers");
    return;
  }
  const auto fitting = static_cast<std::uint32_t>(
      std::count_if(servers->second.begin(), servers->second.end(),
                    [&](MebiBytes memory) { return memory >= model.ReplicaMemory(); }));
  if (fitting == 0) {
    plan.refusals.push_back(subject + "a replica takes " + FormatMemory(model.ReplicaMemory()) +
                            " and no server has that much; lower memory or adapter_memory");
  } else if (replicas > fitting) {
    plan.refusals.push_back(subject + std::to_string(replicas) + " replicas on " +
                            std::to_string(fitting) +
                            " servers that fit one; a server holds one replica of a model, so "
                            "ask for at most " +
                            std::to_string(fitting));
  }
}

void CheckAdapters(const ModelIntent& model, Plan& plan) {
  for (const AdapterIntent& adapter : model.adapters)
    if (adapter.memory > model.adapter_memory)
      plan.refusals.push_back("adapter " + adapter.name + " of model " + model.name + " takes " +
                              FormatMemory(adapter.memory) + " of adapter_memory " +
                              FormatMemory(model.adapter_memory) + "; raise adapter_memory");
}

void WarnOfCrowding(const Intent& intent, const Fleet& fleet, Plan& plan) {
  for (const auto& [zone, servers] : fleet.server_memory) {
    MebiBytes capacity = 0;
    for (const MebiBytes memory : servers) capacity += memory;
    MebiBytes wanted = 0;
    for (const auto& [name, model] : intent.models) {
      const auto replicas = model.replicas.find(zone);
      if (replicas != model.replicas.end()) wanted += replicas->second * model.ReplicaMemory();
    }
    if (wanted > capacity)
      plan.warnings.push_back("zone " + zone + ": all replicas together take " +
                              FormatMemory(wanted) + " of " + FormatMemory(capacity) +
                              "; not all can be loaded at once");
  }
}

}  // namespace

Fleet DescribeFleet(const std::vector<Machine>& machines) {
  Fleet fleet;
  for (const Machine& machine : machines)
    if (machine.kind == MachineKind::kEngine && !machine.leaving)
      fleet.server_memory[machine.zone].push_back(machine.memory);
  return fleet;
}

Plan MakePlan(const ConfigurationSnapshot& in_force, const Intent& intent, const Fleet& fleet,
              std::string id) {
  Plan plan;
  plan.id = std::move(id);
  plan.base_revision = in_force.revision;
  plan.intent = intent;
  const ConfigurationDelta delta = DiffIntents(in_force.intent, intent);
  ListModelChanges(in_force.intent, delta, plan);
  ListServiceChanges(in_force.intent, delta, plan);
  for (const auto& [name, model] : intent.models) {
    for (const auto& [zone, replicas] : model.replicas)
      CheckModelInZone(model, zone, replicas, fleet, plan);
    CheckAdapters(model, plan);
  }
  WarnOfCrowding(intent, fleet, plan);
  return plan;
}

}  // namespace moorfold
