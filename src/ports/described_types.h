#pragma once

/// Field lists of the types that cross a process boundary. The JSON and binary codecs are derived
/// from them, so a field is named once.

#include <boost/describe.hpp>

#include "core/configuration/plan.h"
#include "core/intent.h"
#include "core/ledger.h"
#include "core/messages.h"
#include "core/types.h"

namespace moorfold {

BOOST_DESCRIBE_ENUM(MachineKind, kDaemon, kEngine, kService)
BOOST_DESCRIBE_ENUM(CacheTier, kMemory, kDisk, kRemote)
BOOST_DESCRIBE_ENUM(ReplicaState, kLoading, kReady, kReleasing)
BOOST_DESCRIBE_ENUM(OrderKind, kLoad, kRelease, kLoadAdapter, kReleaseAdapter, kStage)
BOOST_DESCRIBE_ENUM(OrderOutcome, kDone, kStaleFence, kWrongIncarnation, kNoMemory, kFailed,
                    kUnknown)
BOOST_DESCRIBE_ENUM(Priority, kCritical, kInteractive, kBatch)
BOOST_DESCRIBE_ENUM(PermitPhase, kHeld, kMoving)
BOOST_DESCRIBE_ENUM(MemberStatus, kAlive, kSuspect, kDead, kLeft)
BOOST_DESCRIBE_ENUM(ChangeKind, kAdd, kChange, kRemove)

BOOST_DESCRIBE_STRUCT(ModelVersion, (), (model, version))
BOOST_DESCRIBE_STRUCT(Machine, (),
                      (name, zone, kind, address, http_port, peer_port, service, memory,
                       accelerators, leaving))
BOOST_DESCRIBE_STRUCT(ReplicaReport, (), (servable, state, running, queued, adapters))
BOOST_DESCRIBE_STRUCT(ServerReport, (),
                      (server, incarnation, sequence, memory_total, memory_used, leaving, replicas,
                       cached_on_disk))
BOOST_DESCRIBE_STRUCT(Order, (),
                      (id, kind, server, incarnation, fence, servable, adapter, memory,
                       evicted_adapters))
BOOST_DESCRIBE_STRUCT(DemandSample, (), (model, adapter, arrivals, in_flight, waiting, oldest_wait))

BOOST_DESCRIBE_STRUCT(AdapterIntent, (), (name, memory))
BOOST_DESCRIBE_STRUCT(ModelIntent, (),
                      (name, version, memory, adapter_memory, priority, deadline, concurrency,
                       cold_start_second_cost, replicas, adapters))
BOOST_DESCRIBE_STRUCT(ServiceIntent, (), (name, deadline, non_repeatable_paths))
BOOST_DESCRIBE_STRUCT(Intent, (), (models, services))
BOOST_DESCRIBE_STRUCT(ConfigurationDelta, (),
                      (base, revision, changed_models, removed_models, changed_services,
                       removed_services))
BOOST_DESCRIBE_STRUCT(PlannedChange, (), (kind, subject, detail))
BOOST_DESCRIBE_STRUCT(Plan, (), (id, base_revision, changes, warnings, refusals, intent))
BOOST_DESCRIBE_STRUCT(ConfigurationHead, (), (revision, plan_id))
BOOST_DESCRIBE_STRUCT(ConfigurationSnapshot, (), (revision, intent))

BOOST_DESCRIBE_STRUCT(PermitKey, (), (servable, index))
BOOST_DESCRIBE_STRUCT(Permit, (), (key, home, incarnation, phase, since, memory))
BOOST_DESCRIBE_STRUCT(Ledger, (), (revision, epoch, leader, configuration_revision, permits))
BOOST_DESCRIBE_STRUCT(LedgerDelta, (),
                      (base, revision, epoch, leader, configuration_revision, changed, removed))

BOOST_DESCRIBE_STRUCT(MemberUpdate, (), (member, incarnation, status))
BOOST_DESCRIBE_STRUCT(Digest, (),
                      (configuration_revision, ledger_revision, incarnation, boot, claim_view))
BOOST_DESCRIBE_STRUCT(ClaimOwner, (), (name, zone, boot))
BOOST_DESCRIBE_STRUCT(ClaimView, (), (number, owners, history))
BOOST_DESCRIBE_STRUCT(ClaimViewRequest, (), ())
BOOST_DESCRIBE_STRUCT(ClaimViewMessage, (), (view))
BOOST_DESCRIBE_STRUCT(KeptAnswer, (), (status, content_type, body))
BOOST_DESCRIBE_STRUCT(ClaimRecord, (), (key, holder, state, answer, expires_microseconds))
BOOST_DESCRIBE_STRUCT(ClaimRequest, (), (call, view, key, holder))
BOOST_DESCRIBE_STRUCT(ClaimReply, (), (call, verdict, answer))
BOOST_DESCRIBE_STRUCT(ClaimUpdate, (), (key, holder, state, answer))
BOOST_DESCRIBE_STRUCT(ClaimTransferRequest, (), (view, boot))
BOOST_DESCRIBE_STRUCT(ClaimTransferReply, (), (view, boot, gone, served_view, records, complete))
BOOST_DESCRIBE_STRUCT(ProbeMessage, (), (sequence, on_behalf_of, digest, updates))
BOOST_DESCRIBE_STRUCT(ProbeAckMessage, (), (sequence, target, digest, updates))
BOOST_DESCRIBE_STRUCT(IndirectProbeMessage, (), (sequence, target, updates))
BOOST_DESCRIBE_STRUCT(LeaveMessage, (), (incarnation))
BOOST_DESCRIBE_STRUCT(ZoneDigestMessage, (), (zone, digest))
BOOST_DESCRIBE_STRUCT(ConfigurationRequest, (), (have))
BOOST_DESCRIBE_STRUCT(ConfigurationDeltaMessage, (), (delta))
BOOST_DESCRIBE_STRUCT(ConfigurationSnapshotMessage, (), (revision, intent))
BOOST_DESCRIBE_STRUCT(LedgerRequest, (), (have))
BOOST_DESCRIBE_STRUCT(LedgerDeltaMessage, (), (delta))
BOOST_DESCRIBE_STRUCT(LedgerSnapshotMessage, (), (ledger))
BOOST_DESCRIBE_STRUCT(ServerReportsMessage, (), (reports))
BOOST_DESCRIBE_STRUCT(ServerReportsRequest, (), ())
BOOST_DESCRIBE_STRUCT(ServerLoad, (), (server, running, queued))
BOOST_DESCRIBE_STRUCT(ServerLoadsMessage, (), (loads))
BOOST_DESCRIBE_STRUCT(DemandMessage, (), (samples))

}  // namespace moorfold
