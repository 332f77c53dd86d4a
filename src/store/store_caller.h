// Makes the store calls of state machines (store/store_call.h) with a
// StoreClient.
#ifndef SRC_STORE_STORE_CALLER_H_
#define SRC_STORE_STORE_CALLER_H_

#include <functional>

#include "store/store_call.h"
#include "store/store_client.h"

namespace gentianreach {

// Starts `call`. `done` is called once, with the reply, on the client's thread.
void MakeStoreCall(StoreClient& client,
                   const store::Call& call,
                   std::function<void(const store::Reply&)> done);

// Returns the reply to `call`. Runs the thread's main context until it arrives.
[[nodiscard]] store::Reply MakeStoreCallAndWait(StoreClient& client,
                                                const store::Call& call);

}  // namespace gentianreach

#endif  // SRC_STORE_STORE_CALLER_H_
