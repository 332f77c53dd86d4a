// Compression of texts that daemons exchange, using GIO's zlib.
#ifndef SRC_BASE_GZIP_H_
#define SRC_BASE_GZIP_H_

#include <cstddef>
#include <optional>
#include <string>

namespace gentianreach {

// Returns `text` in the gzip format.
[[nodiscard]] std::string Compress(const std::string& text);

// Returns the decompressed text, or nullopt if `data` is corrupt, truncated or
// decompresses to more than `max_bytes` bytes.
[[nodiscard]] std::optional<std::string> Decompress(const std::string& data,
                                                    std::size_t max_bytes);

}  // namespace gentianreach

#endif  // SRC_BASE_GZIP_H_
