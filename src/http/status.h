// HTTP status codes.
#ifndef SRC_HTTP_STATUS_H_
#define SRC_HTTP_STATUS_H_

namespace gentianreach::http::status {

inline constexpr int kSwitchingProtocols = 101;
inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;
inline constexpr int kNoContent = 204;
inline constexpr int kNotModified = 304;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kTooLarge = 413;
inline constexpr int kMisdirected = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kInternalError = 500;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

// Returns whether `status` is the code of a final response: neither interim nor
// outside the classes that HTTP defines.
constexpr bool IsFinal(int status) {
  return status >= 200 && status <= 599;
}

// Returns whether `status` is the code of a final or an interim response.
constexpr bool IsValid(int status) {
  return status >= 100 && status <= 599;
}

// Returns whether callers take a response with `status` as a promise that the
// request has not run and never will.
constexpr bool PromisesNotRun(int status) {
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooManyRequests || status == kUnavailable;
}

}  // namespace gentianreach::http::status

#endif  // SRC_HTTP_STATUS_H_
