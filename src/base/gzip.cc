#include "base/gzip.h"

#include <array>

#include <gio/gio.h>

#include "base/glib_ptr.h"
#include "gentianreach/check.h"

namespace gentianreach {
namespace {

// Low, for speed: most texts are sent within a few ms of a change.
constexpr int kLevel = 3;
constexpr std::size_t kBufferBytes = 16384;

// Returns the output of `converter` for `data`, or nullopt if the conversion
// fails or the output has more than `max_bytes` bytes.
std::optional<std::string> Convert(GConverter* converter,
                                   const std::string& data,
                                   std::size_t max_bytes) {
  const auto memory =
      GObjectPtr<GInputStream>::Adopt(g_memory_input_stream_new_from_data(
          data.data(), static_cast<gssize>(data.size()), nullptr));
  const auto stream = GObjectPtr<GInputStream>::Adopt(
      g_converter_input_stream_new(memory.get(), converter));
  std::string result;
  std::array<char, kBufferBytes> buf{};
  while (true) {
    const gssize n = g_input_stream_read(stream.get(), buf.data(), buf.size(),
                                         nullptr, nullptr);
    if (n < 0 || result.size() + static_cast<std::size_t>(n) > max_bytes) {
      return std::nullopt;
    }
    if (n == 0) {
      return result;
    }
    result.append(buf.data(), static_cast<std::size_t>(n));
  }
}

}  // namespace

std::string Compress(const std::string& text) {
  const auto compressor = GObjectPtr<GZlibCompressor>::Adopt(
      g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_GZIP, kLevel));
  auto result = Convert(G_CONVERTER(compressor.get()), text, SIZE_MAX);
  // Compression in memory cannot fail.
  GENTIANREACH_CHECK(result.has_value());
  return *std::move(result);
}

std::optional<std::string> Decompress(const std::string& data,
                                      std::size_t max_bytes) {
  const auto decompressor = GObjectPtr<GZlibDecompressor>::Adopt(
      g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_GZIP));
  return Convert(G_CONVERTER(decompressor.get()), data, max_bytes);
}

}  // namespace gentianreach
