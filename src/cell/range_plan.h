// Plans the ranges of a record: takeovers, planned moves, splits and merges.
#ifndef SRC_CELL_RANGE_PLAN_H_
#define SRC_CELL_RANGE_PLAN_H_

#include <map>
#include <string>

#include "cell/planner.h"

namespace gentianreach::cell {

class RangePlanner {
 public:
  // Changes the record in `plan`, whose servers must already be planned.
  RangePlanner(Plan& plan, const PlanInput& input);

  // Returns whether anything changed.
  bool Run();

 private:
  void FirstRanges(const CellService& service);
  void Apply(const ProposedMove& proposal);
  void Apply(const ProposedSplit& proposal);
  void Apply(const ProposedMerge& proposal);
  void Apply(const ProposedDrain& proposal);
  void PlanMoving(stored::RangeT& range);
  void PlanOwned(stored::RangeT& range);
  void StartMove(stored::RangeT& range,
                 const std::string& to,
                 const std::string& actor,
                 const std::string& why);
  void Assign(stored::RangeT& range,
              const std::string& to,
              std::uint64_t token,
              const std::string& why);

  [[nodiscard]] stored::RangeT* FindExactRange(const ServiceName& service,
                                               const HashRange& range) const;
  [[nodiscard]] ServerFacts Facts(const std::string& server) const;
  [[nodiscard]] bool Lost(const std::string& server) const;
  [[nodiscard]] bool Usable(const stored::ServerT& server) const;
  // Returns the usable server of the service with the smallest share of the
  // hash space, or an empty string if there is none.
  [[nodiscard]] std::string LeastLoaded(const std::string& service) const;
  void AddAuditEvent(const stored::RangeT& range,
                     std::string actor,
                     std::string what,
                     std::string from,
                     std::string to,
                     std::string why);

  Plan& plan_;
  const PlanInput& input_;
  std::map<std::string, double> share_;  // Of the hash space, by server.
  std::size_t moves_in_progress_ = 0;
  bool changed_ = false;
};

}  // namespace gentianreach::cell

#endif  // SRC_CELL_RANGE_PLAN_H_
