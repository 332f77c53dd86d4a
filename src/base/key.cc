#include "gentianreach/key.h"

#include <xxhash.h>

namespace gentianreach {

KeyHash HashKey(const ServiceName& service, std::string_view key) {
  const XXH64_hash_t seed =
      XXH3_64bits(service.value().data(), service.value().size());
  return KeyHash(XXH3_64bits_withSeed(key.data(), key.size(), seed));
}

double HashRange::Share() const {
  constexpr double kWholeSpace = 18446744073709551616.0;
  return (static_cast<double>(last.value() - first.value()) + 1) / kWholeSpace;
}

}  // namespace gentianreach
