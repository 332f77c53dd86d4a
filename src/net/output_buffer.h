// Buffer for bytes to be sent on a socket.
#ifndef SRC_NET_OUTPUT_BUFFER_H_
#define SRC_NET_OUTPUT_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "net/tcp_socket.h"

namespace gentianreach::net {

enum class FlushStatus : std::uint8_t { kEmpty, kBlocked, kFailed };

// Queues bytes and sends as many as the socket accepts.
class OutputBuffer {
 public:
  // Appends `data`, without a copy if the buffer is empty.
  void Append(std::string data) {
    if (size() == 0) {
      data_ = std::move(data);
      sent_ = 0;
      return;
    }
    data_.append(data);
  }
  // Returns the number of unsent bytes.
  [[nodiscard]] std::size_t size() const { return data_.size() - sent_; }

  // Sends until the buffer is empty or the socket blocks. Sets `any_sent` if
  // the socket accepts any byte, and leaves it unchanged otherwise.
  FlushStatus Flush(TcpSocket& socket, bool& any_sent) {
    while (size() > 0) {
      const IoResult result =
          socket.Send(std::string_view(data_).substr(sent_));
      if (result.status == IoStatus::kWouldBlock) {
        return FlushStatus::kBlocked;
      }
      if (result.status != IoStatus::kOk) {
        return FlushStatus::kFailed;
      }
      any_sent = true;
      sent_ += result.bytes;
    }
    // Frees the memory, since connections are idle most of the time.
    data_ = std::string();
    sent_ = 0;
    return FlushStatus::kEmpty;
  }

 private:
  std::string data_;
  std::size_t sent_ = 0;
};

}  // namespace gentianreach::net

#endif  // SRC_NET_OUTPUT_BUFFER_H_
