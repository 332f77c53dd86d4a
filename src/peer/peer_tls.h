// Mutual TLS between daemons, by GIO.
#ifndef SRC_PEER_PEER_TLS_H_
#define SRC_PEER_PEER_TLS_H_

#include <optional>
#include <string>

#include <gio/gio.h>
#include <boost/leaf/result.hpp>

#include "base/glib_ptr.h"

namespace gentianreach {

// Files that prove a daemon's identity. Every daemon's certificate is signed by
// the one authority and names "gentianreach".
struct TlsFiles {
  std::string certificate;  // PEM
  std::string key;          // PEM
  std::string authority;    // PEM
};

// Why the files cannot be used.
struct TlsError {
  std::string message;
};

// The loaded identity. Copies share it.
class PeerTls {
 public:
  // Loads the files. Fails with TlsError.
  static boost::leaf::result<PeerTls> Load(const TlsFiles& files);

  // Returns the server's side over an accepted connection, or null.
  [[nodiscard]] GObjectPtr<GIOStream> WrapServer(GIOStream* base) const;
  // Returns the client's side over a connection, or null.
  [[nodiscard]] GObjectPtr<GIOStream> WrapClient(GIOStream* base) const;

 private:
  PeerTls() = default;

  GObjectPtr<GTlsCertificate> certificate_;
  GObjectPtr<GTlsDatabase> authority_;
};

}  // namespace gentianreach

#endif  // SRC_PEER_PEER_TLS_H_
