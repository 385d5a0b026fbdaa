#pragma once

#include "core/effects.h"
#include "core/state.h"

namespace moorfold {

/// Spreads what engines report within a zone. Each server is polled by one daemon (highest
/// rendezvous hash over the alive members); that daemon tells the others what changed: states of
/// replicas at once, load figures every `load_share_interval`. Who misses a server's report asks
/// the daemon that polls it.
class ReportSharing {
 public:
  ReportSharing(State& state, Timestamp now, Effects& effects)
      : state_(state), now_(now), effects_(effects) {}

  /// Decides anew which servers this daemon polls. Called when members or machines change.
  void AssignServers();
  void OnTick();
  /// Takes a report, directly from the server or through a peer.
  /// @param own whether this daemon heard it from the server itself and must share it.
  /// @return true when a replica's state or the server's life changed.
  bool Accept(const ServerReport& report, bool own);
  void AcceptLoads(const ServerLoadsMessage& message);
  void AnswerRequest(const DaemonName& peer);
  /// Sends the changed reports that wait to be shared.
  void ShareReports();

 private:
  bool Misses(const ServerView& server) const;
  void AskForMissing();
  void ShareLoads();

  State& state_;
  Timestamp now_;
  Effects& effects_;
};

}  // namespace moorfold
