#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace moorfold {

/// Makes the kernel end a connection whose peer has gone silent: without a reset nothing else shows
/// that, since a server at work is silent, too. A connection that ends so fails like one that was
/// reset, and one that rests in a pool is seen to have ended before it is used again.
///
/// A peer that lives answers each probe however busy it is, so no answer on its way is cut by this.
///
/// @param socket open.
/// @return whether the system took all options. Without them the time limits of each call still
/// hold, so callers go on in either case.
bool EndWhenPeerIsSilent(boost::asio::ip::tcp::socket& socket);

/// @return whether the socket is open, nothing has come that was not read, and the peer has not
/// ended the connection, as far as can be seen.
bool IsQuiet(boost::asio::ip::tcp::socket& socket);

/// Between the last byte from a peer and the first probe, and between two probes: the shortest that
/// the kernel counts.
inline constexpr std::chrono::seconds kProbeEvery{1};
/// Unanswered probes that end a connection. Two, since one may be lost.
inline constexpr int kMostUnansweredProbes = 2;
/// Bytes that were sent and not acknowledged for so long end a connection: some five repeats of a
/// lost packet. No longer than clients wait for the first event of a stream before they give it up,
/// which is 2 s at the least by the platform's pages.
inline constexpr std::chrono::milliseconds kUnacknowledgedLimit{2'000};

}  // namespace moorfold
