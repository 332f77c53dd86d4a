// Mutual TLS between daemons, based on GIO.
#ifndef SRC_PEER_PEER_TLS_H_
#define SRC_PEER_PEER_TLS_H_

#include <optional>
#include <string>

#include <gio/gio.h>
#include <boost/leaf/result.hpp>

#include "base/glib_ptr.h"

namespace gentianreach {

// Files of a daemon's TLS identity. The certificates of all daemons are signed
// by the same certificate authority and contain the name "gentianreach".
struct TlsFiles {
  std::string certificate;  // PEM
  std::string key;          // PEM
  std::string authority;    // PEM
};

// The reason why the files cannot be used.
struct TlsError {
  std::string message;
};

// The loaded TLS identity. Copies share the loaded objects.
class PeerTls {
 public:
  // Returns the identity loaded from `files`. Fails with TlsError.
  static boost::leaf::result<PeerTls> Load(const TlsFiles& files);

  // Returns a TLS server connection over the accepted connection `base`, or
  // null if it cannot be created.
  [[nodiscard]] GObjectPtr<GIOStream> WrapServer(GIOStream* base) const;
  // Returns a TLS client connection over the connection `base`, or null if it
  // cannot be created.
  [[nodiscard]] GObjectPtr<GIOStream> WrapClient(GIOStream* base) const;

 private:
  PeerTls() = default;

  GObjectPtr<GTlsCertificate> certificate_;
  GObjectPtr<GTlsDatabase> authority_;
};

}  // namespace gentianreach

#endif  // SRC_PEER_PEER_TLS_H_
