// Tokens that a change of owner reserves.
#ifndef SRC_KEYSPACE_FENCING_TOKENS_H_
#define SRC_KEYSPACE_FENCING_TOKENS_H_

#include <cstdint>

#include "gentianreach/ids.h"
#include "keyspace/ownership_table.h"

namespace gentianreach::keyspace {

// Upper bound on the fencing grants to an earlier owner. If all are lost, the
// owner is cleared when its leases expire.
constexpr std::uint64_t kMaxFencingGrants = 3;
// Tokens reserved for one change of owner: those of the fencing grants to the
// previous owner, and the new owner's.
constexpr std::uint64_t kTokensPerMove = kMaxFencingGrants + 1;

// Returns the token of the `n`-th fencing grant, counted from 1, to the owner
// before the one with `token`.
inline Token FencingToken(Token token, std::uint64_t n) {
  return Token(token.value() - kTokensPerMove + n);
}

// Returns the token of a new owner and reserves those of its fencing grants.
inline Token AllocateToken(OwnershipTable* table) {
  const Token token(table->next_token.value() + kTokensPerMove - 1);
  table->next_token = Token(table->next_token.value() + kTokensPerMove);
  return token;
}

}  // namespace gentianreach::keyspace

#endif  // SRC_KEYSPACE_FENCING_TOKENS_H_
