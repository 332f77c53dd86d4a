// Tokens that a change of owner reserves.
#ifndef SRC_KEYSPACE_FENCING_TOKENS_H_
#define SRC_KEYSPACE_FENCING_TOKENS_H_

#include <cstdint>

#include "gentianreach/ids.h"
#include "keyspace/ownership_table.h"

namespace gentianreach::keyspace {

// Tokens reserved for one change of owner: those of the releases by which the
// previous owners are fenced, and the new owner's. Older builds use the first
// three for fencing grants.
constexpr std::uint64_t kTokensPerMove = 4;

// Returns the token of the releases of previous owners, if the new owner has
// `token`.
inline Token FencingToken(Token token) {
  return Token(token.value() - 1);
}

// Returns the token of a new owner and reserves those before it.
inline Token AllocateToken(OwnershipTable* table) {
  const Token token(table->next_token.value() + kTokensPerMove - 1);
  table->next_token = Token(table->next_token.value() + kTokensPerMove);
  return token;
}

}  // namespace gentianreach::keyspace

#endif  // SRC_KEYSPACE_FENCING_TOKENS_H_
