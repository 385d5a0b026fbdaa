#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace moorfold {

/// Judges streams that clients take up while servers of several software versions serve. Pure
/// bookkeeping; one thread.
class VersionChecker {
 public:
  /// An event as a client received it.
  struct Event {
    int number = 0;
    std::string server;
    std::string version;  ///< Of the server's software.
    std::string attempt;  ///< The client attempt that brought it.
    int gateway = 0;
  };
  struct Summary {
    std::uint64_t streams = 0;         ///< That brought an event.
    std::uint64_t joined_inside = 0;   ///< Streams joined inside one answer.
    std::uint64_t joined_over = 0;     ///< Streams joined over several tries.
    std::uint64_t misnumbered = 0;     ///< Streams with an event missing or coming twice.
    std::uint64_t foreign_events = 0;  ///< Events of another stream.
    std::uint64_t new_streams = 0;     ///< Streams that clients asked for.
    std::uint64_t new_begun = 0;       ///< Of them: those that brought an event.
    std::uint64_t take_ups = 0;        ///< Of streams whose version's servers serve.
    std::uint64_t went_on = 0;         ///< Of them: those that brought a further event.
    std::uint64_t refused = 0;         ///< Of them: those all of whose answers were refusals.

    std::uint64_t joined() const { return joined_inside + joined_over; }
    double BeginShare() const { return Share(new_begun, new_streams); }
    double GoOnShare() const { return Share(went_on, take_ups); }

   private:
    static double Share(std::uint64_t part, std::uint64_t whole) {
      return whole == 0 ? 1 : static_cast<double>(part) / static_cast<double>(whole);
    }
  };

  /// @param own whether the event names the stream as its own.
  void Received(const std::string& stream, const Event& event, bool own);
  /// A client has asked for a new stream, over all its tries.
  /// @param second in which it began to ask.
  void Asked(bool begun, std::int64_t second = 0);
  enum class TakeUp : std::uint8_t { kWentOn, kRefused, kFailed };
  /// A client has taken up a stream whose version's servers serve, over all its tries.
  /// @param second in which it began to.
  void TookUp(TakeUp result, std::int64_t second = 0);
  /// @return of the new streams asked for in the seconds of the take-ups: the share that began,
  /// each second weighed by its take-ups. Seconds without new streams do not count.
  double BeginShareBesideTakeUps() const;

  const Summary& summary() const { return summary_; }
  /// @return a line for each stream that is not as it should be.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Stream {
    Event first;
    Event last;
    bool joined = false;
    bool misnumbered = false;
  };

  struct Second {
    std::uint64_t asked = 0;
    std::uint64_t begun = 0;
    std::uint64_t take_ups = 0;
  };

  std::map<std::string, Stream> streams_;
  std::map<std::int64_t, Second> seconds_;
  Summary summary_;
  std::vector<std::string> violations_;
};

}  // namespace moorfold
