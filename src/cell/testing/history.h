// Checks the record versions and audit events of a cluster for violated
// invariants.
#ifndef SRC_CELL_TESTING_HISTORY_H_
#define SRC_CELL_TESTING_HISTORY_H_

#include <cstdint>
#include <map>
#include <string>

#include "cell/testing/fake_world.h"

namespace gentianreach::testing {

class History {
 public:
  // Observes the writes of `cluster`, which must outlive this object.
  explicit History(FakeCluster& cluster);
  History(const History&) = delete;
  History& operator=(const History&) = delete;

  // Checks that each audit event matches the record version that it names.
  void CheckAudit();

  [[nodiscard]] bool good() const;
  [[nodiscard]] std::string problem() const;

 private:
  void OnWrite(const stored::CellT& record, std::uint64_t version);

  FakeCluster& cluster_;
  std::map<std::uint64_t, std::string> assigner_of_epoch_;
  std::map<std::uint64_t, stored::CellT> written_;  // By version.
  std::string problem_;
};

}  // namespace gentianreach::testing

#endif  // SRC_CELL_TESTING_HISTORY_H_
