#include "peer/peer_tls.h"

namespace gentianreach {
namespace {

constexpr const char* kCertificateName = "gentianreach";

GObjectPtr<GSocketConnectable> CertificateName() {
  return GObjectPtr<GSocketConnectable>::Adopt(
      g_network_address_new(kCertificateName, 0));
}

// Returns whether to accept a client's certificate. GIO leaves this decision to
// the server even for a certificate without errors, and does not check its
// name.
gboolean OnClientCertificate(GTlsConnection* /*connection*/,
                             GTlsCertificate* certificate,
                             GTlsCertificateFlags errors,
                             gpointer /*data*/) {
  const GTlsCertificateFlags all_errors =
      g_tls_certificate_verify(certificate, CertificateName().get(), nullptr);
  return errors == 0 && (all_errors & G_TLS_CERTIFICATE_BAD_IDENTITY) == 0
             ? TRUE
             : FALSE;
}

}  // namespace

boost::leaf::result<PeerTls> PeerTls::Load(const TlsFiles& files) {
  PeerTls tls;
  GError* raw_error = nullptr;
  tls.certificate_ =
      GObjectPtr<GTlsCertificate>::Adopt(g_tls_certificate_new_from_files(
          files.certificate.c_str(), files.key.c_str(), &raw_error));
  if (raw_error != nullptr) {
    const GErrorPtr error(raw_error);
    return boost::leaf::new_error(
        TlsError{files.certificate + ": " + error->message});
  }
  tls.authority_ = GObjectPtr<GTlsDatabase>::Adopt(
      g_tls_file_database_new(files.authority.c_str(), &raw_error));
  if (raw_error != nullptr) {
    const GErrorPtr error(raw_error);
    return boost::leaf::new_error(
        TlsError{files.authority + ": " + error->message});
  }
  return tls;
}

GObjectPtr<GIOStream> PeerTls::WrapServer(GIOStream* base) const {
  GIOStream* stream =
      g_tls_server_connection_new(base, certificate_.get(), nullptr);
  if (stream == nullptr) {
    return {};
  }
  // Rejects daemons without a certificate signed by the authority.
  g_object_set(stream, "authentication-mode", G_TLS_AUTHENTICATION_REQUIRED,
               "database", authority_.get(), nullptr);
  g_signal_connect(stream, "accept-certificate",
                   G_CALLBACK(&OnClientCertificate), nullptr);
  return GObjectPtr<GIOStream>::Adopt(stream);
}

GObjectPtr<GIOStream> PeerTls::WrapClient(GIOStream* base) const {
  GIOStream* stream =
      g_tls_client_connection_new(base, CertificateName().get(), nullptr);
  if (stream == nullptr) {
    return {};
  }
  GTlsConnection* connection = G_TLS_CONNECTION(stream);
  g_tls_connection_set_certificate(connection, certificate_.get());
  g_tls_connection_set_database(connection, authority_.get());
  return GObjectPtr<GIOStream>::Adopt(stream);
}

}  // namespace gentianreach
